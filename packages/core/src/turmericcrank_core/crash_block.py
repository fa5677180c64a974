"""A block of requests that crash upstreams, as nodes report it.

Merging is commutative, so the order of messages does not matter.
"""

from dataclasses import dataclass

__all__ = (
    'CrashBlock',
    'is_active',
    'is_same_state',
    'is_test_due',
    'merge_reports',
    'name_test_turn',
    'next_test_s',
)

_FIRST_TEST_S = 20
_TEST_INTERVAL_FACTOR = 8
_TEST_TURN_S = 5
# A test that fails costs an upstream.
_MAX_TESTS = 3


@dataclass(slots=True, frozen=True)
class CrashBlock:
    """A block of requests that carry all of some keys.

    All times are on a clock that all nodes share, in seconds.

    Attributes:
        keys: A fingerprint, or keys of prompt parts.
        since_s: When it was decided.
        crash_s: Newest crash that it was decided from.
        n_tests: Requests that were sent as tests since.
        tested_s: When the last of them was sent; 0 for never.
        lifted_s: Newest output of a request that carries the keys; 0 for
            none.
    """

    keys: frozenset[str]
    since_s: float
    crash_s: float
    n_tests: int = 0
    tested_s: float = 0
    lifted_s: float = 0


def is_active(block: CrashBlock) -> bool:
    """Return whether a block stops requests."""
    return block.lifted_s <= block.crash_s


def is_same_state(one: CrashBlock, other: CrashBlock) -> bool:
    """Return whether two reports of a block let the same requests through."""
    return is_active(one) == is_active(other) and one.n_tests == other.n_tests


def is_test_due(block: CrashBlock, now_s: float) -> bool:
    """Return whether one blocked request should be sent as a test."""
    return block.n_tests < _MAX_TESTS and now_s >= next_test_s(block)


def next_test_s(block: CrashBlock) -> float:
    """Return when the next test is due, in seconds."""
    last_s = max(block.since_s, block.tested_s)
    return last_s + _FIRST_TEST_S * _TEST_INTERVAL_FACTOR**block.n_tests


def name_test_turn(block: CrashBlock, now_s: float) -> str:
    """Return a name for which the nodes choose the one that may test a block.

    It changes with time, since the chosen node may get no such request.
    """
    return f'{min(block.keys)}/{int(now_s / _TEST_TURN_S)}'


def merge_reports(known: CrashBlock, reported: CrashBlock) -> CrashBlock:
    """Combine two reports of a block; one that began after its end is new."""
    if not is_active(known) and reported.crash_s > known.lifted_s:
        return reported
    if not is_active(reported) and known.crash_s > reported.lifted_s:
        return known
    return CrashBlock(
        known.keys,
        min(known.since_s, reported.since_s),
        max(known.crash_s, reported.crash_s),
        max(known.n_tests, reported.n_tests),
        max(known.tested_s, reported.tested_s),
        max(known.lifted_s, reported.lifted_s),
    )
