"""Decides which part of a limit of the whole site this node may use."""

from turmericcrank_core.membership import iter_alive
from turmericcrank_core.sharing_nodes import (
    SharingNodes,
    is_refresh_due,
    update_sharing_nodes,
)

from turmericcrank_node.state.node_state import NodeState, read_boottime_s

__all__ = ('is_member_for', 'refresh_sharing_nodes')


def refresh_sharing_nodes(state: NodeState) -> SharingNodes:
    """Return the nodes that share the limits of the site now."""
    now_s = read_boottime_s()
    if not is_refresh_due(state.sharing_nodes, now_s):
        return state.sharing_nodes
    update_sharing_nodes(
        state.sharing_nodes,
        frozenset((*state.members.by_id, state.settings.node_id)),
        is_isolated=not any(iter_alive(state.members, now_s)),
        now_s=now_s,
    )
    return state.sharing_nodes


def is_member_for(state: NodeState, duration_s: float) -> bool:
    """Return whether this node has gossiped for some time without a pause.

    Before that it may know too few nodes, or be unknown to some.
    """
    return read_boottime_s() - state.joined_s >= duration_s
