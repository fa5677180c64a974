"""Sums a run up in one line."""

from bisect import bisect_left, bisect_right
from collections import Counter

from tests.soak.record import Ending, NodeEventKind, Run

__all__ = ('list_events', 'sum_up')


_USUAL_STATUSES = frozenset(('status 0', 'status -9'))


def list_events(run: Run) -> list[str]:
    """Return a line for each event and each request that had no success."""
    lines = [
        (one.at_s, f'{one.node} {one.kind} {one.detail}')
        for one in run.node_events
    ]
    lines += [
        (one.at_s, f'{one.upstream} {one.kind} {one.crash_key}')
        for one in run.upstream_events
    ]
    lines += [(one.sent_s, f'change: {one.how}') for one in run.changes]
    for began_s, ended_s in run.store_troubles:
        lines.append((began_s, f'store for {ended_s - began_s:.2f} s'))
    for one in run.requests:
        if one.status != 200 or one.ending is not Ending.answered:
            after_s = one.ended_s - one.began_s
            text = (
                f'{one.request_id} {one.node} {one.route} {one.ending}'
                f' {one.status} after {after_s:.3f} s of {one.deadline_s:.3f}'
                f' kept {one.is_kept} {one.crash_key}'
            )
            lines.append((one.began_s, text))
    return [f'{at_s - run.began_s:9.3f} {text}' for at_s, text in sorted(lines)]


def sum_up(run: Run) -> str:
    """Return a line of figures."""
    endings = Counter(request.ending for request in run.requests)
    statuses = Counter(
        request.status
        for request in run.requests
        if request.ending is Ending.answered
    )
    n_own = sum(
        event.kind is NodeEventKind.ended_by_itself for event in run.node_events
    )
    parts = [f'seed {run.seed}', f'requests {len(run.requests)}']
    parts += [f'{ending} {n_seen}' for ending, n_seen in endings.items()]
    parts += [f'{code}: {n_seen}' for code, n_seen in sorted(statuses.items())]
    n_odd = sum(
        event.kind is NodeEventKind.ended
        and event.detail not in _USUAL_STATUSES
        for event in run.node_events
    )
    n_unknown = sum(not arrival.node for arrival in run.arrivals)
    parts += [
        f'arrivals {len(run.arrivals)} (sender unknown {n_unknown})',
        f'nodes ended by themselves {n_own}',
        f'with an odd status {n_odd}',
        f'retries in the worst window {find_worst_window(run):.2f}',
    ]
    return ', '.join(parts)


def find_worst_window(run: Run) -> float:
    """Return the worst share of the retry budget of any service."""
    bounds = run.bounds
    window_s = bounds.retry_window_s
    services = {arrival.service for arrival in run.arrivals}
    worst = 0.0
    for service in services:
        sent = sorted(
            one.began_s for one in run.requests if one.service == service
        )
        repeats = _find_repeats(run, service)
        for number, end_s in enumerate(repeats):
            first = bisect_left(repeats, end_s - window_s)
            n_sent = max(
                _count_between(sent, end_s - window_s - back_s, end_s - back_s)
                for back_s in (0, window_s / 2, window_s)
            )
            allowed = bounds.retry_ratio * n_sent + bounds.retry_slack
            worst = max(worst, (number + 1 - first) / allowed)
    return worst


def _find_repeats(run: Run, service: str) -> list[float]:
    """Return when a service read more than the first of a request."""
    seen: set[str] = set()
    repeats = []
    for arrival in run.arrivals:
        if arrival.service != service:
            continue
        if arrival.request_id in seen:
            repeats.append(arrival.read_s)
        seen.add(arrival.request_id)
    return sorted(repeats)


def _count_between(times: list[float], begin_s: float, end_s: float) -> int:
    return bisect_right(times, end_s) - bisect_left(times, begin_s)
