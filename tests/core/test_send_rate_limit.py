"""Tests of the rate limit for messages between nodes."""

from hypothesis import example, given
from hypothesis import strategies as st
from turmericcrank_core.send_rate_limit import (
    SendRateLimiter,
    plan_send_delay_s,
    record_sent,
)

_LINK_BYTES_PER_S = 625_000
_LARGEST_BYTES = 8000


@given(
    st.lists(
        st.tuples(st.floats(0, 0.4), st.integers(1, _LARGEST_BYTES)),
        max_size=200,
    ),
    st.floats(0.5, 3),
)
@example([(0.0, _LARGEST_BYTES)] * 30, 0.5)
def test_messages_use_at_most_a_quarter_of_the_link_in_any_interval(
    requested, span_s
):
    """Simulates a burst: messages arrive faster than they may be sent."""
    limiter = SendRateLimiter(_LINK_BYTES_PER_S)
    now_s = 0.0
    sent = []
    for gap_s, n_bytes in requested:
        now_s += max(gap_s, plan_send_delay_s(limiter, now_s))
        record_sent(limiter, n_bytes, now_s)
        sent.append((now_s, n_bytes))
    for first_s, _ in sent:
        sent_bytes = sum(
            size
            for sent_s, size in sent
            if first_s <= sent_s < first_s + span_s
        )
        assert sent_bytes <= _LINK_BYTES_PER_S * span_s / 4


def test_a_message_after_an_idle_period_is_sent_at_once():
    limiter = SendRateLimiter(_LINK_BYTES_PER_S)
    record_sent(limiter, _LARGEST_BYTES * 100, 0)
    assert plan_send_delay_s(limiter, 1) > 0
    assert plan_send_delay_s(limiter, 100) == 0
