"""Sends no more to a brittle upstream than it can run, all nodes together."""

from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.running_shares import (
    plan_rejection_wait_s,
    plan_running_share,
)
from turmericcrank_core.upstream_notices import (
    defer_upstream,
    find_brittle,
    record_brittle,
)
from turmericcrank_core.upstream_registry import ListedUpstream

from turmericcrank_node.membership.limit_shares import (
    is_member_for,
    refresh_sharing_nodes,
)
from turmericcrank_node.platform_port import ResponseInfo
from turmericcrank_node.state.node_state import (
    NodeState,
    read_boottime_s,
    read_cluster_time_s,
)

__all__ = ('has_slot', 'process_brittleness')

_SETTLE_S = 3


def process_brittleness(
    state: NodeState, upstream_id: str, response_info: ResponseInfo
) -> None:
    """Record whether an upstream is brittle; back off if it rejected."""
    now_s = read_boottime_s()
    max_per_s = response_info.max_rejections_per_s
    if record_brittle(state.notices, upstream_id, max_per_s, now_s):
        state.log.write(
            EventCode.upstream_brittle,
            upstream=upstream_id,
            max_rejections_per_s=max_per_s,
        )
    if max_per_s is not None and response_info.is_not_run:
        n_nodes = len(refresh_sharing_nodes(state).node_ids)
        wait_s = plan_rejection_wait_s(max_per_s, n_nodes)
        defer_upstream(state.notices, upstream_id, wait_s, now_s)


def has_slot(state: NodeState, upstream: ListedUpstream) -> bool:
    """Return whether this node may send one more request to an upstream.

    A node that has just started may not know all nodes, so it sends nothing
    to a brittle upstream.
    """
    upstream_id = upstream.upstream_id
    if find_brittle(state.notices, upstream_id, read_boottime_s()) is None:
        return True
    if not is_member_for(state, _SETTLE_S + state.members.gossip_interval_s):
        return False
    share = plan_running_share(
        upstream.slots,
        refresh_sharing_nodes(state).node_ids,
        state.settings.node_id,
        upstream_id,
        read_cluster_time_s(state),
    )
    return state.running_by_id.get(upstream_id, 0) < share
