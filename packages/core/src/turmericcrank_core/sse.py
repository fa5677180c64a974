"""Splits a byte stream into complete server-sent events.

Source: WHATWG HTML, "Server-sent events", section 9.2.6.
"""

import re
from dataclasses import dataclass, field

__all__ = ('EventSplitter', 'StreamEvent', 'split_events')

_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_MAX_END_BYTES = 4
_ID_FIELD = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """One complete event.

    Attributes:
        raw: Bytes of the event, including the blank line that ends it.
        event_id: Id of the event; empty if it has none.
    """

    raw: bytes
    event_id: str


@dataclass(slots=True)
class EventSplitter:
    """Buffer for the bytes of an incomplete event."""

    buffer: bytearray = field(default_factory=bytearray)


def split_events(splitter: EventSplitter, received: bytes) -> list[StreamEvent]:
    """Add received bytes and return the events that are now complete.

    Each byte is searched once, or a few times near the ends of ``received``,
    however long an event is.

    Args:
        splitter: Buffer, updated in place; keeps the incomplete event.
        received: Bytes, in the order of arrival.
    """
    buffered = splitter.buffer
    searched = max(0, len(buffered) - _MAX_END_BYTES + 1)
    buffered += received
    # The iterator must be gone before the buffer is resized.
    stops = [
        boundary.end() for boundary in _EVENT_END.finditer(buffered, searched)
    ]
    events = []
    start = 0
    for stop in stops:
        raw = bytes(buffered[start:stop])
        events.append(StreamEvent(raw, _read_id(raw)))
        start = stop
    if start:
        splitter.buffer = buffered[start:]
    return events


def _read_id(raw: bytes) -> str:
    found = _ID_FIELD.search(raw)
    return found.group(1).decode('latin-1').strip() if found else ''
