"""Plans which blocks are kept in a store, so that they outlast all nodes.

Only active blocks are kept, and none that has just begun: a mistake is mostly
corrected within a moment.
"""

import itertools
from collections.abc import Mapping
from dataclasses import dataclass, replace

from turmericcrank_core.crash_block import CrashBlock, is_active, is_same_state

__all__ = ('BlockWrites', 'plan_block_writes', 'shift_block')

_MIN_AGE_S = 1
# Rows of one call, of each kind.
_MAX_ROWS = 40


@dataclass(slots=True, frozen=True)
class BlockWrites:
    """What one call writes.

    Attributes:
        blocks: Blocks to write.
        ended: Keys of stored blocks to remove.
    """

    blocks: list[CrashBlock]
    ended: list[frozenset[str]]

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to write."""
        return not self.blocks and not self.ended


def plan_block_writes(
    blocks_by_keys: Mapping[frozenset[str], CrashBlock],
    stored_by_keys: Mapping[frozenset[str], CrashBlock],
    now_s: float,
) -> BlockWrites:
    """Compare the blocks of a node with the stored ones.

    Args:
        blocks_by_keys: Blocks that the node knows.
        stored_by_keys: Blocks as they are stored.
        now_s: Current time, in seconds.
    """
    active = {
        keys: block
        for keys, block in blocks_by_keys.items()
        if is_active(block)
    }
    changed = (
        block
        for keys, block in active.items()
        if now_s - block.since_s >= _MIN_AGE_S
        and not _is_stored(block, stored_by_keys.get(keys))
    )
    ended = (keys for keys in stored_by_keys if keys not in active)
    return BlockWrites(
        list(itertools.islice(changed, _MAX_ROWS)),
        list(itertools.islice(ended, _MAX_ROWS)),
    )


def shift_block(block: CrashBlock, shift_s: float, now_s: float) -> CrashBlock:
    """Move the times of an active block to another clock.

    Args:
        block: An active block.
        shift_s: Time on the other clock minus time on that of the block.
        now_s: Current time on the other clock; no time is later.
    """
    return replace(
        block,
        since_s=min(now_s, block.since_s + shift_s),
        crash_s=min(now_s, block.crash_s + shift_s),
        tested_s=min(now_s, block.tested_s + shift_s) if block.n_tests else 0,
        lifted_s=0,
    )


def _is_stored(block: CrashBlock, stored: CrashBlock | None) -> bool:
    return stored is not None and is_same_state(block, stored)
