"""The worst use of the retry budget of each service."""

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from tests.soak.record import Arrival, Bounds, Run

__all__ = ('RetryShare', 'find_retry_shares')


@dataclass(slots=True, frozen=True)
class RetryShare:
    """The worst window of a service.

    Attributes:
        service: Its name.
        begin_s: When the window begins; it lasts ``retry_window_s``.
        n_repeats: Arrivals in it beyond the first of each request.
        allowed: How many may be there.
        request_ids: Requests that were repeated.
    """

    service: str
    begin_s: float
    n_repeats: int
    allowed: float
    request_ids: tuple[str, ...]

    @property
    def share(self) -> float:
        """Share of the budget that is used."""
        return _read_share(self.n_repeats, self.allowed)


def find_retry_shares(run: Run) -> dict[str, RetryShare]:
    """Find the worst window of each service, by service.

    Every span of ``retry_window_s`` counts. Requests for a service are
    counted in the window, the one before it or the one half a window before
    it, whichever has most. Calls that runs make are not in the record.
    """
    asked = defaultdict(list)
    for request in run.requests:
        asked[request.service].append(request.began_s)
    return {
        service: _find_worst(service, repeats, asked[service], run.bounds)
        for service, repeats in _find_repeats(run).items()
    }


def _find_repeats(run: Run) -> dict[str, list[Arrival]]:
    repeats = defaultdict(list)
    known = set()
    for arrival in sorted(run.arrivals, key=lambda one: one.read_s):
        name = (arrival.service, arrival.request_id)
        if name in known:
            repeats[arrival.service].append(arrival)
        known.add(name)
    return repeats


def _find_worst(
    service: str,
    repeats: list[Arrival],
    asked: list[float],
    bounds: Bounds,
) -> RetryShare:
    times = [arrival.read_s for arrival in repeats]
    asked = sorted(asked)
    window_s = bounds.retry_window_s

    def read_window(begin_s: float) -> tuple[int, float]:
        n_repeats = _count(times, begin_s, window_s)
        n_asked = max(
            _count(asked, begin_s - back_s, window_s)
            for back_s in (0, window_s / 2, window_s)
        )
        return n_repeats, bounds.retry_ratio * n_asked + bounds.retry_slack

    begins = _find_begins(times, asked, window_s)
    worst_s = max(begins, key=lambda one: _rank(*read_window(one)))
    first = bisect_left(times, worst_s)
    n_repeats, allowed = read_window(worst_s)
    ids = (one.request_id for one in repeats[first : first + n_repeats])
    return RetryShare(service, worst_s, n_repeats, allowed, tuple(ids))


def _rank(n_repeats: int, allowed: float) -> tuple[float, int]:
    return _read_share(n_repeats, allowed), n_repeats


def _read_share(n_repeats: int, allowed: float) -> float:
    if allowed:
        return n_repeats / allowed
    return math.inf if n_repeats else 0


def _find_begins(
    times: list[float], asked: list[float], window_s: float
) -> Iterator[float]:
    """Find one begin for each set of counts that some window has.

    Counts of half-open windows change only at these begins.
    """
    begins = {at_s - back_s for at_s in times for back_s in (0, window_s)}
    shifts = (-window_s, -window_s / 2, 0, window_s / 2, window_s)
    begins.update(at_s + shift_s for at_s in asked for shift_s in shifts)
    first_s, last_s = times[0] - window_s, times[-1]
    yield from (one for one in sorted(begins) if first_s <= one <= last_s)


def _count(times: list[float], begin_s: float, window_s: float) -> int:
    return bisect_left(times, begin_s + window_s) - bisect_left(times, begin_s)
