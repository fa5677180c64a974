"""Discrete event simulation of the latency experiment.

The events are arrivals and ends of requests, load reports, and gossip.
"""

import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from turmericcrank_dev.experiments.results import find_percentile

__all__ = (
    'N_UPSTREAMS',
    'SLOTS',
    'Arrival',
    'Machine',
    'Measured',
    'Play',
    'Policy',
    'make_arrivals',
)

N_UPSTREAMS = 32
SLOTS = 8
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
    """One request; ``prefix`` identifies its session."""

    at_s: float
    prefix: str
    service_s: float
    decider: int


@dataclass(slots=True)
class Machine:
    """One upstream with its true state."""

    n_running: int = 0
    queue: deque[tuple[float, Arrival]] = field(default_factory=deque)
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)

    @property
    def load(self) -> int:
        """Return the number of running and queued requests."""
        return self.n_running + len(self.queue)


@dataclass(slots=True)
class Policy:
    """Callbacks of one selection policy.

    Attributes:
        choose: Selects the upstream for an arrival.
        started: Called when a request was assigned to an upstream.
        ended: Called when a request ended.
        reported: Called with the loads of all upstreams when a delayed report
            arrives.
        make_news: Called when a decider sends gossip to its cell; returns the
            function to call when the gossip arrives.
    """

    choose: Callable[[Arrival, list[Machine]], int]
    started: Callable[[Arrival, int], None]
    ended: Callable[[Arrival, int], None]
    reported: Callable[[list[int]], None]
    make_news: Callable[[int], Callable[[], None]] | None = None


@dataclass(slots=True, frozen=True)
class Measured:
    """95th percentile of the time to the first token, and cache hit share."""

    first_token_s: float
    hit_share: float


def make_arrivals(source: random.Random, n_deciders: int) -> list[Arrival]:
    """Generate sessions whose turns are separated by a think time.

    All requests of a session go to one decider, since clients cache a node's
    address. Requests before the steady state, in which as many sessions end
    as start, are dropped.
    """
    rate = _LOAD * N_UPSTREAMS * SLOTS / (_MEAN_SERVICE_S + _PREFILL_HIT_S)
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


class Play:
    """Runs the events of the simulation in the order of time."""

    def __init__(self, machines: list[Machine], policy: Policy) -> None:
        self._machines = machines
        self._policy = policy
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._order = itertools.count()
        self._times: list[float] = []
        self._n_hits = 0
        self._n_started = 0
        self._telling: set[int] = set()
        self._told_s: dict[int, float] = {}

    def run(self, arrivals: list[Arrival]) -> Measured:
        """Run until no events are left and return the measurements."""
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
        if machine.n_running >= SLOTS or not machine.queue:
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

        def arrive(_at_s: float) -> None:
            self._policy.reported(loads)

        self._plan(now_s + _REPORT_LAG_S, arrive)

    def _plan_news(self, decider: int, now_s: float) -> None:
        """Schedule gossip to the cell soon, but respect the interval."""
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
