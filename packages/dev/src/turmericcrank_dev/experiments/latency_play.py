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
    'LatencyResult',
    'SelectionPolicy',
    'SimulatedUpstream',
    'Simulation',
    'make_arrivals',
)

N_UPSTREAMS = 32
SLOTS = 8
_N_REQUESTS = 10000
_N_WARM_UP = 2000
_UTILIZATION = 0.8
_MEAN_SERVICE_S = 2
_PREFILL_MISS_S = 0.25
_PREFILL_HIT_S = 0.05
_REPORT_INTERVAL_S = 0.5
_REPORT_DELAY_S = 0.3
_GOSSIP_INTERVAL_S = 0.1
_GOSSIP_DELAY_S = 0.01
_GOSSIP_MIN_WAIT_S = 0.005
_MEAN_SESSION_TURNS = 8
_MEAN_THINK_S = 5
_RAMP_UP_S = 200
_CACHE_SIZE = 64
_P95 = 95


@dataclass(slots=True)
class Arrival:
    """One request; ``prefix`` identifies its session."""

    at_s: float
    prefix: str
    service_s: float
    decider: int


@dataclass(slots=True)
class SimulatedUpstream:
    """One upstream with its true state."""

    n_running: int = 0
    queue: deque[tuple[float, Arrival]] = field(default_factory=deque)
    cache: OrderedDict[str, None] = field(default_factory=OrderedDict)

    @property
    def load(self) -> int:
        """Return the number of running and queued requests."""
        return self.n_running + len(self.queue)


@dataclass(slots=True)
class SelectionPolicy:
    """Callbacks of one selection policy.

    Attributes:
        choose: Selects the upstream for an arrival.
        started: Called when a request was assigned to an upstream.
        ended: Called when a request ended.
        reported: Called with the loads of all upstreams when a delayed report
            arrives.
        make_gossip: Called when a decider sends gossip to its cell; returns the
            function to call when the gossip arrives.
    """

    choose: Callable[[Arrival, list[SimulatedUpstream]], int]
    started: Callable[[Arrival, int], None]
    ended: Callable[[Arrival, int], None]
    reported: Callable[[list[int]], None]
    make_gossip: Callable[[int], Callable[[], None]] | None = None


@dataclass(slots=True, frozen=True)
class LatencyResult:
    """95th percentile of the time to the first token, and cache hit share."""

    first_token_s: float
    hit_share: float


def make_arrivals(rng: random.Random, n_deciders: int) -> list[Arrival]:
    """Generate sessions whose turns are separated by a think time.

    All requests of a session go to one decider, since clients cache a node's
    address. Requests before the steady state, in which as many sessions end
    as start, are dropped.
    """
    rate = (
        _UTILIZATION * N_UPSTREAMS * SLOTS / (_MEAN_SERVICE_S + _PREFILL_HIT_S)
    )
    now_s = 0.0
    arrivals = []
    while now_s < _RAMP_UP_S + _N_REQUESTS / rate:
        now_s += rng.expovariate(rate / _MEAN_SESSION_TURNS)
        at_s = now_s
        session = f'session {len(arrivals)}'
        decider = rng.randrange(n_deciders)
        n_turns = 1 + int(rng.expovariate(1 / (_MEAN_SESSION_TURNS - 0.5)))
        for _turn in range(n_turns):
            service_s = rng.expovariate(1 / _MEAN_SERVICE_S)
            arrivals.append(Arrival(at_s, session, service_s, decider))
            at_s += service_s + rng.expovariate(1 / _MEAN_THINK_S)
    steady = [one for one in arrivals if one.at_s >= _RAMP_UP_S]
    steady.sort(key=lambda arrival: arrival.at_s)
    return steady[:_N_REQUESTS]


