"""Tests of the retry limit of one node in a sliding window."""

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.retry_budget import (
    RetryBudget,
    deposit_token,
    withdraw_token,
)
from turmericcrank_core.retry_windows import (
    RetryLimits,
    RetryWindow,
    count_retries_left,
    record_first_attempt,
    record_retry,
)

_LIMITS = RetryLimits(ratio=0.6, slack=2, window_s=10)


def _simulate(attempts):
    """Start every allowed retry; return first attempts and retries by time."""
    window = RetryWindow()
    first_attempts, retries = [], []
    for at_s, is_retry in sorted(attempts):
        if not is_retry:
            record_first_attempt(window, at_s)
            first_attempts.append(at_s)
        elif count_retries_left(window, _LIMITS, at_s) >= 1:
            record_retry(window, at_s)
            retries.append(at_s)
    return first_attempts, retries


_attempts = st.lists(st.tuples(st.floats(0, 40), st.booleans()), max_size=120)


@given(_attempts)
def test_the_retries_of_any_window_stay_within_the_limit(attempts):
    first_attempts, retries = _simulate(attempts)
    for end_s in retries:
        begin_s = end_s - _LIMITS.window_s
        n_retries = sum(begin_s < at_s <= end_s for at_s in retries)
        n_firsts = sum(begin_s < at_s <= end_s for at_s in first_attempts)
        assert n_retries <= _LIMITS.slack + _LIMITS.ratio * n_firsts


def _simulate_crash(start_retry, add_first_attempt):
    """Simulate a crash: one request per second for 10 s, then six retries."""
    for second in range(10):
        add_first_attempt(second)
    return sum(start_retry(10) for _ in range(6))


def test_retries_accumulated_at_low_load_are_available_in_a_burst():
    """Retries earned at low load must be available after a crash.

    A token bucket of two tokens discards what exceeds its size, so it allows
    only two of six retries.
    """
    window = RetryWindow()

    def start_retry(now_s):
        if count_retries_left(window, _LIMITS, now_s) < 1:
            return False
        record_retry(window, now_s)
        return True

    n_started = _simulate_crash(
        start_retry, lambda now_s: record_first_attempt(window, now_s)
    )
    assert n_started == 6
    bucket = RetryBudget(_LIMITS.ratio, _LIMITS.slack, _LIMITS.slack)
    n_with_bucket = _simulate_crash(
        lambda _: withdraw_token(bucket), lambda _: deposit_token(bucket)
    )
    assert n_with_bucket == 2
