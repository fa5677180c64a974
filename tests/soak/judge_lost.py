"""Judges the lines of LOST from the record of a run."""

from collections.abc import Iterator

from tests.soak.finding import Finding, list_ids
from tests.soak.in_touch import make_in_touch
from tests.soak.planned_work import find_planned_losses
from tests.soak.record import Arrival, ClientRequest, Ending, Run
from tests.soak.served_beside_crashes import find_shares_beside_crashes
from tests.soak.upstream_spans import find_unsound_spans, was_sound

__all__ = ('find_kept_losses', 'judge_lost')

_RULE = 'LOST'
_MAX_KEPT = 3
_MIN_REQUESTS = 20


def judge_lost(run: Run) -> Iterator[Finding]:
    """Judge each line of LOST."""
    yield from _judge_kept(run)
    yield from _judge_planned(run)
    yield from _judge_crashing_parts(run)


def find_kept_losses(run: Run) -> list[ClientRequest]:
    """Find losses on kept connections, after sending to a sound upstream.

    The node has to be in touch when it sent the request and when it closed
    the connection. An incomplete response is a response.
    """
    is_in_touch = make_in_touch(run)
    unsound = find_unsound_spans(run.upstream_events)
    by_id = group_arrivals(run)

    def is_lost(request: ClientRequest) -> bool:
        if not request.is_kept or request.ending is not Ending.broken:
            return False
        if request.status:
            return False
        if not is_in_touch(request.node, request.ended_s):
            return False
        return any(
            is_in_touch(request.node, arrival.handed_s or arrival.read_s)
            and arrival.read_s <= request.ended_s
            and was_sound(unsound, arrival, request.ended_s)
            for arrival in by_id.get(request.request_id, ())
        )

    return [request for request in run.requests if is_lost(request)]


def group_arrivals(run: Run) -> dict[str, list[Arrival]]:
    """Group arrivals by the id of their request."""
    by_id: dict[str, list[Arrival]] = {}
    for arrival in run.arrivals:
        by_id.setdefault(arrival.request_id, []).append(arrival)
    return by_id


def _judge_kept(run: Run) -> Iterator[Finding]:
    lost = find_kept_losses(run)
    if len(lost) > _MAX_KEPT:
        names = list_ids(request.request_id for request in lost)
        text = f'{len(lost)} requests of kept connections lost: {names}'
        yield Finding(_RULE, 'kept connections', text)


def _judge_planned(run: Run) -> Iterator[Finding]:
    losses = find_planned_losses(run, group_arrivals(run))
    for line, requests in losses.items():
        if requests:
            names = list_ids(request.request_id for request in requests)
            text = f'{len(requests)} requests lost: {names}'
            yield Finding(_RULE, line, text)


def _judge_crashing_parts(run: Run) -> Iterator[Finding]:
    for key, shares in find_shares_beside_crashes(run).items():
        if min(shares.n_beside, shares.n_outside) < _MIN_REQUESTS:
            continue
        if shares.share_beside < shares.share_outside / 2:
            yield Finding(
                _RULE,
                'sound requests beside crashing parts',
                f'{key}: {shares.n_begun_beside} of {shares.n_beside} begun'
                f' beside, {shares.n_begun_outside} of {shares.n_outside}'
                f' outside: {list_ids(shares.not_begun)}',
            )
