"""Tests of the rate at which streams are read."""

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.inbound import (
    ReadPace,
    SharedPace,
    plan_read_delay_s,
)

# Events of a fast model, far larger than usual.
_EVENTS_PER_S = 60
_EVENT_BYTES = 1000
_CHUNK_BYTES = 8192


@given(st.lists(st.floats(0, 0.1), min_size=1, max_size=60))
def test_a_stream_at_the_rate_of_a_model_never_waits(jitters_s):
    """Also beside streams that have used up the shared rate."""
    shared = SharedPace(paid_until_s=1e9)
    pace = ReadPace()
    for number, jitter_s in enumerate(sorted(jitters_s)):
        now_s = number / _EVENTS_PER_S + jitter_s
        assert not plan_read_delay_s(pace, shared, _EVENT_BYTES, 1, now_s)


def _count_chunks(n_streams, n_bytes, n_events, duration_s):
    """Return how many chunks endless streams are read in all."""
    shared = SharedPace()
    paces = [ReadPace() for _ in range(n_streams)]
    n_chunks = 0
    for pace in paces:
        now_s = 0.0
        while now_s < duration_s:
            now_s += plan_read_delay_s(pace, shared, n_bytes, n_events, now_s)
            n_chunks += 1
            now_s += 1e-6
    return n_chunks


def test_endless_streams_share_one_rate():
    few = _count_chunks(1, _CHUNK_BYTES, 0, 10.0)
    many = _count_chunks(40, _CHUNK_BYTES, 0, 10.0)
    assert few < 7000
    assert many < 7000 + 40 * 800


def test_many_small_events_are_read_as_slowly_as_many_bytes():
    assert _count_chunks(1, _CHUNK_BYTES, 2700, 10.0) < 300


def test_streams_that_have_waited_are_read_at_once_again():
    pace, shared = ReadPace(), SharedPace()
    for _ in range(40):
        plan_read_delay_s(pace, shared, 100_000, 0, 0.0)
    assert plan_read_delay_s(pace, shared, 100_000, 0, 0.1) > 0
    assert plan_read_delay_s(pace, shared, 100_000, 0, 5.0) == 0
