"""Splits a byte stream into complete server-sent events.

Source: WHATWG HTML, "Server-sent events", section 9.2.6.
"""

import re
from dataclasses import dataclass

__all__ = ('EventSplitter', 'StreamEvent', 'split_events')

_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
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

    buffer: bytes = b''


def split_events(splitter: EventSplitter, received: bytes) -> list[StreamEvent]:
    """Add received bytes and return the events that are now complete.

    Args:
        splitter: Buffer, updated in place; keeps the incomplete event.
        received: Bytes, in the order of arrival.
    """
    buffered = splitter.buffer + received
    events = []
    start = 0
    for boundary in _EVENT_END.finditer(buffered):
        stop = boundary.end()
        raw = buffered[start:stop]
        events.append(StreamEvent(raw, _read_id(raw)))
        start = stop
    splitter.buffer = buffered[start:]
    return events


def _read_id(raw: bytes) -> str:
    found = _ID_FIELD.search(raw)
    return found.group(1).decode('latin-1').strip() if found else ''
