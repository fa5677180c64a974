"""Cuts a byte stream into whole server-sent events.

Source: WHATWG HTML, "Server-sent events", section 9.2.6.
"""

import re
from dataclasses import dataclass

__all__ = ('EventSplitter', 'StreamEvent', 'split_events')

_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


@dataclass(slots=True, frozen=True)
class StreamEvent:
    """One whole event.

    Attributes:
        raw: Its bytes, with the blank line that ends it.
        event_id: Its id; empty without one.
    """

    raw: bytes
    event_id: str


@dataclass(slots=True)
class EventSplitter:
    """Bytes of an event that has not ended yet."""

    rest: bytes = b''


def split_events(splitter: EventSplitter, added: bytes) -> list[StreamEvent]:
    """Add bytes and give the events that are whole now.

    Args:
        splitter: Changed in place; keeps what is not whole.
        added: Bytes in the order of their arrival.
    """
    held = splitter.rest + added
    events = []
    start = 0
    for end in _END.finditer(held):
        stop = end.end()
        raw = held[start:stop]
        events.append(StreamEvent(raw, _read_id(raw)))
        start = stop
    splitter.rest = held[start:]
    return events


def _read_id(raw: bytes) -> str:
    found = _ID.search(raw)
    return found.group(1).decode('latin-1').strip() if found else ''
