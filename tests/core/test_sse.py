"""Tests of splitting a stream into complete events."""

import time

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.sse import EventSplitter, split_events

# 1 MiB searched once takes some hundredths of a second.
_MAX_SEARCH_S = 1.0
_lines = st.text('abc:', min_size=1, max_size=8).map(str.encode)


@given(
    st.lists(_lines, min_size=1, max_size=6),
    st.lists(st.integers(0, 200), max_size=8),
)
def test_the_events_do_not_depend_on_the_chunking(lines, cuts):
    stream_bytes = b''.join(
        b'id: %d\ndata: %s\n\n' % (number, line)
        for number, line in enumerate(lines)
    )
    splitter = EventSplitter()
    edges = [
        0,
        *sorted(min(cut, len(stream_bytes)) for cut in cuts),
        len(stream_bytes),
    ]
    events = []
    for start, end in zip(edges, edges[1:], strict=False):
        events.extend(split_events(splitter, stream_bytes[start:end]))
    assert b''.join(event.raw for event in events) == stream_bytes
    ids = [event.event_id for event in events]
    assert ids == [str(number) for number in range(len(lines))]
    assert splitter.buffer == b''


def test_an_incomplete_event_stays_in_the_buffer():
    splitter = EventSplitter()
    events = split_events(splitter, b'id: 1\ndata: a\n\nid: 2\ndata: b\n')
    assert [event.event_id for event in events] == ['1']
    assert splitter.buffer == b'id: 2\ndata: b\n'


def test_carriage_returns_end_events_too():
    events = split_events(EventSplitter(), b'id: 7\r\ndata: a\r\n\r\n')
    assert events[0].event_id == '7'


def test_an_endless_event_is_searched_once():
    """Each part was searched together with all that came before it."""
    splitter = EventSplitter()
    began_s = time.process_time()
    for _ in range(4096):
        assert not split_events(splitter, b'data: x\n' * 32)
    assert time.process_time() - began_s < _MAX_SEARCH_S
    assert len(split_events(splitter, b'\n')) == 1


def test_an_endless_event_is_not_copied_for_each_part():
    """Each part of one event cost a copy of all parts before it."""
    splitter = EventSplitter()
    split_events(splitter, b'data: 1\n\ndata: 2')
    buffered = splitter.buffer
    assert not split_events(splitter, b'3')
    assert splitter.buffer is buffered
    assert buffered == b'data: 23'
