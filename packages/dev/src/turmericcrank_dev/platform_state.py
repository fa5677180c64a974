"""State of the fake platform: tables, objects, VMs, faults."""

import time
from dataclasses import dataclass, field
from typing import Any

__all__ = ('Faults', 'PlatformState', 'StoredRow', 'transact')

ANY_VERSION = -1


@dataclass(slots=True)
class StoredRow:
    """One row of the table service.

    Attributes:
        version: Incremented by each write of the row.
        body: Content of the row.
    """

    version: int
    body: Any


@dataclass(slots=True)
class Faults:
    """Injected faults.

    Attributes:
        outage: Whether every request fails immediately.
        delay_s: Delay before each request is handled, in seconds.
        lose_replies: Number of writes that are applied but whose response
            is lost.
        lose_table: Table whose writes lose their responses; empty for all.
        rating_outage: Whether the rating service fails.
        vm_lag_s: Delay until a change of the VM list is visible, in seconds.
    """

    outage: bool = False
    delay_s: float = 0
    lose_replies: int = 0
    lose_table: str = ''
    rating_outage: bool = False
    vm_lag_s: float = 0


@dataclass(slots=True)
class VmChange:
    """One change of the VM list."""

    sequence: int
    at_s: float
    row: dict[str, Any]


@dataclass(slots=True)
class PlatformState:
    """State of all services of the platform."""

    rows_by_table: dict[str, dict[str, StoredRow]] = field(default_factory=dict)
    objects_by_name: dict[str, bytes] = field(default_factory=dict)
    vm_changes: list[VmChange] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)
    n_writes: int = 0
    n_reads: int = 0
    weight_tokens: float = 4
    weight_refilled_s: float = field(default_factory=time.monotonic)


def transact(
    state: PlatformState, operations: list[dict[str, Any]], independent: bool
) -> list[dict[str, Any]]:
    """Apply conditional writes, atomically or independently.

    Args:
        state: Platform state; changed in place.
        operations: Each has ``table``, ``key``, ``expect`` (expected version;
            0 for no row, -1 for any) and ``body`` (None deletes the row).
        independent: Whether each operation is applied regardless of the
            others; otherwise all are applied or none.

    Returns:
        For each operation whether its condition was met, the version of the
        row, and the body of the current row if the condition was not met.
    """
    outcomes = [_check_condition(state, operation) for operation in operations]
    all_met = all(outcome['ok'] for outcome in outcomes)
    if not (independent or all_met):
        return outcomes
    for operation, outcome in zip(operations, outcomes, strict=True):
        if outcome['ok']:
            outcome['version'] = _write_row(state, operation)
    return outcomes


def _check_condition(
    state: PlatformState, operation: dict[str, Any]
) -> dict[str, Any]:
    rows = state.rows_by_table.setdefault(operation['table'], {})
    row = rows.get(operation['key'])
    version = row.version if row else 0
    if operation['expect'] in {ANY_VERSION, version}:
        return {'ok': True, 'version': version, 'body': None}
    if row is None:
        return {'ok': False, 'version': 0, 'body': None}
    return {'ok': False, 'version': version, 'body': row.body}


def _write_row(state: PlatformState, operation: dict[str, Any]) -> int:
    rows = state.rows_by_table[operation['table']]
    row = rows.get(operation['key'])
    if operation['body'] is None:
        rows.pop(operation['key'], None)
        return 0
    version = row.version + 1 if row else 1
    rows[operation['key']] = StoredRow(version, operation['body'])
    return version
