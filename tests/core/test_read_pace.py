"""Tests of the rate at which streams are read."""

import heapq

import pytest
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
_FREE_BURST_BYTES = 0x100000
_SHARED_BYTES_PER_S = 0x800000


@given(st.lists(st.floats(0, 0.1), min_size=1, max_size=60))
def test_a_stream_at_the_rate_of_a_model_never_waits(jitters_s):
    """Also beside streams that have used up the shared rate."""
    shared = SharedPace(paid_until_s=1e9)
    pace = ReadPace()
    for number, jitter_s in enumerate(sorted(jitters_s)):
        now_s = number / _EVENTS_PER_S + jitter_s
        assert not plan_read_delay_s(pace, shared, _EVENT_BYTES, 1, now_s)


def _read_side_by_side(n_streams, n_bytes, duration_s):
    """Return how many bytes endless streams are read together."""
    shared = SharedPace()
    turns = [(0.0, number, ReadPace()) for number in range(n_streams)]
    n_read = 0
    while turns[0][0] < duration_s:
        now_s, number, pace = heapq.heappop(turns)
        delay_s = plan_read_delay_s(pace, shared, n_bytes, 0, now_s)
        heapq.heappush(turns, (now_s + delay_s + 1e-6, number, pace))
        n_read += n_bytes
    return n_read


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


@pytest.mark.parametrize('n_streams', [1, 12, 100])
def test_endless_streams_earn_nothing_while_they_wait(n_streams):
    """Each earned a free rate while it waited, so many kept a node busy."""
    n_bytes = 100_000
    burst_bytes = n_streams * (_FREE_BURST_BYTES + n_bytes)
    n_read = _read_side_by_side(n_streams, n_bytes, 10.0)
    assert n_read <= 10.0 * _SHARED_BYTES_PER_S + burst_bytes


def test_many_small_events_are_read_as_slowly_as_many_bytes():
    assert _count_chunks(1, _CHUNK_BYTES, 2700, 10.0) < 300


def test_streams_that_have_waited_are_read_at_once_again():
    pace, shared = ReadPace(), SharedPace()
    for _ in range(40):
        plan_read_delay_s(pace, shared, 100_000, 0, 0.0)
    assert plan_read_delay_s(pace, shared, 100_000, 0, 0.1) > 0
    assert plan_read_delay_s(pace, shared, 100_000, 0, 5.0) == 0
