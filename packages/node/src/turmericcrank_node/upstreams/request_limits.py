"""Keeps the request limits that upstreams name, together with all nodes.

A node that has just started, or was suspended, may know too few nodes; it
sends nothing to a limited upstream until it has heard of all.
"""

from http import HTTPStatus

from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.hash_ring import find_owner
from turmericcrank_core.send_permits import (
    drop_permits,
    refresh_permits,
    take_permit,
)
from turmericcrank_core.sharing_nodes import find_sharing_ring
from turmericcrank_core.upstream_limits import (
    NamedLimit,
    is_urgent_change,
    merge_limit,
    plan_rate_per_s,
    record_limit,
)

from turmericcrank_node.membership.limit_shares import (
    is_member_for,
    refresh_sharing_nodes,
)
from turmericcrank_node.platform_port import ResponseInfo
from turmericcrank_node.state.node_state import NodeState, read_cluster_time_s

__all__ = (
    'acquire_permit',
    'has_permit',
    'merge_reported_limit',
    'plan_permit_wait_s',
    'process_request_limit',
)

_SETTLE_S = 3
_MAX_PERMIT_WAIT_S = 3


def process_request_limit(
    state: NodeState,
    upstream_id: str,
    status: int,
    response_info: ResponseInfo,
) -> None:
    """Record the request limit that a response names, or that it names none."""
    if status == HTTPStatus.MISDIRECTED_REQUEST:
        # Another upstream now has the address and sent this response.
        return
    before = state.upstream_limits.by_id.get(upstream_id)
    is_changed = record_limit(
        state.upstream_limits,
        upstream_id,
        response_info.request_limit_per_s,
        read_cluster_time_s(state),
    )
    if is_changed and _apply_change(state, upstream_id, before, 'response'):
        state.request_gossip()


def merge_reported_limit(
    state: NodeState,
    upstream_id: str,
    stated: NamedLimit,
    source: str,
    now_s: float,
) -> bool:
    """Merge a limit that another node reports.

    Args:
        state: Changed in place.
        upstream_id: Upstream that named the limit.
        stated: What it stated.
        source: Id of the node that reports it.
        now_s: Current time on the cluster clock, in seconds.

    Returns:
        Whether other nodes must learn of it at once.
    """
    before = state.upstream_limits.by_id.get(upstream_id)
    is_changed = merge_limit(state.upstream_limits, upstream_id, stated, now_s)
    return is_changed and _apply_change(state, upstream_id, before, source)


def has_permit(state: NodeState, upstream_id: str) -> bool:
    """Return whether this node may send a request to an upstream now."""
    if upstream_id not in state.upstream_limits.by_id:
        return True
    now_s = read_cluster_time_s(state)
    rate_per_s = plan_rate_per_s(state.upstream_limits, upstream_id, now_s)
    if rate_per_s is None:
        return True
    if not is_member_for(state, _SETTLE_S + state.members.gossip_interval_s):
        return False
    ring = find_sharing_ring(refresh_sharing_nodes(state))
    own_id = state.settings.node_id
    n_permits = refresh_permits(
        state.send_permits,
        upstream_id,
        rate_per_s,
        lambda key: find_owner(ring, key) == own_id,
        now_s,
    )
    return n_permits > 0


def acquire_permit(state: NodeState, upstream_id: str) -> None:
    """Use up a permit, if the upstream is limited; there must be one."""
    now_s = read_cluster_time_s(state)
    if plan_rate_per_s(state.upstream_limits, upstream_id, now_s) is not None:
        take_permit(state.send_permits, upstream_id)


def plan_permit_wait_s(state: NodeState, upstream_id: str) -> float:
    """Return the mean time until a node has a permit, in seconds.

    It is 0 if this node has one, or if the upstream is not limited.
    """
    if has_permit(state, upstream_id):
        return 0
    rate_per_s = plan_rate_per_s(
        state.upstream_limits, upstream_id, read_cluster_time_s(state)
    )
    n_nodes = len(refresh_sharing_nodes(state).node_ids)
    return min(_MAX_PERMIT_WAIT_S, n_nodes / (rate_per_s or 1))


def _apply_change(
    state: NodeState, upstream_id: str, before: NamedLimit | None, source: str
) -> bool:
    """Log a changed limit; return whether other nodes must learn of it."""
    after = state.upstream_limits.by_id[upstream_id]
    state.log.write(
        EventCode.upstream_limit_changed,
        upstream=upstream_id,
        limit_per_s=None if after.is_ended else after.per_s,
        before_per_s=before.per_s if before else None,
        source=source,
    )
    is_urgent = is_urgent_change(before, after)
    if is_urgent:
        drop_permits(state.send_permits, upstream_id)
    return is_urgent
