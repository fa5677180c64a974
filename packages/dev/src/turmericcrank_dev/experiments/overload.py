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
    AdmissionState,
    TeamLimits,
    admit_request,
    plan_capacity_share,
    plan_request_rank,
    record_shortage,
    record_upstream_end,
    record_upstream_start,
    release_request,
)
from turmericcrank_core.selection import (
    LoadTracker,
    SelectionCriteria,
    SelectionSettings,
    build_ring,
    make_selector,
    record_end,
    record_start,
)
from turmericcrank_core.tables import Pool, PoolState, Upstream

from turmericcrank_dev.experiments.results import (
    BenchLine,
    make_line,
    summarize,
)

__all__ = ('run_overload',)

HELD_OUT_SEEDS = range(500, 506)
_N_UPSTREAMS = 16
_SLOTS = 8
_SERVICE_S = 1
_DURATION_S = 40
_DRAIN_S = 8
_RETRY_DELAY_S = 1
_MAX_ATTEMPTS = 3
_LIMITS = TeamLimits(1e6, 1e6, 1_000_000)


@dataclass(slots=True, frozen=True)
class TrafficClass:
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
class RequestCounts:
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
    capacity = _N_UPSTREAMS * _SLOTS * (_DURATION_S - _DRAIN_S) / _SERVICE_S
    for load_factor in (2, 5):
        traffic_classes = (
            TrafficClass('tills', 0, 0.3),
            TrafficClass('small planners', 5, 0.2),
            TrafficClass('large planners', 5, (load_factor - 0.5) / 2),
            TrafficClass('drafts', 9, (load_factor - 0.5) / 2),
        )
        all_counts = [_run(seed, traffic_classes) for seed in HELD_OUT_SEEDS]
        yield from _describe(load_factor, all_counts, capacity)


def _describe(
    load_factor: int, all_counts: list[RequestCounts], capacity: float
) -> Iterator[BenchLine]:
    goodput = summarize(counts.done_in_time / capacity for counts in all_counts)
    yield make_line(
        f'overload.{load_factor}x.goodput',
        goodput.mean,
        'share of capacity',
        spread=goodput.spread,
        at_least=0.9,
    )
    for team, target in (('tills', 0.99), ('small planners', 0.9)):
        served = summarize(
            counts.done[team] / counts.sent[team] for counts in all_counts
        )
        yield make_line(
            f'overload.{load_factor}x.served.{team.replace(" ", "_")}',
            served.mean,
            'share of sent',
            spread=served.spread,
            at_least=target,
        )
    yield make_line(
        f'overload.{load_factor}x.served.drafts',
        summarize(
            counts.done['drafts'] / counts.sent['drafts']
            for counts in all_counts
        ).mean,
        'share of sent',
    )


def _run(seed: int, traffic_classes: tuple[TrafficClass, ...]) -> RequestCounts:
    return _Simulation(seed).run(traffic_classes)


class _Simulation:
    """Simulates arrivals, retries and ends in the order of time."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()
        self._counts = RequestCounts(Counter(), Counter())
        self._admission = AdmissionState()
        self._loads = LoadTracker()
        self._select = make_selector(
            self._loads, SelectionSettings(), self._rng
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

    def run(self, traffic_classes: tuple[TrafficClass, ...]) -> RequestCounts:
        """Run the simulation and return the counts."""
        rate = _N_UPSTREAMS * _SLOTS / _SERVICE_S
        for traffic_class in traffic_classes:
            at_s = 0.0
            while at_s < _DURATION_S - _DRAIN_S:
                at_s += self._rng.expovariate(rate * traffic_class.share)
                self._counts.sent[traffic_class.team] += 1
                self._schedule(at_s, self._make_attempt(traffic_class, 1))
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            if at_s > _DURATION_S:
                break
            action(at_s)
        return self._counts

    def _schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def _make_attempt(
        self, traffic_class: TrafficClass, attempt_number: int
    ) -> Callable[[float], None]:
        def attempt(now_s: float) -> None:
            chosen = self._choose(traffic_class, now_s)
            if chosen is None:
                if attempt_number < _MAX_ATTEMPTS:
                    wait_s = _RETRY_DELAY_S * self._rng.uniform(0.5, 1.5)
                    retry = self._make_attempt(
                        traffic_class, attempt_number + 1
                    )
                    self._schedule(now_s + wait_s, retry)
                return
            end_s = now_s + self._rng.expovariate(1 / _SERVICE_S)
            self._schedule(end_s, self._make_end(traffic_class, chosen))

        return attempt

    def _choose(self, traffic_class: TrafficClass, now_s: float) -> str | None:
        admit_request(self._admission, traffic_class.team, _LIMITS, now_s)
        rank = plan_request_rank(
            self._admission, traffic_class.team, traffic_class.priority
        )
        share = plan_capacity_share(self._admission, rank, now_s)
        chosen = self._select(
            self._ring, SelectionCriteria(capacity_share=share), now_s
        )
        if chosen is None:
            release_request(self._admission, traffic_class.team)
            record_shortage(self._admission, rank, now_s)
        else:
            record_start(self._loads, chosen)
            record_upstream_start(
                self._admission, traffic_class.team, traffic_class.priority
            )
        return chosen

    def _make_end(
        self, traffic_class: TrafficClass, upstream_id: str
    ) -> Callable[[float], None]:
        def end(now_s: float) -> None:
            self._counts.done[traffic_class.team] += 1
            if now_s <= _DURATION_S - _DRAIN_S:
                self._counts.done_in_time += 1
            record_end(self._loads, upstream_id)
            release_request(self._admission, traffic_class.team)
            record_upstream_end(
                self._admission, traffic_class.team, traffic_class.priority
            )

        return end
