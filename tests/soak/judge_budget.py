"""Judges the lines of BUDGET from the record of a run."""

import math
from collections import defaultdict
from collections.abc import Iterator

from tests.soak.finding import Finding, list_ids
from tests.soak.in_touch import make_in_touch
from tests.soak.record import (
    Arrival,
    ClientRequest,
    Run,
    UpstreamEvent,
    UpstreamEventKind,
)
from tests.soak.retry_windows import find_retry_shares
from tests.soak.time_handed import MOMENTS, find_time_handed

__all__ = (
    'find_arrivals_of_parts',
    'find_many_attempts',
    'find_retries_of_crashing',
    'judge_budget',
)

_RULE = 'BUDGET'
_MAX_CASES = 3
_CRASHES_OF_REQUEST = 3
_CRASHES_OF_PART = 5
_MAX_TOO_LONG = 20
_MAX_TOO_LONG_SHARE = 0.2


def judge_budget(run: Run) -> Iterator[Finding]:
    """Judge each line of BUDGET."""
    yield from _judge_attempts(run)
    yield from _judge_time(run)
    yield from _judge_crashing(run)
    yield from _judge_parts(run)
    yield from _judge_windows(run)


def find_many_attempts(run: Run) -> dict[str, list[str]]:
    """Find the upstreams of requests that ran on more than ``max_attempts``.

    Upstreams that ended between the begin of the run and the end of the
    request do not count.
    """
    crashes = _find_crashes(run)
    by_id = {one.request_id: one for one in run.requests}
    ran: dict[str, dict[str, float]] = defaultdict(dict)
    for arrival in run.arrivals:
        if arrival.began_s and arrival.request_id in by_id:
            upstreams = ran[arrival.request_id]
            upstreams.setdefault(arrival.upstream, arrival.began_s)
    many = {}
    for request_id, upstreams in ran.items():
        request = by_id[request_id]
        until_s = max(request.ended_s, *upstreams.values())
        alive = [
            upstream
            for upstream, began_s in upstreams.items()
            if not _has_crashed(crashes.get(upstream, ()), began_s, until_s)
        ]
        if len(alive) > request.max_attempts:
            many[request_id] = alive
    return many


def find_retries_of_crashing(run: Run) -> dict[str, list[Arrival]]:
    """Find retries by nodes of each request that crashes upstreams.

    Counted are arrivals beyond the first of one request of a client, sent by
    nodes in touch later than ``contact_s`` after the third crash.
    """
    return {
        key: [arrival for arrival, is_retry in arrivals if is_retry]
        for key, arrivals in _find_late_arrivals(
            run, _CRASHES_OF_REQUEST, is_part=False
        ).items()
    }


def find_arrivals_of_parts(run: Run) -> dict[str, list[Arrival]]:
    """Find arrivals of requests with a part that crashes upstreams.

    Counted are all, new ones and repeats, sent by nodes in touch later than
    ``contact_s`` after the fifth crash.
    """
    return {
        key: [arrival for arrival, _ in arrivals]
        for key, arrivals in _find_late_arrivals(
            run, _CRASHES_OF_PART, is_part=True
        ).items()
    }


def _judge_attempts(run: Run) -> Iterator[Finding]:
    many = find_many_attempts(run)
    if len(many) > _MAX_CASES:
        text = f'{len(many)} requests ran on too many upstreams'
        yield Finding(_RULE, 'max-attempts', f'{text}: {list_ids(many)}')


def _judge_time(run: Run) -> Iterator[Finding]:
    for moment in MOMENTS:
        figures = find_time_handed(run, moment)
        n_long = len(figures.too_long)
        if n_long > _MAX_TOO_LONG and figures.share > _MAX_TOO_LONG_SHARE:
            yield Finding(
                _RULE,
                f'time handed on, by {moment}',
                f'{n_long} of {figures.n_counted} arrivals with too much'
                f' time: {list_ids(figures.too_long)}',
            )


def _judge_crashing(run: Run) -> Iterator[Finding]:
    for key, retries in find_retries_of_crashing(run).items():
        if len(retries) > _MAX_CASES:
            names = list_ids(arrival.request_id for arrival in retries)
            text = f'{key}: {len(retries)} retries after the third crash'
            yield Finding(_RULE, 'crashing requests', f'{text}: {names}')


def _judge_parts(run: Run) -> Iterator[Finding]:
    for key, arrivals in find_arrivals_of_parts(run).items():
        if len(arrivals) > _MAX_CASES:
            names = list_ids(arrival.request_id for arrival in arrivals)
            text = f'{key}: {len(arrivals)} arrivals after the fifth crash'
            yield Finding(_RULE, 'crashing parts', f'{text}: {names}')


def _judge_windows(run: Run) -> Iterator[Finding]:
    for worst in find_retry_shares(run).values():
        if worst.n_repeats > worst.allowed:
            yield Finding(
                _RULE,
                'retries in a window',
                f'{worst.service}: {worst.n_repeats} repeats from'
                f' {worst.begin_s:.3f} s, allowed {worst.allowed:.1f}:'
                f' {list_ids(worst.request_ids)}',
            )


def _find_late_arrivals(
    run: Run, n_crashes: int, *, is_part: bool
) -> dict[str, list[tuple[Arrival, bool]]]:
    """Find arrivals after so many crashes, each with whether it is a retry."""
    limits = _find_limits(run, n_crashes)
    is_in_touch = make_in_touch(run)
    by_id = {one.request_id: one for one in run.requests}
    late: dict[str, list[tuple[Arrival, bool]]] = defaultdict(list)
    known: set[str] = set()
    for arrival in sorted(run.arrivals, key=lambda one: one.read_s):
        request = by_id.get(arrival.request_id)
        if not _is_crashing(request, is_part=is_part):
            continue
        is_retry = arrival.request_id in known
        known.add(arrival.request_id)
        key = request.crash_key
        node = arrival.node or request.node
        if arrival.read_s <= limits.get(key, math.inf):
            continue
        if is_in_touch(node, arrival.handed_s or arrival.read_s):
            late[key].append((arrival, is_retry))
    return late


def _is_crashing(request: ClientRequest | None, *, is_part: bool) -> bool:
    if request is None or not request.crash_key:
        return False
    return request.is_crash_part is is_part


def _find_limits(run: Run, n_crashes: int) -> dict[str, float]:
    times: dict[str, list[float]] = defaultdict(list)
    for event in run.upstream_events:
        if event.kind is UpstreamEventKind.crashed and event.crash_key:
            times[event.crash_key].append(event.at_s)
    return {
        key: sorted(one)[n_crashes - 1] + run.bounds.contact_s
        for key, one in times.items()
        if len(one) >= n_crashes
    }


def _find_crashes(run: Run) -> dict[str, list[UpstreamEvent]]:
    crashes = defaultdict(list)
    for event in run.upstream_events:
        if event.kind is UpstreamEventKind.crashed:
            crashes[event.upstream].append(event)
    return crashes


def _has_crashed(
    crashes: list[UpstreamEvent] | tuple[()], begin_s: float, end_s: float
) -> bool:
    return any(begin_s <= event.at_s <= end_s for event in crashes)
