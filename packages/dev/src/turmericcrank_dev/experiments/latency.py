"""Time to the first token under lagging load reports.

Deciders choose among the same upstreams. Each upstream runs a number of
requests at once and queues the rest. A prompt whose prefix is cached starts
sooner. Reports are made at intervals and arrive late.
"""

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from turmericcrank_core.selection import (
    LoadBook,
    PoolRing,
    SelectionSettings,
    build_ring,
    make_selector,
    note_end,
    note_report,
    note_start,
)
from turmericcrank_core.tables import Pool, PoolState, Upstream
from turmericcrank_dev.experiments.results import (
    BenchLine,
    find_percentile,
    make_line,
    summarize,
)

__all__ = ('run_latency',)

KEPT_ASIDE_SEEDS = range(200, 206)
_N_UPSTREAMS = 32
_SLOTS = 8
_N_REQUESTS = 10000
_WARM_UP = 2000
_LOAD = 0.8
_MEAN_SERVICE_S = 2
_PREFILL_MISS_S = 0.25
_PREFILL_HIT_S = 0.05
_REPORT_EVERY_S = 0.5
_REPORT_LAG_S = 0.3
_N_PREFIXES = 400
_CACHED_PREFIXES = 24
_NONE = frozenset()


@dataclass(slots=True)
class Arrival:
    """One request."""

    at_s: float
    prefix: str
    service_s: float
    decider: int


@dataclass(slots=True)
class Machine:
    """One upstream as it really is."""

    n_running: int = 0
    queue: deque[tuple[float, Arrival]] = field(default_factory=deque)
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)

    @property
    def load(self) -> int:
        """Count what runs and waits."""
        return self.n_running + len(self.queue)


@dataclass(slots=True)
class Policy:
    """How one run chooses.

    Attributes:
        choose: Gives the upstream for an arrival.
        started: Told of each start.
        ended: Told of each end.
        reported: Told of each report, late.
    """

    choose: Callable[[Arrival, list[Machine]], int]
    started: Callable[[Arrival, int], None]
    ended: Callable[[Arrival, int], None]
    reported: Callable[[list[int]], None]


@dataclass(slots=True, frozen=True)
class Measured:
    """95th percentile to the first token, and share of cached prefixes."""

    first_token_s: float
    hit_share: float
    imbalance: float


PolicyMaker = Callable[[int, random.Random], Policy]


def run_latency() -> Iterator[BenchLine]:
    """Measure the selection and its baselines on the seeds kept aside."""
    for n_deciders in (1, 8, 64):
        runs_by_name = {
            name: [_run(seed, n_deciders, make) for seed in KEPT_ASIDE_SEEDS]
            for name, make in _MAKERS.items()
        }
        yield from _describe(n_deciders, runs_by_name)


def _describe(
    n_deciders: int, runs_by_name: dict[str, list[Measured]]
) -> Iterator[BenchLine]:
    times = {
        name: summarize(run.first_token_s for run in runs)
        for name, runs in runs_by_name.items()
    }
    own = times['own']
    for name in ('perfect', 'round_robin', 'least_reported', 'sticky'):
        yield make_line(
            f'latency.p95_first_token.{n_deciders}_deciders.against_{name}',
            own.mean,
            's',
            baseline=times[name].mean,
            spread=own.spread,
            ratio_at_most=1.1 if name == 'perfect' else None,
        )
    hits = {
        name: summarize(run.hit_share for run in runs).mean
        for name, runs in runs_by_name.items()
    }
    yield make_line(
        f'latency.prefix_hits.{n_deciders}_deciders.against_sticky',
        hits['own'],
        'share',
        baseline=hits['sticky'],
        at_least=hits['sticky'] - 0.05,
    )


def _run(seed: int, n_deciders: int, make: PolicyMaker) -> Measured:
    source = random.Random(seed)
    arrivals = _make_arrivals(source, n_deciders)
    policy = make(n_deciders, random.Random(seed + 1))
    machines = [Machine() for _ in range(_N_UPSTREAMS)]
    return _Play(machines, policy).run(arrivals)


def _make_arrivals(source: random.Random, n_deciders: int) -> list[Arrival]:
    rate = _LOAD * _N_UPSTREAMS * _SLOTS / (_MEAN_SERVICE_S + 0.15)
    weights = [1 / (rank + 10) for rank in range(_N_PREFIXES)]
    now_s = 0.0
    arrivals = []
    for _ in range(_N_REQUESTS):
        now_s += source.expovariate(rate)
        prefix = source.choices(range(_N_PREFIXES), weights)[0]
        arrivals.append(
            Arrival(
                now_s,
                f'prefix {prefix}',
                source.expovariate(1 / _MEAN_SERVICE_S),
                source.randrange(n_deciders),
            )
        )
    return arrivals


