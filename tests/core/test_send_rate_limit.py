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
def test_no_span_of_time_gets_more_than_a_quarter_of_the_link(
    requested, span_s
):
    """Simulates a burst: messages arrive faster than they may be sent."""
    budget = SendRateLimiter(_LINK_BYTES_PER_S)
    now_s = 0.0
    sent = []
    for pause_s, n_bytes in requested:
        now_s += max(pause_s, plan_send_delay_s(budget, now_s))
        record_sent(budget, n_bytes, now_s)
        sent.append((now_s, n_bytes))
    for first_s, _ in sent:
        sent_bytes = sum(
            size
            for sent_s, size in sent
            if first_s <= sent_s < first_s + span_s
        )
        assert sent_bytes <= _LINK_BYTES_PER_S * span_s / 4


def test_a_message_after_a_quiet_time_leaves_at_once():
    budget = SendRateLimiter(_LINK_BYTES_PER_S)
    record_sent(budget, _LARGEST_BYTES * 100, 0)
    assert plan_send_delay_s(budget, 1) > 0
    assert plan_send_delay_s(budget, 100) == 0
