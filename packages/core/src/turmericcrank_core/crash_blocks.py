"""Blocks requests that crash upstreams, and tests from time to time.

A block stops requests that carry a fingerprint or all of a group of prompt
parts which has been found to crash upstreams. It ends as soon as any node sees
output of such a request that is newer than the crashes behind it: one that was
in flight elsewhere, or one of a few that are sent as tests. Nodes tell each
other their blocks; merging is commutative, so the order of messages does not
matter.
"""

import math
from collections.abc import Mapping, Set
from dataclasses import dataclass, field, replace

from turmericcrank_core.block_succession import is_superseded
from turmericcrank_core.connection_breaks import (
    BreakHistory,
    find_answered_since,
)
from turmericcrank_core.crash_block import (
    CrashBlock,
    is_active,
    is_same_state,
    merge_reports,
)
from turmericcrank_core.crash_evidence import (
    CrashHistory,
    CrashRecord,
    Suspect,
    add_crash,
    record_proof,
)
from turmericcrank_core.part_judgement import (
    WeighedGroup,
    find_part_groups,
    weigh_part_groups,
)
from turmericcrank_core.request_judgement import find_requests

__all__ = (
    'CrashGuard',
    'SuspectOutput',
    'expire_blocks',
    'extend_blocks',
    'find_block',
    'judge_parts',
    'merge_block',
    'record_output_of',
    'report_crash',
    'start_test',
    'weigh_suspects',
)

_RETENTION_S = 86_400
_LIFTED_RETENTION_S = 120
_MAX_BLOCKS = 256
# A block that ends sooner was a mistake: its crashes count again.
_MIN_EXPLAINED_S = 10
# Reports of all nodes on one crash arrive within this time.
_SETTLE_S = 0.4


@dataclass(slots=True)
class CrashGuard:
    """Crashes of all nodes, and the blocks that follow from them.

    Attributes:
        history: Crashes and proofs.
        blocks_by_keys: Blocks, active or lifted lately.
        is_judgement_due: Whether a crash was recorded since parts were judged.
        breaks: Broken connections of this node that may have been crashes.
    """

    history: CrashHistory = field(default_factory=CrashHistory)
    blocks_by_keys: dict[frozenset[str], CrashBlock] = field(
        default_factory=dict
    )
    is_judgement_due: bool = False
    breaks: BreakHistory = field(default_factory=BreakHistory)


@dataclass(slots=True, frozen=True)
class SuspectOutput:
    """What the output of a request has changed.

    Attributes:
        proven_keys: Keys against which no crash counts any more.
        lifted: Blocks that it has ended.
        blocks: Blocks that follow from it: what remains of a group of parts.
    """

    proven_keys: list[str] = field(default_factory=list)
    lifted: list[CrashBlock] = field(default_factory=list)
    blocks: list[CrashBlock] = field(default_factory=list)


def find_block(guard: CrashGuard, suspect: Suspect) -> CrashBlock | None:
    """Return the active block that stops a request; None if there is none."""
    if not guard.blocks_by_keys:
        return None
    carried = suspect.keys
    return next(
        (block for block in _list_active(guard) if block.keys <= carried),
        None,
    )


def report_crash(
    guard: CrashGuard, record: CrashRecord, now_s: float
) -> list[CrashBlock] | None:
    """Record a crash; parts of prompts are judged later, by ``judge_parts``.

    Returns:
        The blocks of requests that follow from it; None if it adds nothing to
        what is known.
    """
    if not add_crash(guard.history, record):
        return None
    answered = find_answered_since(guard.breaks, record, now_s)
    for key, at_s in answered.items():
        record_proof(guard.history, (key,), at_s)
    guard.is_judgement_due = True
    return _blame_requests(guard, now_s)


def judge_parts(guard: CrashGuard, now_s: float) -> list[CrashBlock]:
    """Judge the parts of prompts, by crashes of which all nodes have heard.

    Call it often; it does nothing unless a crash has been recorded.

    Returns:
        The blocks that have begun, and those that these replace.
    """
    if not guard.is_judgement_due:
        return []
    settled_s = now_s - _SETTLE_S
    guard.is_judgement_due = guard.history.crashes[-1].at_s > settled_s
    groups = find_part_groups(
        guard.history, _list_known(guard), settled_s, _list_answered(guard)
    )
    added = _add_blocks(guard, groups, now_s)
    lifted = _lift_superseded(guard, now_s) if added else []
    return added + lifted


def weigh_suspects(guard: CrashGuard, now_s: float) -> list[WeighedGroup]:
    """Return the groups of parts that ``judge_parts`` has not blamed yet."""
    settled_s = now_s - _SETTLE_S
    return weigh_part_groups(
        guard.history, _list_known(guard), settled_s, _list_answered(guard)
    )


def record_output_of(
    guard: CrashGuard, keys: frozenset[str], at_s: float, now_s: float
) -> SuspectOutput:
    """Record output of a request: what it carries does not crash upstreams.

    Args:
        guard: Changed in place.
        keys: Keys of the request, or some of them as another node reports.
        at_s: Time of the output, in seconds.
        now_s: Current time, in seconds.
    """
    if not guard.history.crashes and not guard.blocks_by_keys:
        return SuspectOutput()
    lifted = [
        _store(guard, replace(block, lifted_s=at_s))
        for block in _list_active(guard)
        if block.keys <= keys and at_s > block.crash_s
    ]
    proven_keys = record_proof(guard.history, keys, at_s)
    blocks = _narrow_blocks(guard, now_s) if proven_keys else []
    return SuspectOutput(proven_keys, lifted, blocks)


