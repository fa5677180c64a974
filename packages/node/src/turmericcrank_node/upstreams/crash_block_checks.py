"""Checks whether a request is blocked, and sends a few as tests."""

from collections.abc import Collection, Iterable

from turmericcrank_core.crash_block import (
    is_active,
    is_test_due,
    name_test_turn,
    next_test_s,
)
from turmericcrank_core.crash_blocks import (
    extend_blocks,
    find_block,
    start_test,
)
from turmericcrank_core.crash_evidence import Suspect
from turmericcrank_core.hash_ring import find_owner
from turmericcrank_core.sharing_nodes import find_sharing_ring

from turmericcrank_node.membership.limit_shares import refresh_sharing_nodes
from turmericcrank_node.state.crash_reports import Audience
from turmericcrank_node.state.node_state import NodeState, read_cluster_time_s
from turmericcrank_node.upstreams.poison_detection import (
    announce_blocks,
    is_part_key,
    make_part_key,
)

__all__ = (
    'block_moved_parts',
    'find_blocked_part',
    'is_blocked',
    'plan_block_wait_s',
    'take_test',
)


def is_blocked(state: NodeState, suspect: Suspect) -> bool:
    """Return whether a request must not be sent."""
    return find_block(state.crash_guard, suspect) is not None


def block_moved_parts(
    state: NodeState, service: str, parts: Collection[str]
) -> None:
    """Block parts of a request that crash upstreams of another service.

    Args:
        state: The node.
        service: Service that the request is for.
        parts: Parts of its prompt.
    """
    guard = state.crash_guard
    own_by_part = {part: make_part_key(service, part) for part in parts}
    has_news = any(
        key not in guard.breaks.answered_s_by_key
        for key in own_by_part.values()
    )
    if not has_news or not _has_blocked_parts(state):
        return
    listed = state.upstream_registry.by_id.values()
    others = {upstream.service for upstream in listed} - {service}
    own_by_other = {
        make_part_key(other, part): own
        for other in others
        for part, own in own_by_part.items()
    }
    blocks = extend_blocks(guard, own_by_other, read_cluster_time_s(state))
    announce_blocks(state, blocks, 'service', Audience.everyone)


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


def _has_blocked_parts(state: NodeState) -> bool:
    return any(
        is_active(block) and all(map(is_part_key, block.keys))
        for block in state.crash_guard.blocks_by_keys.values()
    )
