"""Sums a run up in one line."""

from collections import Counter

from tests.soak.record import Ending, NodeEventKind, Run
from tests.soak.retry_windows import find_retry_shares

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
        f'retries in the worst window {_find_worst_share(run):.2f}',
    ]
    return ', '.join(parts)


def _find_worst_share(run: Run) -> float:
    """Return the worst share of the retry budget of any service."""
    shares = find_retry_shares(run).values()
    return max((one.share for one in shares), default=0)
