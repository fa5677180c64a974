"""Limits how fast a node reads streams, so that none starves the others.

Load pattern: upstreams send without end, as one event, as many empty ones or
in tiny chunks, and as fast as they are read. To read and split that costs
processor time which all other requests wait for.

A stream may be read freely up to a rate far above that of a model. Beyond it,
all streams share one rate, and a stream that finds nothing left of it waits.
It earns nothing while it waits, so endless streams keep to that rate together.
Costs are counted in bytes; a chunk or an event costs as much as the bytes that
take about as long.
"""

from dataclasses import dataclass

__all__ = ('ReadPace', 'SharedPace', 'plan_read_delay_s')

_BYTES_PER_CHUNK = 8192
_BYTES_PER_EVENT = 256
_FREE_BYTES_PER_S = 0x100000
_FREE_BURST_BYTES = 0x100000
_SHARED_BYTES_PER_S = 0x800000


@dataclass(slots=True)
class ReadPace:
    """What one stream may read freely.

    Attributes:
        free_bytes: Bytes left now.
        updated_s: From when it earns more, in seconds; None at the start.
    """

    free_bytes: float = _FREE_BURST_BYTES
    updated_s: float | None = None


@dataclass(slots=True)
class SharedPace:
    """What all streams together have read beyond that.

    Attributes:
        paid_until_s: When the shared rate has made up for it, in seconds.
    """

    paid_until_s: float = 0


def plan_read_delay_s(
    pace: ReadPace,
    shared: SharedPace,
    n_bytes: int,
    n_events: int,
    now_s: float,
) -> float:
    """Return how long a stream waits before it is read again, in seconds.

    Args:
        pace: What the stream may read freely; changed in place.
        shared: What all streams have read beyond; changed in place.
        n_bytes: Size of the chunk that was read.
        n_events: Events that it completed.
        now_s: Current time, in seconds.
    """
    if pace.updated_s is not None:
        earned_bytes = (now_s - pace.updated_s) * _FREE_BYTES_PER_S
        pace.free_bytes = min(_FREE_BURST_BYTES, pace.free_bytes + earned_bytes)
    pace.updated_s = now_s
    cost_bytes = n_bytes + _BYTES_PER_CHUNK + n_events * _BYTES_PER_EVENT
    excess_bytes = max(0, cost_bytes - pace.free_bytes)
    pace.free_bytes = max(0, pace.free_bytes - cost_bytes)
    if not excess_bytes:
        return 0
    began_s = max(now_s, shared.paid_until_s)
    shared.paid_until_s = began_s + excess_bytes / _SHARED_BYTES_PER_S
    pace.updated_s = shared.paid_until_s
    return shared.paid_until_s - now_s
