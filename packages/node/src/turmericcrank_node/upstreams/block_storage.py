"""Keeps the blocks of requests that crash upstreams in the store.

Load pattern: all nodes are restarted at once, and what crashed upstreams goes
on being sent. The node that reads the store for all writes the blocks that
change, and reads them when it begins to do so.
"""

from dataclasses import dataclass, field

import trio
from turmericcrank_core.crash_block import CrashBlock
from turmericcrank_core.membership import plan_member_rank
from turmericcrank_core.stored_blocks import plan_block_writes, shift_block

from turmericcrank_node.platform_port import StoreUnavailable
from turmericcrank_node.state.crash_reports import Audience
from turmericcrank_node.state.node_state import (
    NodeState,
    read_boottime_s,
    read_cluster_time_s,
)
from turmericcrank_node.upstreams.poison_detection import merge_reported_block

__all__ = ('BlockStorage', 'keep_blocks', 'serve_block_storage')

# The rank of a node that has just started is not known.
_STARTUP_S = 1.5
_INTERVAL_S = 0.5
_RETRY_INTERVAL_S = 5
_SOURCE = 'store'


@dataclass(slots=True)
class BlockStorage:
    """What this node knows of the stored blocks.

    Attributes:
        is_read: Whether it has read them since it began to keep them.
        stored_by_keys: Blocks as they are stored.
    """

    is_read: bool = False
    stored_by_keys: dict[frozenset[str], CrashBlock] = field(
        default_factory=dict
    )


async def serve_block_storage(state: NodeState) -> None:
    """Keep the blocks in the store while this node reads it for all."""
    storage = BlockStorage()
    await trio.sleep(_STARTUP_S)
    while True:
        is_done = await keep_blocks(state, storage)
        await trio.sleep(_INTERVAL_S if is_done else _RETRY_INTERVAL_S)


async def keep_blocks(state: NodeState, storage: BlockStorage) -> bool:
    """Read the stored blocks once, then write those that differ.

    Returns:
        False if the store was not available.
    """
    if not _is_reader(state):
        storage.is_read = False
        return True
    if not storage.is_read and not await _read_blocks(state, storage):
        return False
    now_s = read_cluster_time_s(state)
    writes = plan_block_writes(
        state.crash_guard.blocks_by_keys, storage.stored_by_keys, now_s
    )
    if writes.is_empty:
        return True
    shift_s = _find_store_shift_s(state)
    written = await state.platform.store.write_blocks(
        [
            shift_block(block, shift_s, now_s + shift_s)
            for block in writes.blocks
        ],
        writes.ended,
    )
    if isinstance(written, StoreUnavailable):
        return False
    storage.stored_by_keys.update(
        (block.keys, block) for block in writes.blocks
    )
    for keys in writes.ended:
        storage.stored_by_keys.pop(keys)
    return True


async def _read_blocks(state: NodeState, storage: BlockStorage) -> bool:
    """Read the stored blocks and report them; return whether that worked."""
    found = await state.platform.store.read_blocks()
    if isinstance(found, StoreUnavailable):
        return False
    now_s = read_cluster_time_s(state)
    shift_s = -_find_store_shift_s(state)
    read = [shift_block(block, shift_s, now_s) for block in found]
    storage.is_read = True
    storage.stored_by_keys = {block.keys: block for block in read}
    for block in read:
        merge_reported_block(state, block, _SOURCE, Audience.everyone)
    if read:
        state.request_gossip()
    return True


def _is_reader(state: NodeState) -> bool:
    """Return whether this node reads the store for all nodes."""
    rank = plan_member_rank(
        state.members, state.settings.node_id, read_boottime_s()
    )
    return rank == 0 and state.gossip_plan.is_reading_cell


def _find_store_shift_s(state: NodeState) -> float:
    """Return the time on the store's clock minus the cluster time."""
    store_s = read_boottime_s() + state.store_clock_offset_s
    return store_s - read_cluster_time_s(state)
