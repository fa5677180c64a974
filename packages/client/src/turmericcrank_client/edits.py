"""Applies edits of the tables and waits until they are in force."""

import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.constraints import FieldFault
from turmericcrank_core.tables import check_tables

from turmericcrank_client.node_calls import CallFault, NodeCalls
from turmericcrank_client.settings import read_json

__all__ = (
    'InForce',
    'TablesFile',
    'apply_tables',
    'read_tables',
    'wait_in_force',
)

_MAX_TRIES = 5
_PAUSE_S = 0.5
_POLL_S = 0.2
_AGAIN = frozenset(
    (
        0,
        ResultCode.acceptance_unknown,
        ResultCode.no_majority,
        ResultCode.store_down,
        ResultCode.no_tables,
    )
)


@dataclass(slots=True, frozen=True)
class TablesFile:
    """The tables in an operator's file.

    Attributes:
        revision: Revision that the edit is based on.
        raw: Routes and pools.
    """

    revision: int
    raw: dict[str, Any]


@dataclass(slots=True, frozen=True)
class InForce:
    """How many nodes have confirmed a revision.

    Attributes:
        n_confirmed: Nodes that have it in force.
        n_nodes: Nodes on the VM list.
        missing: Names of the others.
    """

    n_confirmed: int
    n_nodes: int
    missing: tuple[str, ...]


def read_tables(path: str) -> Result[TablesFile, list[FieldFault]]:
    """Read and check a file of ``revision``, ``routes`` and ``pools``."""
    return read_json(path).bind(_check_tables_file)


def apply_tables(
    calls: NodeCalls, tables: TablesFile
) -> Result[int, CallFault]:
    """Apply an edit, and try again with the same token while in doubt.

    Returns:
        The accepted revision; a conflict names the winner's changes.
    """
    edit = {
        'revision': tables.revision,
        'tables': tables.raw,
        'token': uuid.uuid4().hex,
    }
    outcome: Result[Any, CallFault] = Error(CallFault(0, 'not tried'))
    for _attempt in range(_MAX_TRIES):
        outcome = calls.post('/admin/tables', edit)
        if outcome.is_ok():
            return Ok(outcome.ok['revision'])
        if outcome.error.code not in _AGAIN:
            break
        time.sleep(_PAUSE_S)
    return Error(outcome.error)


def wait_in_force(
    calls: NodeCalls, revision: int, limit_s: float
) -> InForce | None:
    """Wait until all listed nodes have a revision in force.

    Args:
        calls: Calls to the nodes.
        revision: Revision to wait for.
        limit_s: Longest wait, in seconds.

    Returns:
        How it stands at the end; None when no node answered.
    """
    standing = None
    limit = time.monotonic() + limit_s
    while time.monotonic() < limit:
        status = calls.get('/admin/status')
        if status.is_ok():
            standing = _judge(status.ok['nodes'], revision)
            if not standing.missing:
                break
        time.sleep(_POLL_S)
    return standing


def _check_tables_file(raw: Any) -> Result[TablesFile, list[FieldFault]]:
    if not isinstance(raw, dict) or not isinstance(raw.get('revision'), int):
        allowed = 'the whole number that "show" gave'
        return Error([FieldFault('tables', '', 'revision', 'none', allowed)])
    tables = {name: part for name, part in raw.items() if name != 'revision'}
    checked = check_tables(tables)
    return checked.map(lambda _tables: TablesFile(raw['revision'], tables))


def _judge(nodes: list[dict[str, Any]], revision: int) -> InForce:
    missing = tuple(_iter_missing(nodes, revision))
    return InForce(len(nodes) - len(missing), len(nodes), missing)


def _iter_missing(nodes: list[dict[str, Any]], revision: int) -> Iterator[str]:
    for node in nodes:
        if (node['revision'] or 0) < revision:
            yield node['node']
