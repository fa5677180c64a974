"""Limits the retries of one node within a sliding time window.

In any window a site allows retries in proportion to the first attempts of
that window, plus a fixed number. Each node is limited by its own first
attempts and its part of the fixed number, so all nodes together stay within
the limit of the site without coordination.

Load pattern: an upstream crashes, or a burst of answers has a low
confidence, so that a node needs within one second the retries that it has
accumulated over many seconds.
"""

import math
from collections import Counter
from dataclasses import dataclass, field

__all__ = (
    'RetryLimits',
    'RetryWindow',
    'count_retries_left',
    'record_first_attempt',
    'record_retry',
)


@dataclass(slots=True, frozen=True)
class RetryLimits:
    """Retry limits of one node.

    Attributes:
        ratio: Retries allowed per first attempt in the window.
        slack: Additional retries allowed per window.
        window_s: Length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(slots=True)
class RetryWindow:
    """Attempts in the window, counted by whole second.

    Attributes:
        first_attempts_by_s: Number of first attempts.
        retries_by_s: Number of retries.
    """

    first_attempts_by_s: Counter[int] = field(default_factory=Counter)
    retries_by_s: Counter[int] = field(default_factory=Counter)


def record_first_attempt(window: RetryWindow, now_s: float) -> None:
    """Count the first attempt of a request."""
    window.first_attempts_by_s[math.floor(now_s)] += 1


def record_retry(window: RetryWindow, now_s: float) -> None:
    """Count one retry."""
    window.retries_by_s[math.floor(now_s)] += 1


def count_retries_left(
    window: RetryWindow, limits: RetryLimits, now_s: float
) -> float:
    """Return the number of retries that may start now.

    The second in which the window begins counts in full for the retries and
    not at all for the first attempts, so that counting by whole seconds never
    allows more retries than the limit.
    """
    oldest = math.floor(now_s - limits.window_s)
    _remove_before(window.first_attempts_by_s, oldest + 1)
    _remove_before(window.retries_by_s, oldest)
    allowed = limits.slack + limits.ratio * window.first_attempts_by_s.total()
    return allowed - window.retries_by_s.total()


def _remove_before(count_by_s: Counter[int], oldest: int) -> None:
    for second in tuple(
        bucket_s for bucket_s in count_by_s if bucket_s < oldest
    ):
        count_by_s.pop(second)
