"""Time to the first token under lagging load reports.

Deciders choose among the same upstreams. Each upstream runs a number of
requests at once and queues the rest. Requests belong to sessions; one whose
session is cached at its upstream starts sooner. Reports of load are made at
intervals and arrive late; deciders of a cell tell each other what they have
in progress, also at intervals and late.
"""

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import xxhash
from turmericcrank_core.cells import plan_n_cells
from turmericcrank_core.selection import (
    LoadBook,
    PoolRing,
    SelectionSettings,
    Wish,
    build_ring,
    make_selector,
    note_end,
    note_report,
    note_start,
    note_told,
    remember_upstream,
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
_NEWS_EVERY_S = 0.1
_NEWS_LAG_S = 0.01
_NEWS_PAUSE_S = 0.005
_SESSION_TURNS = 8
_THINK_S = 5
_STEADY_S = 200
_CACHED_PREFIXES = 64
_P95 = 95


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
        make_news: Called when a decider may tell its cell; gives what to do
            when the news come.
    """

    choose: Callable[[Arrival, list[Machine]], int]
    started: Callable[[Arrival, int], None]
    ended: Callable[[Arrival, int], None]
    reported: Callable[[list[int]], None]
    make_news: Callable[[int], Callable[[], None]] | None = None


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
    """Make sessions whose turns follow each other after a time to think.

    A session's caller keeps its decider, as callers keep an address. The
    requests begin when as many sessions end as begin.
    """
    rate = _LOAD * _N_UPSTREAMS * _SLOTS / (_MEAN_SERVICE_S + _PREFILL_HIT_S)
    now_s = 0.0
    arrivals = []
    while now_s < _STEADY_S + _N_REQUESTS / rate:
        now_s += source.expovariate(rate / _SESSION_TURNS)
        at_s = now_s
        session = f'session {len(arrivals)}'
        decider = source.randrange(n_deciders)
        n_turns = 1 + int(source.expovariate(1 / (_SESSION_TURNS - 0.5)))
        for _turn in range(n_turns):
            service_s = source.expovariate(1 / _MEAN_SERVICE_S)
            arrivals.append(Arrival(at_s, session, service_s, decider))
            at_s += service_s + source.expovariate(1 / _THINK_S)
    steady = [one for one in arrivals if one.at_s >= _STEADY_S]
    steady.sort(key=lambda arrival: arrival.at_s)
    return steady[:_N_REQUESTS]


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
        self._telling: set[int] = set()
        self._told_s: dict[int, float] = {}

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
            find_percentile(self._times[_WARM_UP:], _P95),
            self._n_hits / self._n_started,
            self._imbalance / max(1, n_reports),
        )

    def _plan(self, at_s: float, happen: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), happen))

    def _make_arrive(self, arrival: Arrival) -> Callable[[float], None]:
        def arrive(now_s: float) -> None:
            index = self._policy.choose(arrival, self._machines)
            self._policy.started(arrival, index)
            self._plan_news(arrival.decider, now_s)
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
            self._plan_news(arrival.decider, at_s)
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

    def _plan_news(self, decider: int, now_s: float) -> None:
        """Tell the cell soon, but not more often than the interval."""
        if self._policy.make_news is None or decider in self._telling:
            return
        self._telling.add(decider)
        earliest_s = self._told_s.get(decider, 0) + _NEWS_EVERY_S

        def tell(at_s: float) -> None:
            self._telling.discard(decider)
            self._told_s[decider] = at_s
            take = self._policy.make_news(decider)
            self._plan(at_s + _NEWS_LAG_S, lambda _at_s: take())

        self._plan(max(now_s + _NEWS_PAUSE_S, earliest_s), tell)


def _ignore(*_told: object) -> None:
    """Do nothing with what was told."""


def _make_ring(cell: int = 0, n_cells: int = 1) -> PoolRing:
    upstreams = {
        str(index): Upstream(str(index), 'x:1', 'dc1')
        for index in range(_N_UPSTREAMS)
    }
    pool = Pool(
        'pool',
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
    return build_ring(
        pool, lambda upstream: int(upstream.upstream_id) % n_cells == cell
    )


def _make_own(n_deciders: int, source: random.Random) -> Policy:
    n_cells = plan_n_cells(n_deciders, _N_UPSTREAMS)
    rings = [_make_ring(cell, n_cells) for cell in range(n_cells)]
    books = [LoadBook() for _ in range(n_deciders)]
    selectors = [
        make_selector(book, SelectionSettings(), source) for book in books
    ]
    last_by_session: dict[str, tuple[str, ...]] = {}

    def choose(arrival: Arrival, _machines: list[Machine]) -> int:
        select = selectors[arrival.decider]
        ring = rings[arrival.decider % n_cells]
        last_ids = last_by_session.get(arrival.prefix, ())
        chosen = select(ring, Wish(last_ids), 0)
        if chosen is None:
            chosen = select(ring, Wish(room_share=float('inf')), 0)
        last_by_session[arrival.prefix] = remember_upstream(last_ids, chosen)
        return int(chosen)

    def started(arrival: Arrival, index: int) -> None:
        note_start(books[arrival.decider], str(index))

    def ended(arrival: Arrival, index: int) -> None:
        note_end(books[arrival.decider], str(index))

    def reported(loads: list[int]) -> None:
        for book in books:
            for index, load in enumerate(loads):
                note_report(book, str(index), load)

    def make_news(decider: int) -> Callable[[], None]:
        told = _list_own(books[decider])
        cell = range(decider % n_cells, n_deciders, n_cells)

        def take() -> None:
            for peer in cell:
                if peer != decider:
                    note_told(books[peer], str(decider), told)

        return take

    return Policy(choose, started, ended, reported, make_news)


def _list_own(book: LoadBook) -> dict[str, int]:
    return {
        upstream_id: load.n_own
        for upstream_id, load in book.loads_by_id.items()
        if load.n_own
    }


def _make_perfect(_n_deciders: int, source: random.Random) -> Policy:
    def choose(_arrival: Arrival, machines: list[Machine]) -> int:
        least = min(machine.load for machine in machines)
        return source.choice(
            [
                index
                for index, machine in enumerate(machines)
                if machine.load == least
            ]
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
        known.clear()
        known.extend(loads)

    return Policy(choose, _ignore, _ignore, reported)


def _make_sticky(_n_deciders: int, _source: random.Random) -> Policy:
    """Keep a session's upstream by the hash of its name, whatever the load."""

    def choose(arrival: Arrival, _machines: list[Machine]) -> int:
        return xxhash.xxh3_64_intdigest(arrival.prefix.encode()) % _N_UPSTREAMS

    return Policy(choose, _ignore, _ignore, _ignore)


_MAKERS: dict[str, PolicyMaker] = {
    'own': _make_own,
    'perfect': _make_perfect,
    'round_robin': _make_round_robin,
    'least_reported': _make_least_reported,
    'sticky': _make_sticky,
}
