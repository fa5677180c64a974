"""Simulates nodes whose upstreams crash under a part of some prompts.

The nodes run the router's own selection, bookkeeping and gossip on a virtual
clock. Upstreams are modelled: a request waits, begins to answer, and ends; one
with a crashing part ends its upstream when it begins.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from turmericcrank_node.serving.in_flight_request import (
    AttemptResult,
    end_attempt,
    record_attempt_result,
    start_attempt,
)
from turmericcrank_node.upstreams.block_storage import (
    BlockStorage,
    keep_blocks,
)
from turmericcrank_node.upstreams.crash_block_checks import take_test
from turmericcrank_node.upstreams.poison_detection import (
    record_begin,
    record_crash,
    record_output,
)

from tests.crash_records import Arrival, SimulatedAttempt, SimulatedRequest
from tests.gossip_simulation import GossipSimulation, make_node
from tests.request_builders import make_in_flight
from tests.router_builders import make_upstream
from tests.router_fakes import FakeRows, list_upstreams, make_fake_platform
from tests.virtual_clock import CLOCK

START_S = 5000.0
_STEP_S = 0.05
_SETTLE_S = 8
# Time from the head of a response to its first output, or to the crash.
_HEAD_S = 0.1
_QUEUE_S = (0.1, 0.7)
_RUN_S = (0.6, 1.6)
_NEXT_EVENT_S = 0.3
_NOTICE_S = (0.0, 0.1)
_DOWN_S = 3.3
_MAX_RUNS = 3
_MAX_TRIES = 8
_UPTIME_S = 100000
_SUBJECTS = 12
# A node keeps blocks in the store once it has run for this time.
_STORAGE_STARTS_S = 1.5


@dataclass(eq=False, repr=False)
class CrashSimulation:
    """Nodes, modelled upstreams, and the requests that they received.

    Attributes:
        gossip: The nodes and their gossip.
        upstreams: Rows of the upstreams.
        requests_per_s: Sound requests of clients, over all nodes.
        crashing_per_s: Requests with a crashing part, over all nodes, by
            part.
        crashing_parts: Parts that crash what begins to answer them now.
        has_heads: Whether the head of a response arrives before its output.
        repeats: How often clients send a request again that has failed.
        requests: All requests of clients.
        arrivals: Requests that reached an upstream.
        crashes: Time, upstream and part of each crash by a request.
        rows: Tables of the store.
        storages_by_node: What each process knows of the stored blocks, and
            since when it runs.
    """

    gossip: GossipSimulation
    upstreams: list
    requests_per_s: float
    crashing_per_s: dict = field(default_factory=dict)
    crashing_parts: set = field(default_factory=set)
    repeats: int = 0
    has_heads: bool = True
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    frozen: list = field(default_factory=list)
    requests: list = field(default_factory=list)
    arrivals: list = field(default_factory=list)
    crashes: list = field(default_factory=list)
    attempts_by_upstream: dict = field(default_factory=dict)
    rows: FakeRows = field(default_factory=FakeRows)
    storages_by_node: dict = field(default_factory=dict)
    _down_until_s: dict = field(default_factory=dict)
    _events: list = field(default_factory=list)
    _numbers: object = field(default_factory=itertools.count)

    @property
    def now_s(self):
        return self.gossip.now_s

    def run(self, duration_s):
        ends_s = self.now_s + duration_s
        while self.now_s < ends_s:
            self.gossip.run_step()
            self._keep_blocks()
            self._run_events()
            self._send_requests()

    def start_crashing(self, part, per_s):
        """Let clients send requests with a part that crashes upstreams."""
        self.crashing_parts.add(part)
        self.crashing_per_s[part] = per_s

    def crash(self, upstream_id):
        """Crash an upstream, whatever runs there."""
        self._down_until_s[upstream_id] = self.now_s + _DOWN_S
        lost = self.attempts_by_upstream.pop(upstream_id, [])
        by_node = {}
        for attempt in lost:
            by_node.setdefault(attempt.request.node.node_id, []).append(attempt)
        for attempts in by_node.values():
            notice_s = self.now_s + self.rng.uniform(*_NOTICE_S)
            self._schedule(notice_s, self._notice_crash, upstream_id, attempts)

    def freeze(self, nodes):
        for node in nodes:
            self.gossip.kill(node)
            self.frozen.append(node)

    def thaw(self):
        while self.frozen:
            self.gossip.add(self.frozen.pop())

    def restart(self, nodes):
        """Replace processes by new ones that know nothing yet."""
        for node in nodes:
            number = int(node.node_id.rpartition('-')[2])
            self._start(make_node(number, node.data_centre, self.now_s))

    def add_nodes(self, count, first_number=500):
        for number in range(first_number, first_number + count):
            self._start(make_node(number, 'north', self.now_s))

    def nodes_but_seed(self, share):
        nodes = self.gossip.nodes[1:]
        return nodes[: round(len(nodes) * share)]

    def send(self, parts, fingerprint=None):
        """Send a request of a client to a random node."""
        node = self.rng.choice(self.gossip.nodes)
        request_id = f'{self.rng.getrandbits(64):016x}'
        request = SimulatedRequest(
            make_in_flight(request_id, self.now_s, parts, fingerprint),
            node,
            parts,
            self.now_s,
        )
        self.requests.append(request)
        suspect = request.in_flight.suspect
        request.in_flight.is_test = take_test(node.state, suspect)
        self._start_attempt(request)
        return request

    def _keep_blocks(self):
        """Let each node that has run for a while keep blocks in the store."""
        for node in self.gossip.nodes:
            storage, since_s = self.storages_by_node.setdefault(
                id(node), (BlockStorage(), self.now_s)
            )
            if self.now_s - since_s >= _STORAGE_STARTS_S:
                _run_at_once(keep_blocks(node.state, storage))

    def _start(self, node):
        list_upstreams(node.state, *self.upstreams)
        node.state.platform = make_fake_platform(self.rows)
        self.gossip.add(node)
        self.gossip.join(node)

    def _send_requests(self):
        for _ in range(self._draw_count(self.requests_per_s)):
            self.send(self._draw_sound_parts())
        for part, per_s in self.crashing_per_s.items():
            for _ in range(self._draw_count(per_s)):
                self.send(('first-0', part))

    def _draw_count(self, per_s):
        expected = per_s * _STEP_S
        return int(expected) + (self.rng.random() < expected - int(expected))

    def _draw_sound_parts(self):
        first = int(self.rng.expovariate(1 / 3))
        return (f'first-{first}', f'subject-{self.rng.randrange(_SUBJECTS)}')

    def _schedule(self, at_s, action, *arguments):
        heapq.heappush(
            self._events, (at_s, next(self._numbers), action, arguments)
        )

    def _run_events(self):
        while self._events and self._events[0][0] <= self.now_s:
            _, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _start_attempt(self, request):
        state = request.node.state
        for _ in range(_MAX_TRIES):
            upstream = start_attempt(state, request.in_flight)
            if upstream is None:
                request.is_rejected = request.n_runs == 0
                return
            if self._down_until_s.get(upstream.upstream_id, 0) > self.now_s:
                refused = AttemptResult('refused', is_unresponsive=True)
                record_attempt_result(
                    state, request.in_flight, upstream, refused
                )
                end_attempt(state, request.in_flight, upstream)
                continue
            self._arrive(request, upstream)
            return

    def _arrive(self, request, upstream):
        upstream_id = upstream.upstream_id
        request.n_runs += 1
        request.in_flight.n_possible_runs += 1
        self.arrivals.append(Arrival(self.now_s, request, upstream_id))
        attempt = SimulatedAttempt(request, upstream_id)
        self.attempts_by_upstream.setdefault(upstream_id, []).append(attempt)
        begins_s = self.now_s + self.rng.uniform(*_QUEUE_S)
        self._schedule(begins_s, self._begin, attempt)

    def _is_running(self, attempt):
        return attempt in self.attempts_by_upstream.get(attempt.upstream_id, [])

    def _begin(self, attempt):
        if not self._is_running(attempt):
            return
        request = attempt.request
        if self.has_heads and request.node not in self.frozen:
            record_begin(
                request.node.state,
                attempt.upstream_id,
                request.in_flight.attempt_number,
            )
        self._schedule(self.now_s + _HEAD_S, self._write, attempt)

    def _write(self, attempt):
        if not self._is_running(attempt):
            return
        request = attempt.request
        causes = self.crashing_parts.intersection(request.parts)
        if causes:
            crash = (self.now_s, attempt.upstream_id, min(causes))
            self.crashes.append(crash)
            self.crash(attempt.upstream_id)
            return
        request.begun_at = request.n_runs
        self._output(attempt)
        self._schedule(self.now_s + _NEXT_EVENT_S, self._output, attempt)
        ends_s = self.now_s + self.rng.uniform(*_RUN_S)
        self._schedule(ends_s, self._end, attempt)

    def _output(self, attempt):
        if (
            self._is_running(attempt)
            and attempt.request.node not in self.frozen
        ):
            request = attempt.request
            record_output(
                request.node.state,
                attempt.upstream_id,
                request.in_flight.attempt_number,
                1,
            )

    def _end(self, attempt):
        if not self._is_running(attempt):
            return
        self.attempts_by_upstream[attempt.upstream_id].remove(attempt)
        request = attempt.request
        upstream = self._row(attempt.upstream_id)
        record_attempt_result(
            request.node.state, request.in_flight, upstream, AttemptResult()
        )
        end_attempt(request.node.state, request.in_flight, upstream)

    def _notice_crash(self, upstream_id, attempts):
        node = attempts[0].request.node
        if node in self.frozen:
            later_s = self.now_s + _STEP_S
            self._schedule(later_s, self._notice_crash, upstream_id, attempts)
            return
        if self.gossip.by_address.get(node.address) is not node:
            return
        state = node.state
        in_flight = dict(state.attempts_by_upstream[upstream_id])
        record_crash(state, upstream_id, 'ended early', in_flight)
        for attempt in attempts:
            self._fail(attempt, self._row(upstream_id))

    def _fail(self, attempt, upstream):
        request = attempt.request
        state = request.node.state
        record_attempt_result(
            state, request.in_flight, upstream, AttemptResult('ended early')
        )
        end_attempt(state, request.in_flight, upstream)
        if request.n_runs < _MAX_RUNS:
            self._start_attempt(request)
        elif self.repeats > 0 and not request.begun_at:
            self.repeats -= 1
            fingerprint = request.in_flight.suspect.fingerprint
            self.send(request.parts, fingerprint)

    def _row(self, upstream_id):
        return self.upstreams[int(upstream_id.removeprefix('u'))]


def _run_at_once(work):
    """Run a coroutine that waits for nothing."""
    try:
        work.send(None)
    except StopIteration:
        return
    raise AssertionError('it waits')


def start_crash_simulation(
    n_by_data_centre, n_upstreams, requests_per_s, seed=7
):
    """Start nodes that know each other, at ``START_S`` on a virtual clock."""
    CLOCK.now_s = START_S - _SETTLE_S
    gossip = GossipSimulation({}, [])
    for data_centre, count in n_by_data_centre.items():
        for index in range(count):
            node = make_node(index, data_centre, gossip.now_s)
            # The clocks of VMs start at different times.
            offset_s = random.Random(node.node_id).uniform(0, _UPTIME_S)
            node.state.cluster_clock.offset_s = offset_s
            gossip.add(node)
    gossip.seeds = list(gossip.by_address)[:1]
    rows = [make_upstream(f'u{number}') for number in range(n_upstreams)]
    for node in gossip.nodes:
        list_upstreams(node.state, *rows)
        gossip.join(node)
    gossip.run(_SETTLE_S)
    simulation = CrashSimulation(
        gossip, rows, requests_per_s, rng=random.Random(seed)
    )
    for node in gossip.nodes:
        node.state.platform = make_fake_platform(simulation.rows)
    return simulation
