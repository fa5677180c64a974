"""State of the platform's stand-in: tables, objects, VMs, faults."""

import time
from dataclasses import dataclass, field
from typing import Any

__all__ = ('Faults', 'PlatformState', 'StoredRow', 'transact')

ANY_VERSION = -1


@dataclass(slots=True)
class StoredRow:
    """One row of the table service.

    Attributes:
        version: Rises with each write of the row.
        body: Content of the row.
    """

    version: int
    body: Any


@dataclass(slots=True)
class Faults:
    """Faults that a test has asked for.

    Attributes:
        outage: Whether every call fails at once.
        delay_s: Wait before each call, in seconds.
        lose_replies: Number of writes whose reply is lost after they took
            effect.
        lose_table: Table whose writes lose their replies; empty for all.
        rating_outage: Whether the rating service fails.
        vm_lag_s: How late a change of the VM list is seen, in seconds.
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
    """Everything that the platform keeps."""

    rows_by_table: dict[str, dict[str, StoredRow]] = field(default_factory=dict)
    objects_by_name: dict[str, bytes] = field(default_factory=dict)
    vm_changes: list[VmChange] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)
    n_writes: int = 0
    n_reads: int = 0
    weight_tokens: float = 4
    weight_filled_s: float = field(default_factory=time.monotonic)


def transact(
    state: PlatformState, operations: list[dict[str, Any]], independent: bool
) -> list[dict[str, Any]]:
    """Apply conditional writes: all or none, or each for itself.

    Args:
        state: Changed in place.
        operations: Each has ``table``, ``key``, ``expect`` (0 for absent,
            -1 for any, else the version) and ``body`` (None deletes).
        independent: Whether each operation stands for itself.

    Returns:
        For each operation whether it holds, and the row that stands.
    """
    outcomes = [_judge(state, operation) for operation in operations]
    all_hold = all(outcome['ok'] for outcome in outcomes)
    if not (independent or all_hold):
        return outcomes
    for operation, outcome in zip(operations, outcomes, strict=True):
        if outcome['ok']:
            outcome['version'] = _write(state, operation)
    return outcomes


def _judge(state: PlatformState, operation: dict[str, Any]) -> dict[str, Any]:
    rows = state.rows_by_table.setdefault(operation['table'], {})
    row = rows.get(operation['key'])
    version = row.version if row else 0
    if operation['expect'] in {ANY_VERSION, version}:
        return {'ok': True, 'version': version, 'body': None}
    if row is None:
        return {'ok': False, 'version': 0, 'body': None}
    return {'ok': False, 'version': version, 'body': row.body}


def _write(state: PlatformState, operation: dict[str, Any]) -> int:
    rows = state.rows_by_table[operation['table']]
    row = rows.get(operation['key'])
    if operation['body'] is None:
        rows.pop(operation['key'], None)
        return 0
    version = row.version + 1 if row else 1
    rows[operation['key']] = StoredRow(version, operation['body'])
    return version