class Simulation:
    """Runs the events of the simulation in the order of time."""

    def __init__(
        self,
        simulated_upstreams: list[SimulatedUpstream],
        policy: SelectionPolicy,
    ) -> None:
        self._simulated_upstreams = simulated_upstreams
        self._policy = policy
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._sequence = itertools.count()
        self._first_token_times_s: list[float] = []
        self._n_hits = 0
        self._n_started = 0
        self._gossip_scheduled: set[int] = set()
        self._last_gossip_s: dict[int, float] = {}

    def run(self, arrivals: list[Arrival]) -> LatencyResult:
        """Run until no events are left and return the measurements."""
        for arrival in arrivals:
            self._schedule(arrival.at_s, self._make_arrive(arrival))
        n_reports = int(arrivals[-1].at_s / _REPORT_INTERVAL_S)
        for number in range(n_reports):
            self._schedule(number * _REPORT_INTERVAL_S, self._send_report)
        while self._events:
            at_s, _, action = heapq.heappop(self._events)
            action(at_s)
        return LatencyResult(
            find_percentile(self._first_token_times_s[_N_WARM_UP:], _P95),
            self._n_hits / self._n_started,
        )

    def _schedule(self, at_s: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def _make_arrive(self, arrival: Arrival) -> Callable[[float], None]:
        def arrive(now_s: float) -> None:
            index = self._policy.choose(arrival, self._simulated_upstreams)
            self._policy.started(arrival, index)
            self._schedule_gossip(arrival.decider, now_s)
            self._simulated_upstreams[index].queue.append((now_s, arrival))
            self._start_next(index, now_s)

        return arrive

    def _start_next(self, index: int, now_s: float) -> None:
        simulated_upstream = self._simulated_upstreams[index]
        if (
            simulated_upstream.n_running >= SLOTS
            or not simulated_upstream.queue
        ):
            return
        queued_s, arrival = simulated_upstream.queue.popleft()
        simulated_upstream.n_running += 1
        prefill_s = self._prefill(simulated_upstream, arrival.prefix)
        self._first_token_times_s.append(now_s + prefill_s - queued_s)
        end_s = now_s + prefill_s + arrival.service_s

        def end(at_s: float) -> None:
            simulated_upstream.n_running -= 1
            self._policy.ended(arrival, index)
            self._schedule_gossip(arrival.decider, at_s)
            self._start_next(index, at_s)

        self._schedule(end_s, end)

    def _prefill(
        self, simulated_upstream: SimulatedUpstream, prefix: str
    ) -> float:
        self._n_started += 1
        is_hit = prefix in simulated_upstream.cache
        simulated_upstream.cache[prefix] = None
        simulated_upstream.cache.move_to_end(prefix)
        if len(simulated_upstream.cache) > _CACHE_SIZE:
            simulated_upstream.cache.popitem(last=False)
        self._n_hits += is_hit
        return _PREFILL_HIT_S if is_hit else _PREFILL_MISS_S

    def _send_report(self, now_s: float) -> None:
        loads = [
            simulated_upstream.load
            for simulated_upstream in self._simulated_upstreams
        ]

        def arrive(_at_s: float) -> None:
            self._policy.reported(loads)

        self._schedule(now_s + _REPORT_DELAY_S, arrive)

    def _schedule_gossip(self, decider: int, now_s: float) -> None:
        """Schedule gossip to the cell soon, but respect the interval."""
        if (
            self._policy.make_gossip is None
            or decider in self._gossip_scheduled
        ):
            return
        self._gossip_scheduled.add(decider)
        earliest_s = self._last_gossip_s.get(decider, 0) + _GOSSIP_INTERVAL_S

        def send(at_s: float) -> None:
            self._gossip_scheduled.discard(decider)
            self._last_gossip_s[decider] = at_s
            receive = self._policy.make_gossip(decider)
            self._schedule(at_s + _GOSSIP_DELAY_S, lambda _at_s: receive())

        self._schedule(max(now_s + _GOSSIP_MIN_WAIT_S, earliest_s), send)