def extend_blocks(
    guard: CrashGuard, own_by_other: Mapping[str, str], now_s: float
) -> list[CrashBlock]:
    """Block parts at one service that are blocked at another one.

    A route may move between services, and a part that crashes upstreams of
    one would crash those of the other as often before it is blamed again.
    Parts that were answered at the service are left out.

    Args:
        guard: Changed in place.
        own_by_other: Keys of parts at the service, by those at the others.
        now_s: Current time, in seconds.

    Returns:
        The blocks that have begun.
    """
    answered = _list_answered(guard)
    extended = []
    for block in _list_active(guard):
        if not block.keys <= own_by_other.keys():
            continue
        keys = frozenset(own_by_other[key] for key in block.keys) - answered
        is_full = len(guard.blocks_by_keys) >= _MAX_BLOCKS
        if keys and keys not in guard.blocks_by_keys and not is_full:
            begun = CrashBlock(keys, now_s, block.crash_s)
            extended.append(_store(guard, begun))
    return extended


def merge_block(guard: CrashGuard, reported: CrashBlock) -> bool:
    """Merge a block that another node reports.

    It has ended if this node has seen answers to what it blocks since.

    Returns:
        Whether requests are stopped or let through by it that were not
        before, or a test was sent.
    """
    known = guard.blocks_by_keys.get(reported.keys)
    is_full = len(guard.blocks_by_keys) >= _MAX_BLOCKS
    if not reported.keys or (known is None and is_full):
        return False
    merged = reported if known is None else merge_reports(known, reported)
    answered_s_by_key = guard.breaks.answered_s_by_key
    answered_s = min(answered_s_by_key.get(key, 0) for key in merged.keys)
    if is_active(merged) and answered_s > merged.crash_s:
        merged = replace(merged, lifted_s=answered_s)
    guard.blocks_by_keys[merged.keys] = merged
    return known is None or not is_same_state(known, merged)


def start_test(
    guard: CrashGuard, block: CrashBlock, now_s: float
) -> CrashBlock:
    """Record that a blocked request is sent as a test; return its block."""
    tested = replace(block, n_tests=block.n_tests + 1, tested_s=now_s)
    guard.blocks_by_keys[block.keys] = tested
    return tested


def expire_blocks(guard: CrashGuard, now_s: float) -> None:
    """Remove old blocks.

    A lifted one is kept for a time, so that a late report of another node
    can't bring it back.
    """
    for keys, block in list(guard.blocks_by_keys.items()):
        retention_s = _RETENTION_S if is_active(block) else _LIFTED_RETENTION_S
        newest_s = max(block.since_s, block.tested_s, block.lifted_s)
        if now_s - newest_s > retention_s:
            guard.blocks_by_keys.pop(keys)


def _blame_requests(guard: CrashGuard, now_s: float) -> list[CrashBlock]:
    known = _list_known(guard)
    return _add_blocks(guard, find_requests(guard.history, known), now_s)


def _list_active(guard: CrashGuard) -> list[CrashBlock]:
    return [
        block for block in guard.blocks_by_keys.values() if is_active(block)
    ]


def _list_known(guard: CrashGuard) -> dict[frozenset[str], float]:
    """Return the culprits, and until when they explain crashes."""
    return {
        block.keys: math.inf if is_active(block) else block.lifted_s
        for block in guard.blocks_by_keys.values()
        if is_active(block)
        or block.lifted_s - block.since_s >= _MIN_EXPLAINED_S
    }


def _list_answered(guard: CrashGuard) -> Set[str]:
    """Return the keys that were answered, at this node or since a crash."""
    answered = guard.breaks.answered_s_by_key.keys()
    return answered | guard.history.proven_s_by_key.keys()


def _lift_superseded(guard: CrashGuard, now_s: float) -> list[CrashBlock]:
    """End blocks all of whose crashes other blocks explain better."""
    active = [block.keys for block in _list_active(guard)]
    return [
        _store(guard, replace(guard.blocks_by_keys[keys], lifted_s=now_s))
        for keys in active
        if not guard.blocks_by_keys[keys].n_tests
        and is_superseded(
            guard.history, keys, [one for one in active if not one <= keys]
        )
    ]


def _add_blocks(
    guard: CrashGuard, culprits: list[frozenset[str]], now_s: float
) -> list[CrashBlock]:
    n_free = _MAX_BLOCKS - len(guard.blocks_by_keys)
    return [_add_block(guard, keys, now_s) for keys in culprits[:n_free]]


def _narrow_blocks(guard: CrashGuard, now_s: float) -> list[CrashBlock]:
    """Block what remains of a group once some of its parts are proven sound."""
    remains = [
        frozenset(
            key
            for key in block.keys
            if guard.history.proven_s_by_key.get(key, 0) <= block.crash_s
        )
        for block in _list_active(guard)
        if len(block.keys) > 1
    ]
    return [
        _add_block(guard, keys, now_s)
        for keys in remains
        if keys and keys not in guard.blocks_by_keys
    ]


def _add_block(
    guard: CrashGuard, keys: frozenset[str], now_s: float
) -> CrashBlock:
    crash_s = max(
        guard.history.crashed_s_by_key.get(key, now_s) for key in keys
    )
    return _store(guard, CrashBlock(keys, now_s, crash_s))


def _store(guard: CrashGuard, block: CrashBlock) -> CrashBlock:
    guard.blocks_by_keys[block.keys] = block
    return block
