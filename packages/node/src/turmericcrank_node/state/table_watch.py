"""Follows the configuration and the list of upstreams in the store.

One node reads the store and sends changes to the others by gossip. A node
whose copy becomes too stale reads the store itself. So the number of calls
to the store does not grow with the number of nodes while gossip works.
"""

from collections.abc import Callable
from dataclasses import dataclass

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.membership import plan_member_rank
from turmericcrank_core.store_backoff import plan_read_retry_delay_s
from turmericcrank_core.table_staleness import (
    TableStaleness,
    is_stale,
    plan_read_interval_factor,
    plan_read_threshold_s,
    record_complete_read,
    record_read,
    staleness_s,
)

from turmericcrank_node.platform_port import (
    FeedPage,
    HistoryLost,
    StoreUnavailable,
)
from turmericcrank_node.state.node_state import (
    ChangePage,
    NodeState,
    make_change_page,
    read_boottime_s,
)
from turmericcrank_node.state.table_rows import (
    apply_configuration,
    apply_upstreams,
)

__all__ = (
    'TableWatch',
    'plan_read',
    'serve_table_watch',
)

_LONG_POLL_S = 0.7
_MAX_RECHECK_DELAY_S = 0.15
_MIN_DELAY_S = 0.02
_BEHIND_RETRY_DELAY_S = 0.25
_MS = 1000
_PEER_DELIVERY_S = 0.15
_RECENT_PAGE_S = 1.8
_STARTUP_S = 1.5
_MAX_PAGE_BYTES = 8000
_NEVER_READ = -1

ApplyRows = Callable[[NodeState, FeedPage, bool], None]


@dataclass(slots=True)
class TableWatch:
    """One table that this node follows.

    Attributes:
        table: Name of the table in the store.
        number: 0 for the configuration, 1 for the upstreams.
        staleness: Version and staleness of this node's copy.
        apply: Applies a page of rows; its last argument states whether the
            page is the complete table.
        is_unavailable: Whether the last read failed.
        stale_since_s: Since when a peer has a newer change; None if none.
        failed_s: When a read last failed, in seconds.
    """

    table: str
    number: int
    staleness: TableStaleness
    apply: ApplyRows
    is_unavailable: bool = False
    stale_since_s: float | None = None
    failed_s: float = 0


@dataclass(slots=True, frozen=True)
class _PlannedRead:
    """The next read of a table by this node.

    Attributes:
        due_s: Time until the read is due, in seconds; 0 or less if it is due
            now.
        reason: Why this node reads, for the log.
        wait_s: Long poll timeout: how long the store may wait for a change,
            in seconds.
    """

    due_s: float
    reason: str
    wait_s: float = 0


async def serve_table_watch(state: NodeState) -> None:
    """Follow both tables until cancelled."""
    platform = state.platform
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _follow,
            state,
            TableWatch(
                platform.configuration_table,
                0,
                state.configuration_staleness,
                apply_configuration,
            ),
        )
        nursery.start_soon(
            _follow,
            state,
            TableWatch(
                platform.upstream_table,
                1,
                state.upstream_staleness,
                apply_upstreams,
            ),
        )


async def _follow(state: NodeState, watch: TableWatch) -> None:
    """Read a table whenever a read by this node is due."""
    started_s = read_boottime_s()
    while True:
        now_s = read_boottime_s()
        is_starting = now_s - started_s < _STARTUP_S
        planned = plan_read(state, watch, now_s, is_starting)
        if planned.due_s <= 0:
            await _read_once(state, watch, planned)
        else:
            delay_s = max(_MIN_DELAY_S, planned.due_s)
            await trio.sleep(min(_MAX_RECHECK_DELAY_S, delay_s))


def plan_read(
    state: NodeState, watch: TableWatch, now_s: float, is_starting: bool
) -> _PlannedRead:
    """Plan this node's next read.

    A node that has just started does not know its rank yet, so it does not
    act as rank 0.
    """
    rank = plan_member_rank(state.members, state.settings.node_id, now_s)
    rank = max(rank, int(is_starting))
    if _is_behind_for_long(watch, now_s):
        # A peer has read the store since, so a long back-off is not needed.
        return _PlannedRead(
            watch.failed_s + _BEHIND_RETRY_DELAY_S - now_s, 'behind'
        )
    bounds = state.settings.bounds
    interval_factor = plan_read_interval_factor(
        bounds.apply_s, bounds.drain_s, bounds.revoke_s
    )
    read_age_s = (
        plan_read_threshold_s(rank, state.gossip_plan.is_reading_cell)
        * interval_factor
    )
    wait_s = 0 if read_age_s else _LONG_POLL_S * interval_factor
    age_s = staleness_s(watch.staleness, now_s)
    due_s = read_age_s - age_s
    if watch.is_unavailable:
        # Planned anew each time: a node that has lost its peers since the
        # failed read must not rely on them to read the store.
        retry_delay_s = plan_read_retry_delay_s(
            rank, state.gossip_plan.is_reading_cell, age_s
        )
        due_s = max(due_s, watch.failed_s + retry_delay_s - now_s)
    reason = 'age' if read_age_s else 'turn'
    return _PlannedRead(due_s, reason, wait_s)


