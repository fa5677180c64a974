"""Losses around planned work: SIGTERM, SIGHUP, configuration changes."""

from collections.abc import Callable, Iterator

from tests.soak.in_touch import Span, find_unplanned_spans, overlaps
from tests.soak.record import (
    Arrival,
    ClientRequest,
    ConfigurationChange,
    Ending,
    NodeEventKind,
    Run,
)
from tests.soak.upstream_spans import broke_off, find_unsound_spans

__all__ = ('find_planned_losses',)

ByID = dict[str, list[Arrival]]

_AFTER_WORK_S = 1
_EARLY_S = 3
_LAST_SHARE = 1 / 6
_USED_SHARE = 0.7
_TIMES_AS_OFTEN = 3


def find_planned_losses(
    run: Run, by_id: ByID
) -> dict[str, list[ClientRequest]]:
    """Find the losses of each line, by its short name.

    Unplanned disruptions are those of the nodes and upstreams that had the
    request. Trouble of the store alone excuses nothing.
    """
    cut = list(_find_cut(run, by_id))
    at_work = {
        one.request_id for one in cut if _is_at_work_at_end(run, by_id, one)
    }
    counted = [one for one in cut if one.request_id not in at_work]
    return {
        'SIGTERM': [one for one in cut if _is_at_term(run, by_id, one)],
        'SIGHUP': [one for one in counted if _is_at_hup(run, one)],
        'configuration': _find_at_changes(run, counted),
    }


def _find_cut(run: Run, by_id: ByID) -> Iterator[ClientRequest]:
    """Find what was read whole, and cut though nothing excuses it."""
    is_calm = _make_is_calm(run)
    for request in run.requests:
        if request.ending is not Ending.broken or not request.sent_s:
            continue
        arrivals = [
            arrival
            for arrival in by_id.get(request.request_id, ())
            if arrival.read_s <= request.ended_s
        ]
        if _is_loss(run, request, arrivals) and is_calm(request, arrivals):
            yield request


def _is_loss(run: Run, request: ClientRequest, arrivals: list[Arrival]) -> bool:
    cut_s = request.ended_s - request.sent_s
    if not arrivals and cut_s <= run.bounds.loss_slack_s:
        return False
    if _has_used(request, 1):
        return False
    events = run.upstream_events
    return not any(
        broke_off(events, arrival, request.ended_s) for arrival in arrivals
    )


def _make_is_calm(
    run: Run,
) -> Callable[[ClientRequest, list[Arrival]], bool]:
    nodes = find_unplanned_spans(run.node_events)
    upstreams = find_unsound_spans(run.upstream_events)

    def is_calm(request: ClientRequest, arrivals: list[Arrival]) -> bool:
        spans: list[Span] = list(nodes.get(request.node, ()))
        for arrival in arrivals:
            spans.extend(nodes.get(arrival.node, ()))
            spans.extend(upstreams.get(arrival.upstream, ()))
        begin_s = request.began_s - run.bounds.contact_s
        return not overlaps(spans, begin_s, request.ended_s)

    return is_calm


def _is_at_term(run: Run, by_id: ByID, request: ClientRequest) -> bool:
    return not all(_list_excuses(run, by_id, request))


def _is_at_work_at_end(run: Run, by_id: ByID, request: ClientRequest) -> bool:
    """Say whether each SIGTERM excuses a request, also beside other work."""
    excuses = _list_excuses(run, by_id, request)
    return bool(excuses) and all(excuses)


def _list_excuses(run: Run, by_id: ByID, request: ClientRequest) -> list[bool]:
    """Say for each SIGTERM around the end of a request if it excuses it."""
    grace_s = run.bounds.grace_s
    arrivals = by_id.get(request.request_id, [])
    return [
        _is_excused(request, arrivals, term_s, grace_s)
        for term_s in _find_times(run, request.node, NodeEventKind.term)
        if term_s <= request.ended_s <= term_s + grace_s + _AFTER_WORK_S
    ]


def _is_excused(
    request: ClientRequest,
    arrivals: list[Arrival],
    term_s: float,
    grace_s: float,
) -> bool:
    """Say whether an early request was at work when the grace ran out."""
    if request.sent_s > term_s + _EARLY_S:
        return False
    last = (term_s + grace_s * (1 - _LAST_SHARE), term_s + grace_s)
    works = [
        (arrival.began_s, arrival.ended_s or request.ended_s)
        for arrival in arrivals
        if arrival.began_s
    ]
    return overlaps(works, *last)


def _is_at_hup(run: Run, request: ClientRequest) -> bool:
    return any(
        request.sent_s <= hup_s + run.bounds.apply_s
        and request.ended_s >= hup_s
        for hup_s in _find_times(run, request.node, NodeEventKind.hup)
    )


def _find_times(run: Run, node: str, kind: NodeEventKind) -> list[float]:
    return [
        event.at_s
        for event in run.node_events
        if event.node == node and event.kind is kind
    ]


def _find_at_changes(run: Run, cut: list[ClientRequest]) -> list[ClientRequest]:
    """Find cuts beside changes, at nodes that cut far more often then."""
    spans = [_find_change_span(run, change) for change in run.changes]
    beside = [
        one
        for one in cut
        if _is_within(spans, one.ended_s) and not _has_used(one, _USED_SHARE)
    ]
    nodes = {one.node for one in beside}
    often = {one for one in nodes if _cuts_more_often(run, spans, one)}
    return [one for one in beside if one.node in often]


def _find_change_span(run: Run, change: ConfigurationChange) -> Span:
    after_s = run.bounds.apply_s + _AFTER_WORK_S
    return change.sent_s, change.acknowledged_s + after_s


def _cuts_more_often(run: Run, spans: list[Span], node: str) -> bool:
    counts = {True: [0, 0], False: [0, 0]}
    for request in run.requests:
        if request.node == node and request.ended_s:
            count = counts[_is_within(spans, request.ended_s)]
            count[0] += request.ending is Ending.broken
            count[1] += 1
    (n_cut, n_beside), (n_cut_else, n_else) = counts[True], counts[False]
    return n_cut * n_else > _TIMES_AS_OFTEN * n_cut_else * n_beside or (
        n_else == 0 and n_cut > 0
    )


def _is_within(spans: list[Span], at_s: float) -> bool:
    return overlaps(spans, at_s, at_s)


def _has_used(request: ClientRequest, share: float) -> bool:
    allowed_s = min(request.deadline_s, request.route_timeout_s)
    return request.ended_s - request.began_s >= share * allowed_s
