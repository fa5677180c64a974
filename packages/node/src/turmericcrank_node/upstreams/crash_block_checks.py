"""Checks whether a request is blocked, and sends a few as tests."""

from collections.abc import Iterable

from turmericcrank_core.crash_block import (
    is_test_due,
    name_test_turn,
    next_test_s,
)
from turmericcrank_core.crash_blocks import find_block, start_test
from turmericcrank_core.crash_evidence import Suspect
from turmericcrank_core.hash_ring import find_owner
from turmericcrank_core.sharing_nodes import find_sharing_ring

from turmericcrank_node.membership.limit_shares import refresh_sharing_nodes
from turmericcrank_node.state.crash_reports import Audience
from turmericcrank_node.state.node_state import NodeState, read_cluster_time_s
from turmericcrank_node.upstreams.poison_detection import (
    announce_blocks,
    make_part_key,
)

__all__ = ('find_blocked_part', 'is_blocked', 'plan_block_wait_s', 'take_test')


def is_blocked(state: NodeState, suspect: Suspect) -> bool:
    """Return whether a request must not be sent."""
    return find_block(state.crash_guard, suspect) is not None


def find_blocked_part(
    state: NodeState, suspect: Suspect, service: str, parts: Iterable[str]
) -> str:
    """Return the parts for which a request is blocked; empty for none."""
    block = find_block(state.crash_guard, suspect)
    if block is None:
        return ''
    return ','.join(
        part for part in parts if make_part_key(service, part) in block.keys
    )


def plan_block_wait_s(state: NodeState, suspect: Suspect) -> float:
    """Return the time until a blocked request may be tested, in seconds."""
    block = find_block(state.crash_guard, suspect)
    if block is None:
        return 0
    return max(0, next_test_s(block) - read_cluster_time_s(state))


def take_test(state: NodeState, suspect: Suspect) -> bool:
    """Return whether a blocked request is to be sent as a test now.

    Only the node whose turn it is may send one, so that the nodes together
    send one at a time.
    """
    block = find_block(state.crash_guard, suspect)
    now_s = read_cluster_time_s(state)
    if block is None or not is_test_due(block, now_s):
        return False
    ring = find_sharing_ring(refresh_sharing_nodes(state))
    owner = find_owner(ring, name_test_turn(block, now_s))
    if owner != state.settings.node_id:
        return False
    tested = start_test(state.crash_guard, block, now_s)
    announce_blocks(state, [tested], 'test', Audience.everyone)
    return True