def _is_behind_for_long(watch: TableWatch, now_s: float) -> bool:
    """Return whether a known change has not arrived from a peer in time.

    Also updates ``watch.stale_since_s``.
    """
    if not is_stale(watch.staleness):
        watch.stale_since_s = None
        return False
    if watch.stale_since_s is None:
        watch.stale_since_s = now_s
    return now_s - watch.stale_since_s >= _PEER_DELIVERY_S


def keep_recent_page(state: NodeState, page: ChangePage) -> None:
    """Keep small changes for a while, to gossip them to peers.

    Peers that receive them need not read them from the store. Changes that
    were kept for longer are dropped.
    """
    retained = [
        known
        for known in state.recent_pages
        if page.read_s - known.read_s <= _RECENT_PAGE_S
    ]
    if page.page.rows and len(page.packed) <= _MAX_PAGE_BYTES:
        retained.append(page)
    state.recent_pages = retained


async def _read_once(
    state: NodeState, watch: TableWatch, planned: _PlannedRead
) -> None:
    """Read the changes of a table.

    The complete table is read at the start, and after the store has dropped
    the changes since this node's version.
    """
    # Messages of peers may advance the copy during the read.
    after = watch.staleness.read_version
    sent_s = read_boottime_s()
    outcome = await _call_store(state, watch.table, after, planned)
    state.log.write(
        EventCode.table_read,
        table=watch.table,
        reason=planned.reason if after >= 0 else 'whole',
        proof_age_s=round(staleness_s(watch.staleness, sent_s), 2),
        outcome=type(outcome).__name__,
    )
    if isinstance(outcome, HistoryLost):
        state.log.write(EventCode.store_history_lost, table=watch.table)
        watch.staleness.read_version = _NEVER_READ
    elif isinstance(outcome, StoreUnavailable):
        _record_failed_read(state, watch, outcome.reason)
    else:
        # An empty response shows that nothing changed while the store waited.
        waited_s = 0 if outcome.rows else planned.wait_s
        current_as_of_s = min(sent_s + waited_s, read_boottime_s())
        has_changes = _record_page(
            state, watch, outcome, after, current_as_of_s
        )
        if has_changes or planned.wait_s > 0:
            state.request_gossip()


async def _call_store(
    state: NodeState, table: str, after: int, planned: _PlannedRead
) -> FeedPage | HistoryLost | StoreUnavailable:
    """Read the changes after a version, or the complete table."""
    store = state.platform.store
    sent_s = read_boottime_s()
    outcome = await (
        store.read_changes(table, after, planned.wait_s)
        if after >= 0
        else store.read_table(table)
    )
    state.metrics.store_s.labels(type(outcome).__name__).observe(
        max(0, read_boottime_s() - sent_s - planned.wait_s)
    )
    return outcome


def _record_page(
    state: NodeState,
    watch: TableWatch,
    page: FeedPage,
    after: int,
    current_as_of_s: float,
) -> bool:
    """Apply what was read; return whether it holds changes new to this copy."""
    staleness = watch.staleness
    is_complete = after < 0
    _record_successful_read(state, watch)
    state.store_clock_offset_s = page.now_ms / _MS - read_boottime_s()
    if not is_complete:
        keep_recent_page(
            state, make_change_page(watch.number, after, page, current_as_of_s)
        )
    watch.apply(state, _drop_known_rows(page, staleness), is_complete)
    change = max((row.version for row in page.rows), default=0)
    has_changes = change > staleness.change
    record = record_complete_read if is_complete else record_read
    record(staleness, page.version, change, current_as_of_s)
    return has_changes


def _drop_known_rows(page: FeedPage, staleness: TableStaleness) -> FeedPage:
    """Drop changes that this copy has had since the read was sent.

    A message of a peer may have brought them, with later ones that these would
    undo.
    """
    rows = tuple(
        row for row in page.rows if row.version > staleness.read_version
    )
    return FeedPage(rows, page.version, page.now_ms)


def _record_failed_read(
    state: NodeState, watch: TableWatch, reason: str
) -> None:
    watch.failed_s = read_boottime_s()
    if not watch.is_unavailable:
        watch.is_unavailable = True
        state.log.write(EventCode.store_lost, table=watch.table, detail=reason)


def _record_successful_read(state: NodeState, watch: TableWatch) -> None:
    if watch.is_unavailable:
        watch.is_unavailable = False
        state.log.write(EventCode.store_found, table=watch.table)
