"""Applies rows of the followed tables to the state of this node."""

from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.rollout_orders import (
    KnownOrder,
    StoredOrder,
    is_new_order,
)
from turmericcrank_core.rollout_phases import RolloutPhase, RolloutState
from turmericcrank_core.upstream_limits import expire_limits
from turmericcrank_core.upstream_notices import expire_notices, record_leaving
from turmericcrank_core.upstream_registry import (
    ListedUpstream,
    expire_missing,
    iter_usable,
    record_listed,
    record_missing,
)
from turmericcrank_core.version_choice import record_versions

from turmericcrank_node.platform_port import (
    ChangedRow,
    FeedPage,
    MalformedRowError,
)
from turmericcrank_node.state.node_state import (
    NodeState,
    read_boottime_s,
    read_cluster_time_s,
)

__all__ = ('apply_configuration', 'apply_upstreams')


def apply_configuration(
    state: NodeState, page: FeedPage, is_complete: bool
) -> None:
    """Apply the newest configuration and the rollout orders."""
    for row in page.rows:
        try:
            _apply_configuration_row(state, row)
        except MalformedRowError as error:
            state.log.write(
                EventCode.row_rejected, change=row.version, detail=str(error)
            )


def _apply_configuration_row(state: NodeState, row: ChangedRow) -> None:
    _apply_table(state, row)
    order = state.platform.decode_rollout_order(row)
    if order is not None:
        era = state.platform.find_era(row.version)
        _apply_order(state, StoredOrder(order, row.version, era))


def _apply_table(state: NodeState, row: ChangedRow) -> None:
    """Apply a configuration unless it is older than the current one."""
    table = state.platform.decode_configuration(row)
    if table is None:
        return
    if state.table is None or table.revision > state.table.revision:
        state.table = table
        state.log.write(
            EventCode.revision_adopted,
            revision=table.revision,
            change=row.version,
        )


def _apply_order(state: NodeState, read: StoredOrder) -> None:
    """Follow an order unless it is the one that this node follows."""
    service = read.order.service
    rollout = state.rollouts_by_service.get(service)
    own = rollout.order if rollout else None
    known = state.known_orders_by_service.get(service)
    if is_new_order(own, known, read):
        state.rollouts_by_service[service] = RolloutState(
            read.order, RolloutPhase.ordered, read_boottime_s()
        )
        state.known_orders_by_service[service] = KnownOrder(read, own)
    elif known is None or read.change > known.stored.change:
        replaced = known.replaced if known else None
        state.known_orders_by_service[service] = KnownOrder(read, replaced)


def apply_upstreams(
    state: NodeState, page: FeedPage, is_complete: bool
) -> None:
    """Apply the listed upstreams and mark the missing ones."""
    now_s = read_boottime_s()
    present = set()
    for row in page.rows:
        upstream = state.platform.decode_upstream(row)
        if upstream is None:
            _mark_upstream_missing(state, row, now_s)
            continue
        present.add(upstream.upstream_id)
        before = state.upstream_registry.by_id.get(upstream.upstream_id)
        record_listed(state.upstream_registry, upstream)
        _record_draining(state, upstream, now_s)
        if before is None or before.is_draining != upstream.is_draining:
            state.log.write(
                EventCode.upstream_listed,
                upstream=upstream.upstream_id,
                service=upstream.service,
                address=upstream.address,
                version=upstream.version,
                draining=upstream.is_draining,
                change=row.version,
            )
    if is_complete:
        for upstream_id in list(state.upstream_registry.by_id):
            if upstream_id not in present:
                record_missing(state.upstream_registry, upstream_id, now_s)
    expire_missing(state.upstream_registry, now_s)
    expire_notices(state.notices, state.upstream_registry.by_id, now_s)
    expire_limits(
        state.upstream_limits,
        state.upstream_registry.by_id,
        read_cluster_time_s(state),
    )
    _refresh_versions(state, now_s)


def _record_draining(
    state: NodeState, upstream: ListedUpstream, now_s: float
) -> None:
    """Record that an instance drains, which it never takes back.

    Its earlier row is listed again if the store returns from a copy.
    """
    if upstream.is_draining and upstream.born_ms:
        record_leaving(
            state.notices, upstream.upstream_id, upstream.born_ms, now_s
        )


def _mark_upstream_missing(
    state: NodeState, row: ChangedRow, now_s: float
) -> None:
    if row.key in state.upstream_registry.by_id:
        record_missing(state.upstream_registry, row.key, now_s)
        state.log.write(
            EventCode.upstream_missing, upstream=row.key, change=row.version
        )


def _refresh_versions(state: NodeState, now_s: float) -> None:
    services = {one.service for one in state.upstream_registry.by_id.values()}
    services.update(state.versions.known_by_service)
    for service in services:
        usable = iter_usable(state.upstream_registry, service, now_s)
        record_versions(
            state.versions, service, (one.version for one in usable)
        )
