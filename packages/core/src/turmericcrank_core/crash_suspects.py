"""Reads from crashes which requests may be to blame, and how often.

Crashes at the same moment count once: a failure of a data centre or of power
ends many upstreams, and requests that are sent often were at all of them.
"""

import math
from collections.abc import Iterable, Sequence

from turmericcrank_core.crash_evidence import (
    CrashHistory,
    CrashRecord,
    Suspect,
    is_open,
)

__all__ = (
    'SAME_MOMENT_S',
    'count_moments',
    'is_request',
    'limit_to_begun',
    'list_carriers',
)

SAME_MOMENT_S = 0.3


def list_carriers(
    crash: CrashRecord, group: frozenset[str]
) -> frozenset[Suspect]:
    """Return the suspects of a crash that carry all keys of a group."""
    return frozenset(
        suspect for suspect in crash.suspects if group <= suspect.keys
    )


def limit_to_begun(history: CrashHistory, crash: CrashRecord) -> CrashRecord:
    """Limit a crash to requests that had begun, if any is not yet cleared.

    An upstream may end before it begins to respond to the culprit. Those that
    had begun there are sent again and soon cleared.
    """
    begun = frozenset(
        suspect
        for suspect in crash.suspects
        if suspect.has_begun and is_open(history, crash, suspect.fingerprint)
    )
    if not begun:
        return crash
    return CrashRecord(crash.upstream_id, crash.at_s, begun)


def is_request(culprit: frozenset[str], crashes: Iterable[CrashRecord]) -> bool:
    """Return whether a culprit is the fingerprint of a request."""
    return any(
        suspect.fingerprint in culprit
        for crash in crashes
        for suspect in crash.suspects
    )


def count_moments(
    crashes: Sequence[CrashRecord],
    indices: Iterable[int],
    same_moment_s: float = SAME_MOMENT_S,
) -> int:
    """Count crashes; those soon after a counted one are left out.

    Args:
        crashes: Crashes, in any order.
        indices: Which of them to count.
        same_moment_s: How soon, in seconds.
    """
    count = 0
    counted_s = -math.inf
    for at_s in sorted(crashes[index].at_s for index in indices):
        if at_s - counted_s > same_moment_s:
            counted_s = at_s
            count += 1
    return count
