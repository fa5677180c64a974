"""Tests of splitting a stream into complete events."""

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.sse import EventSplitter, split_events

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