class _Play:
    """Plays arrivals, ends and reports in the order of time."""

    def __init__(self, machines: list[Machine], policy: Policy) -> None:
        self._machines = machines
        self._policy = policy
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._times: list[float] = []
        self._n_hits = 0
        self._n_started = 0
        self._imbalance = 0.0

    def run(self, arrivals: list[Arrival]) -> Measured:
        """Play to the end and measure."""
        for arrival in arrivals:
            self._plan(arrival.at_s, self._make_arrive(arrival))
        n_reports = int(arrivals[-1].at_s / _REPORT_EVERY_S)
        for number in range(n_reports):
            self._plan(number * _REPORT_EVERY_S, self._report)
        while self._events:
            at_s, _, happen = heapq.heappop(self._events)
            happen(at_s)
        return Measured(
            find_percentile(self._times[_WARM_UP:], 95),
            self._n_hits / self._n_started,
            self._imbalance / max(1, n_reports),
        )

    def _plan(self, at_s: float, happen: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), happen))

    def _make_arrive(self, arrival: Arrival) -> Callable[[float], None]:
        def arrive(now_s: float) -> None:
            index = self._policy.choose(arrival, self._machines)
            self._policy.started(arrival, index)
            self._machines[index].queue.append((now_s, arrival))
            self._start_next(index, now_s)

        return arrive

    def _start_next(self, index: int, now_s: float) -> None:
        machine = self._machines[index]
        if machine.n_running >= _SLOTS or not machine.queue:
            return
        queued_s, arrival = machine.queue.popleft()
        machine.n_running += 1
        prefill_s = self._prefill(machine, arrival.prefix)
        self._times.append(now_s + prefill_s - queued_s)
        end_s = now_s + prefill_s + arrival.service_s

        def end(at_s: float) -> None:
            machine.n_running -= 1
            self._policy.ended(arrival, index)
            self._start_next(index, at_s)

        self._plan(end_s, end)

    def _prefill(self, machine: Machine, prefix: str) -> float:
        self._n_started += 1
        is_hit = prefix in machine.cache
        machine.cache[prefix] = None
        machine.cache.move_to_end(prefix)
        if len(machine.cache) > _CACHED_PREFIXES:
            machine.cache.popitem(last=False)
        self._n_hits += is_hit
        return _PREFILL_HIT_S if is_hit else _PREFILL_MISS_S

    def _report(self, now_s: float) -> None:
        loads = [machine.load for machine in self._machines]
        self._imbalance += max(loads) - min(loads)

        def arrive(_at_s: float) -> None:
            self._policy.reported(loads)

        self._plan(now_s + _REPORT_LAG_S, arrive)


def _ignore(*_told: object) -> None:
    """Do nothing with what was told."""


def _make_ring() -> PoolRing:
    upstreams = {
        str(index): Upstream(str(index), 'x:1', 'dc1')
        for index in range(_N_UPSTREAMS)
    }
    return build_ring(
        Pool(
            'pool', 'm', '1', upstreams, 0, 0, _SLOTS, PoolState.active,
            checks_fencing=True, generation=1,
        )
    )


def _make_own(n_deciders: int, source: random.Random) -> Policy:
    ring = _make_ring()
    books = [LoadBook() for _ in range(n_deciders)]
    selectors = [
        make_selector(book, SelectionSettings(), source) for book in books
    ]

    def choose(arrival: Arrival, _machines: list[Machine]) -> int:
        select = selectors[arrival.decider]
        chosen = select(ring, arrival.prefix, _NONE, 1.0, 0)
        if chosen is None:
            chosen = select(ring, '', _NONE, float('inf'), 0)
        return int(chosen)

    def started(arrival: Arrival, index: int) -> None:
        note_start(books[arrival.decider], str(index))

    def ended(arrival: Arrival, index: int) -> None:
        note_end(books[arrival.decider], str(index))

    def reported(loads: list[int]) -> None:
        for book in books:
            for index, load in enumerate(loads):
                note_report(book, str(index), load)

    return Policy(choose, started, ended, reported)


def _make_perfect(_n_deciders: int, source: random.Random) -> Policy:
    def choose(_arrival: Arrival, machines: list[Machine]) -> int:
        least = min(machine.load for machine in machines)
        return source.choice(
            [i for i, machine in enumerate(machines) if machine.load == least]
        )

    return Policy(choose, _ignore, _ignore, _ignore)


def _make_round_robin(n_deciders: int, source: random.Random) -> Policy:
    turns = [source.randrange(_N_UPSTREAMS) for _ in range(n_deciders)]

    def choose(arrival: Arrival, _machines: list[Machine]) -> int:
        turns[arrival.decider] += 1
        return turns[arrival.decider] % _N_UPSTREAMS

    return Policy(choose, _ignore, _ignore, _ignore)


def _make_least_reported(_n_deciders: int, source: random.Random) -> Policy:
    known = [0 for _ in range(_N_UPSTREAMS)]

    def choose(_arrival: Arrival, _machines: list[Machine]) -> int:
        least = min(known)
        return source.choice(
            [index for index, load in enumerate(known) if load == least]
        )

    def reported(loads: list[int]) -> None:
        known[:] = loads

    return Policy(choose, _ignore, _ignore, reported)


def _make_sticky(_n_deciders: int, _source: random.Random) -> Policy:
    ring = _make_ring()
    select = make_selector(
        LoadBook(), SelectionSettings(prefix_slack=1), random.Random(1)
    )

    def choose(arrival: Arrival, _machines: list[Machine]) -> int:
        return int(select(ring, arrival.prefix, _NONE, 1.0, 0) or 0)

    return Policy(choose, _ignore, _ignore, _ignore)


_MAKERS: dict[str, PolicyMaker] = {
    'own': _make_own,
    'perfect': _make_perfect,
    'round_robin': _make_round_robin,
    'least_reported': _make_least_reported,
    'sticky': _make_sticky,
}
