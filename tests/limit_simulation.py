"""Simulates nodes that send requests to upstreams which name a limit.

The nodes run the router's own selection, bookkeeping and gossip on a virtual
clock. Upstreams are modelled: each names its limit by a schedule.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

from turmericcrank_node.platform_port import ResponseInfo
from turmericcrank_node.serving.in_flight_request import (
    end_attempt,
    start_attempt,
)
from turmericcrank_node.upstreams.request_limits import process_request_limit

from tests.gossip_simulation import GossipSimulation, make_node
from tests.request_builders import make_in_flight
from tests.router_builders import make_upstream
from tests.router_fakes import list_upstreams
from tests.virtual_clock import CLOCK

START_S = 5000.0
WINDOW_S = 4.0
_STEP_S = 0.05
_HEAD_DELAY_S = (0.05, 0.4)
_SERVICE_TIME_S = 0.6
# Share of responses of low confidence, after which a larger model is asked.
_ESCALATION_RATE = 0.2
_SETTLE_S = 8
_UPTIME_S = 100000


@dataclass
class Arrival:
    """A request that reached an upstream."""

    at_s: float
    node_id: str
    upstream_id: str


@dataclass
class LimitSimulation:
    """Nodes, modelled upstreams, and the requests that they received.

    Attributes:
        gossip: The nodes and their gossip.
        limit_at: Limit that an upstream names at a time; None for none.
        requests_per_s: Requests of clients, over all nodes.
        upstreams: Rows of the upstreams.
        frozen: Nodes that do not run.
        arrivals: Requests that reached an upstream.
        n_rejected: Requests for which no upstream was available.
    """

    gossip: GossipSimulation
    limit_at: Callable
    requests_per_s: float
    upstreams: list
    rng: random.Random = field(default_factory=lambda: random.Random(7))
    frozen: list = field(default_factory=list)
    arrivals: list = field(default_factory=list)
    n_rejected: int = 0
    _events: list = field(default_factory=list)

    @property
    def now_s(self):
        return self.gossip.now_s

    def run(self, duration_s):
        ends_s = self.now_s + duration_s
        while self.now_s < ends_s:
            self.gossip.run_step()
            self._run_events()
            self._send_requests()

    def freeze(self, nodes):
        """Stop nodes: they receive and send nothing."""
        for node in nodes:
            self.gossip.kill(node)
            self.frozen.append(node)

    def thaw(self):
        """Let the frozen nodes run again."""
        while self.frozen:
            self.gossip.add(self.frozen.pop())

    def add_nodes(self, count, first_number=500):
        """Start nodes that learn of the others from the seeds."""
        for number in range(first_number, first_number + count):
            self._start(make_node(number, 'north', self.now_s))

    def nodes_but_seed(self, share):
        """Return a share of the nodes, without the one that all know first."""
        nodes = self.gossip.nodes[1:]
        return nodes[: round(len(nodes) * share)]

    def restart(self, nodes):
        """Replace processes by new ones that know nothing yet."""
        for node in nodes:
            number = int(node.node_id.rpartition('-')[2])
            self._start(make_node(number, node.data_centre, self.now_s))

    def retry(self, tried_ids):
        """Send a request that has failed at some upstreams before."""
        node = self.rng.choice(self.gossip.nodes)
        request_id = f'{self.rng.getrandbits(64):016x}'
        in_flight = make_in_flight(request_id, self.now_s)
        in_flight.tried_ids = frozenset(tried_ids)
        self._send(node, in_flight)

    def _start(self, node):
        list_upstreams(node.state, *self.upstreams)
        self.gossip.add(node)
        self.gossip.join(node)

    def _send_requests(self):
        expected = self.requests_per_s * _STEP_S
        is_rounded_up = self.rng.random() < expected - int(expected)
        n_requests = int(expected) + is_rounded_up
        for _ in range(n_requests):
            node = self.rng.choice(self.gossip.nodes)
            request_id = f'{self.rng.getrandbits(64):016x}'
            self._send(node, make_in_flight(request_id, self.now_s))

    def _send(self, node, in_flight):
        upstream = start_attempt(node.state, in_flight)
        if upstream is None:
            self.n_rejected += 1
            return
        upstream_id = upstream.upstream_id
        self.arrivals.append(Arrival(self.now_s, node.node_id, upstream_id))
        head_s = self.now_s + self.rng.uniform(*_HEAD_DELAY_S)
        self._events.append(
            (head_s, self._receive_head, (node, in_flight, upstream))
        )

    def _run_events(self):
        events = sorted(self._events, key=lambda event: event[0])
        self._events = [event for event in events if event[0] > self.now_s]
        for at_s, run_event, arguments in events:
            if at_s <= self.now_s:
                run_event(*arguments)

    def _receive_head(self, node, in_flight, upstream):
        if node in self.frozen:
            self._events.append(
                (
                    self.now_s + _STEP_S,
                    self._receive_head,
                    (node, in_flight, upstream),
                )
            )
            return
        limit = self.limit_at(upstream.upstream_id, self.now_s)
        process_request_limit(
            node.state,
            upstream.upstream_id,
            HTTPStatus.OK,
            ResponseInfo('', True, False, None, request_limit_per_s=limit),
        )
        if self.rng.random() < _ESCALATION_RATE:
            end_attempt(node.state, in_flight, upstream)
            in_flight.tried_ids = frozenset()
            self._send(node, in_flight)
        else:
            ended = (node.state, in_flight, upstream)
            self._events.append(
                (self.now_s + _SERVICE_TIME_S, end_attempt, ended)
            )


def start_limit_simulation(
    n_by_data_centre,
    n_upstreams,
    requests_per_s,
    limit_at,
):
    """Start nodes that know each other, at ``START_S`` on a virtual clock.

    Traffic starts after the nodes have had some seconds to settle.
    """
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
    return LimitSimulation(gossip, limit_at, requests_per_s, rows)


def count_most_in_window(simulation, upstream_id, since_s, until_s):
    """Return the most requests that an upstream got in a window of 4 s."""
    times = [
        arrival.at_s
        for arrival in simulation.arrivals
        if arrival.upstream_id == upstream_id
        and since_s <= arrival.at_s <= until_s
    ]
    return max(
        (
            sum(first <= at_s < first + WINDOW_S for at_s in times)
            for first in times
        ),
        default=0,
    )


def allowed_in_window(limit_per_s):
    """Return the most requests in 4 s that the users' rule allows."""
    return 1.5 * WINDOW_S * limit_per_s + 5
