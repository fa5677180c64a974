"""Applies edits of the tables and waits until they are in force."""

import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.constraints import FieldError
from turmericcrank_core.tables import check_tables

from turmericcrank_client.node_calls import CallError, NodeClient
from turmericcrank_client.settings import read_json

__all__ = (
    'RevisionProgress',
    'TablesFile',
    'apply_tables',
    'read_tables',
    'wait_until_in_force',
)

_MAX_ATTEMPTS = 5
_RETRY_DELAY_S = 0.5
_POLL_INTERVAL_S = 0.2
_RETRIED_CODES = frozenset(
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
    """Content of an operator's tables file.

    Attributes:
        revision: Revision that the edit is based on.
        raw: Routes and pools.
    """

    revision: int
    raw: dict[str, Any]


@dataclass(slots=True, frozen=True)
class RevisionProgress:
    """How many nodes have confirmed a revision.

    Attributes:
        n_confirmed: Nodes that have the revision in force.
        n_nodes: Nodes on the VM list.
        unconfirmed: Names of the nodes that have not confirmed it.
    """

    n_confirmed: int
    n_nodes: int
    unconfirmed: tuple[str, ...]


def read_tables(path: str) -> Result[TablesFile, list[FieldError]]:
    """Read and validate a file of ``revision``, ``routes`` and ``pools``."""
    return read_json(path).bind(_check_tables_file)


def apply_tables(
    client: NodeClient, tables: TablesFile
) -> Result[int, CallError]:
    """Apply an edit; retry it if the nodes or the store are unavailable.

    The outcome of a failed call may be unknown. All attempts carry the same
    token, so the edit is accepted at most once.

    Returns:
        The accepted revision, or the last error. A conflict error lists
        the changes of the edit that was accepted instead.
    """
    edit = {
        'revision': tables.revision,
        'tables': tables.raw,
        'token': uuid.uuid4().hex,
    }
    outcome: Result[Any, CallError] = Error(CallError(0, 'not attempted'))
    for _attempt in range(_MAX_ATTEMPTS):
        outcome = client.post('/admin/tables', edit)
        if outcome.is_ok():
            return Ok(outcome.ok['revision'])
        if outcome.error.code not in _RETRIED_CODES:
            break
        time.sleep(_RETRY_DELAY_S)
    return Error(outcome.error)


def wait_until_in_force(
    client: NodeClient, revision: int, timeout_s: float
) -> RevisionProgress | None:
    """Wait until all listed nodes have a revision in force.

    Args:
        client: Client of the nodes.
        revision: Revision to wait for.
        timeout_s: Longest wait, in seconds.

    Returns:
        The last progress read; None if no node reported its status.
    """
    progress = None
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        status = client.get('/admin/status')
        if status.is_ok():
            progress = _count_confirmed(status.ok['nodes'], revision)
            if not progress.unconfirmed:
                break
        time.sleep(_POLL_INTERVAL_S)
    return progress


def _check_tables_file(raw: Any) -> Result[TablesFile, list[FieldError]]:
    if not isinstance(raw, dict) or not isinstance(raw.get('revision'), int):
        allowed = 'the whole number printed by "show"'
        return Error([FieldError('tables', '', 'revision', 'none', allowed)])
    tables = {name: part for name, part in raw.items() if name != 'revision'}
    checked = check_tables(tables)
    return checked.map(lambda _tables: TablesFile(raw['revision'], tables))


def _count_confirmed(
    nodes: list[dict[str, Any]], revision: int
) -> RevisionProgress:
    unconfirmed = tuple(_iter_unconfirmed(nodes, revision))
    return RevisionProgress(
        len(nodes) - len(unconfirmed), len(nodes), unconfirmed
    )


def _iter_unconfirmed(
    nodes: list[dict[str, Any]], revision: int
) -> Iterator[str]:
    for node in nodes:
        if (node['revision'] or 0) < revision:
            yield node['node']
