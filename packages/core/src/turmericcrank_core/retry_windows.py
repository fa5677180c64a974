"""Bounds the retries of one node within a sliding window of time.

A site allows, in any window, retries in proportion to the first attempts of
that window, and a fixed number beyond. Each node keeps to its own first
attempts and to its part of the fixed number, so all nodes together keep to
the whole without a word between them.

Load pattern: an upstream crashes or a burst of answers is doubted, so that a
node needs within a second what it has earned over many.
"""

import math
from collections import Counter
from dataclasses import dataclass, field

__all__ = (
    'RetryLimits',
    'RetryWindow',
    'count_retries_left',
    'note_first_attempt',
    'note_retry',
)


@dataclass(slots=True, frozen=True)
class RetryLimits:
    """What one node may spend.

    Attributes:
        ratio: Retries for each first attempt in the window.
        slack: Retries beyond that, at least 1.
        window_s: Length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(slots=True)
class RetryWindow:
    """Attempts of the last seconds, by whole second.

    Attributes:
        firsts_by_s: First attempts.
        retries_by_s: Retries.
    """

    firsts_by_s: Counter[int] = field(default_factory=Counter)
    retries_by_s: Counter[int] = field(default_factory=Counter)


def note_first_attempt(window: RetryWindow, now_s: float) -> None:
    """Count the first attempt of a request."""
    window.firsts_by_s[math.floor(now_s)] += 1


def note_retry(window: RetryWindow, now_s: float) -> None:
    """Count a retry that starts now."""
    window.retries_by_s[math.floor(now_s)] += 1


def count_retries_left(
    window: RetryWindow, limits: RetryLimits, now_s: float
) -> float:
    """Count the retries that may start now.

    The second in which the window begins counts in full for the retries and
    not at all for the first attempts.
    """
    oldest = math.floor(now_s - limits.window_s)
    _forget_before(window.firsts_by_s, oldest + 1)
    _forget_before(window.retries_by_s, oldest)
    allowed = limits.slack + limits.ratio * window.firsts_by_s.total()
    return allowed - window.retries_by_s.total()


def _forget_before(count_by_s: Counter[int], oldest: int) -> None:
    for second in tuple(one for one in count_by_s if one < oldest):
        count_by_s.pop(second)
