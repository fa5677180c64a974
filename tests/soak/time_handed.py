"""Which requests were sent on with more time than was left."""

import enum
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from tests.soak.in_touch import make_in_touch, overlaps
from tests.soak.record import Arrival, ClientRequest, RouteKind, Run
from tests.soak.upstream_spans import find_silent_spans

__all__ = ('MOMENTS', 'Moment', 'TimeHanded', 'find_time_handed')

_SLACK_S = 0.5
_KINDS = (RouteKind.idempotent, RouteKind.non_idempotent)


class Moment(enum.StrEnum):
    """What a moment of sending is taken from."""

    read = 'reading'
    connected = 'connection'
    handed = 'sending'


MOMENTS = tuple(Moment)


@dataclass(slots=True)
class TimeHanded:
    """Figures of the time that was handed on.

    Attributes:
        late_repeats: Ids of requests sent again over 0.5 s later, by arrival.
        too_long: Ids of requests sent with too much time, by arrival.
        n_counted: Arrivals in one or both.
    """

    late_repeats: list[str] = field(default_factory=list)
    too_long: list[str] = field(default_factory=list)
    n_counted: int = 0

    def add(
        self, request: ClientRequest, *, is_late: bool, is_long: bool
    ) -> None:
        """Count an arrival."""
        self.late_repeats += [request.request_id] * is_late
        self.too_long += [request.request_id] * is_long
        self.n_counted += is_late or is_long

    @property
    def share(self) -> float:
        """Share of the arrivals counted that had too much time."""
        return len(self.too_long) / self.n_counted if self.n_counted else 0


def find_time_handed(run: Run, moment: Moment = Moment.read) -> TimeHanded:
    """Find late repeats, and what nodes in touch handed too much time.

    By the time of sending, only requests are counted of which it is known
    for each arrival. By any other, none over a link that was harmed lately.
    """
    is_counted = _make_is_counted(run, moment)
    figures = TimeHanded()
    for request, arrivals in _group_arrivals(run, moment):
        first_s = _read_moment(request, arrivals[0], moment)
        for arrival in arrivals:
            at_s = _read_moment(request, arrival, moment)
            if is_counted(request, arrival, at_s):
                is_late = at_s > first_s + _SLACK_S
                end_s = _find_end(request, arrivals[0], first_s)
                is_long = _is_long(request, arrival) or (
                    is_late and at_s + arrival.deadline_s > end_s + _SLACK_S
                )
                figures.add(request, is_late=is_late, is_long=is_long)
    return figures


def _make_is_counted(
    run: Run, moment: Moment
) -> Callable[[ClientRequest, Arrival, float], bool]:
    is_in_touch = make_in_touch(run)
    silent = find_silent_spans(run.upstream_events)
    contact_s = run.bounds.contact_s

    def is_counted(
        request: ClientRequest, arrival: Arrival, at_s: float
    ) -> bool:
        if not is_in_touch(arrival.node or request.node, at_s):
            return False
        if moment is Moment.handed:
            return True
        spans = silent.get(arrival.upstream, ())
        return not overlaps(spans, at_s - contact_s, at_s)

    return is_counted


def _group_arrivals(
    run: Run, moment: Moment
) -> Iterator[tuple[ClientRequest, list[Arrival]]]:
    by_id: dict[str, list[Arrival]] = {}
    for arrival in sorted(run.arrivals, key=lambda one: one.read_s):
        by_id.setdefault(arrival.request_id, []).append(arrival)
    for request in run.requests:
        arrivals = by_id.get(request.request_id)
        if not arrivals or request.kind not in _KINDS:
            continue
        if moment is not Moment.handed or _are_known(arrivals):
            yield request, arrivals


def _are_known(arrivals: list[Arrival]) -> bool:
    return all(arrival.handed_s for arrival in arrivals)


def _find_end(request: ClientRequest, first: Arrival, at_s: float) -> float:
    """Find the later end of the first sending's and the client's time."""
    own_s = request.began_s + request.deadline_s
    return max(own_s, at_s + (first.deadline_s or 0))


def _is_long(request: ClientRequest, arrival: Arrival) -> bool:
    if arrival.deadline_s is None:
        return True
    return arrival.deadline_s > request.deadline_s + _SLACK_S


def _read_moment(
    request: ClientRequest, arrival: Arrival, moment: Moment
) -> float:
    if moment is Moment.handed:
        return arrival.handed_s
    # A connection that is older than the request says nothing about it.
    if moment is Moment.connected and arrival.connected_s >= request.began_s:
        return arrival.connected_s
    return arrival.read_s
