"""When upstreams were sound."""

import math
from collections import defaultdict
from collections.abc import Iterable

from tests.soak.in_touch import Span, overlaps
from tests.soak.record import Arrival, UpstreamEvent, UpstreamEventKind

__all__ = (
    'broke_off',
    'find_silent_spans',
    'find_unsound_spans',
    'was_sound',
)

_BEGINS = (
    UpstreamEventKind.paused,
    UpstreamEventKind.silent,
    UpstreamEventKind.crashed,
)
_SILENCE = (UpstreamEventKind.silent, UpstreamEventKind.resumed)
_BREAKS = (UpstreamEventKind.reset, UpstreamEventKind.crashed)


def find_unsound_spans(
    upstream_events: Iterable[UpstreamEvent],
) -> dict[str, list[Span]]:
    """Find the spans in which each upstream was harmed or away."""
    spans = defaultdict(list)
    since: dict[str, float] = {}
    for event in sorted(upstream_events, key=lambda one: one.at_s):
        if event.kind is UpstreamEventKind.reset:
            spans[event.upstream].append((event.at_s, event.at_s))
        elif event.kind in _BEGINS:
            since.setdefault(event.upstream, event.at_s)
        elif event.upstream in since:
            span = (since.pop(event.upstream), event.at_s)
            spans[event.upstream].append(span)
    for upstream, since_s in since.items():
        spans[upstream].append((since_s, math.inf))
    return spans


def find_silent_spans(
    upstream_events: Iterable[UpstreamEvent],
) -> dict[str, list[Span]]:
    """Find the spans in which links of each upstream were silent."""
    return find_unsound_spans(
        event for event in upstream_events if event.kind in _SILENCE
    )


def was_sound(
    unsound: dict[str, list[Span]], arrival: Arrival, until_s: float
) -> bool:
    """Say whether an upstream was sound from an arrival to a moment."""
    spans = unsound.get(arrival.upstream, ())
    return not overlaps(spans, arrival.read_s, until_s)


def broke_off(
    upstream_events: Iterable[UpstreamEvent], arrival: Arrival, until_s: float
) -> bool:
    """Say whether an upstream broke off what it had read."""
    return any(
        event.upstream == arrival.upstream
        and event.kind in _BREAKS
        and arrival.read_s <= event.at_s <= until_s
        for event in upstream_events
    )
