"""Goodput and fairness at a multiple of the capacity.

One node admits requests of several teams and priorities to simulated
upstreams. A rejected client retries after the delay that the node states.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from turmericcrank_core.admission import (
    AdmissionBook,
    TeamLimits,
    admit_request,
    note_begin,
    note_over,
    note_short,
    plan_rank,
    plan_room_share,
    release_request,
)
from turmericcrank_core.selection import (
    LoadBook,
    SelectionSettings,
    Wish,
    build_ring,
    make_selector,
    note_end,
    note_start,
)
from turmericcrank_core.tables import Pool, PoolState, Upstream

from turmericcrank_dev.experiments.results import (
    BenchLine,
    make_line,
    summarize,
)

__all__ = ('run_overload',)

KEPT_ASIDE_SEEDS = range(500, 506)
_N_UPSTREAMS = 16
_SLOTS = 8
_SERVICE_S = 1
_LENGTH_S = 40
_TAIL_S = 8
_COME_BACK_S = 1
_MAX_TRIES = 3
_LIMITS = TeamLimits(1e6, 1e6, 1_000_000)


@dataclass(slots=True, frozen=True)
class Stream:
    """Requests of one team at one priority.

    Attributes:
        team: Team that sends the requests.
        priority: Priority; 0 is the highest.
        share: Requests per second, as a share of the capacity.
    """

    team: str
    priority: int
    share: float


@dataclass(slots=True)
class Tally:
    """Number of requests sent and completed, by team.

    No new requests are sent in the last seconds of the run, so that running
    ones can complete. Goodput counts only the requests completed before.

    Attributes:
        sent: Requests sent, without retries.
        done: Requests completed.
        done_in_time: Requests of all teams completed before the last seconds.
    """

    sent: Counter[str]
    done: Counter[str]
    done_in_time: int = 0


def run_overload() -> Iterator[BenchLine]:
    """Measure goodput and served shares at 2 and 5 times the capacity."""
    capacity = _N_UPSTREAMS * _SLOTS * (_LENGTH_S - _TAIL_S) / _SERVICE_S
    for times in (2, 5):
        streams = (
            Stream('tills', 0, 0.3),
            Stream('small planners', 5, 0.2),
            Stream('large planners', 5, (times - 0.5) / 2),
            Stream('drafts', 9, (times - 0.5) / 2),
        )
        tallies = [_run(seed, streams) for seed in KEPT_ASIDE_SEEDS]
        yield from _describe(times, tallies, capacity)


def _describe(
    times: int, tallies: list[Tally], capacity: float
) -> Iterator[BenchLine]:
    goodput = summarize(tally.done_in_time / capacity for tally in tallies)
    yield make_line(
        f'overload.{times}x.goodput',
        goodput.mean,
        'share of capacity',
        spread=goodput.spread,
        at_least=0.9,
    )
    for team, target in (('tills', 0.99), ('small planners', 0.9)):
        served = summarize(
            tally.done[team] / tally.sent[team] for tally in tallies
        )
        yield make_line(
            f'overload.{times}x.served.{team.replace(" ", "_")}',
            served.mean,
            'share of sent',
            spread=served.spread,
            at_least=target,
        )
    yield make_line(
        f'overload.{times}x.served.drafts',
        summarize(
            tally.done['drafts'] / tally.sent['drafts'] for tally in tallies
        ).mean,
        'share of sent',
    )


def _run(seed: int, streams: tuple[Stream, ...]) -> Tally:
    return _Play(seed).run(streams)


class _Play:
    """Simulates arrivals, retries and ends in the order of time."""

    def __init__(self, seed: int) -> None:
        self._source = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._tally = Tally(Counter(), Counter())
        self._admission = AdmissionBook()
        self._loads = LoadBook()
        self._select = make_selector(
            self._loads, SelectionSettings(), self._source
        )
        upstreams = {
            f'u{index}': Upstream(f'u{index}', 'x:1', 'dc1')
            for index in range(_N_UPSTREAMS)
        }
        self._ring = build_ring(
            Pool(
                'p',
                'm',
                '1',
                upstreams,
                0,
                0,
                _SLOTS,
                PoolState.active,
                checks_fencing=True,
                generation=1,
            )
        )

    def run(self, streams: tuple[Stream, ...]) -> Tally:
        """Run the simulation and return the counts."""
        rate = _N_UPSTREAMS * _SLOTS / _SERVICE_S
        for stream in streams:
            at_s = 0.0
            while at_s < _LENGTH_S - _TAIL_S:
                at_s += self._source.expovariate(rate * stream.share)
                self._tally.sent[stream.team] += 1
                self._plan(at_s, self._make_try(stream, 1))
        while self._events:
            at_s, _, happen = heapq.heappop(self._events)
            if at_s > _LENGTH_S:
                break
            happen(at_s)
        return self._tally

    def _plan(self, at_s: float, happen: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), happen))

    def _make_try(self, stream: Stream, number: int) -> Callable[[float], None]:
        def attempt(now_s: float) -> None:
            chosen = self._choose(stream, now_s)
            if chosen is None:
                if number < _MAX_TRIES:
                    wait_s = _COME_BACK_S * self._source.uniform(0.5, 1.5)
                    again = self._make_try(stream, number + 1)
                    self._plan(now_s + wait_s, again)
                return
            end_s = now_s + self._source.expovariate(1 / _SERVICE_S)
            self._plan(end_s, self._make_end(stream, chosen))

        return attempt

    def _choose(self, stream: Stream, now_s: float) -> str | None:
        admit_request(self._admission, stream.team, _LIMITS, now_s)
        rank = plan_rank(self._admission, stream.team, stream.priority)
        share = plan_room_share(self._admission, rank, now_s)
        chosen = self._select(self._ring, Wish(room_share=share), now_s)
        if chosen is None:
            release_request(self._admission, stream.team)
            note_short(self._admission, rank, now_s)
        else:
            note_start(self._loads, chosen)
            note_begin(self._admission, stream.team, stream.priority)
        return chosen

    def _make_end(
        self, stream: Stream, upstream_id: str
    ) -> Callable[[float], None]:
        def end(now_s: float) -> None:
            self._tally.done[stream.team] += 1
            if now_s <= _LENGTH_S - _TAIL_S:
                self._tally.done_in_time += 1
            note_end(self._loads, upstream_id)
            release_request(self._admission, stream.team)
            note_over(self._admission, stream.team, stream.priority)

        return end
