"""Simulates gossip between many nodes on a virtual clock.

All random decisions follow from the names of the nodes and from the seed of
the simulation, so two runs exchange the same messages. The tests must let the
router read the virtual clock (``use_virtual_clock``).
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from turmericcrank_core.membership import iter_alive
from turmericcrank_core.send_rate_limit import (
    SendRateLimiter,
    plan_send_delay_s,
    record_sent,
)
from turmericcrank_node.membership.gossip_message import (
    pack_gossip,
    unpack_gossip,
)
from turmericcrank_node.membership.gossip_rounds import (
    GossipState,
    is_round_due,
    iter_page_messages,
    iter_round_messages,
    make_join_message,
    plan_round_interval_s,
    receive_message,
)
from turmericcrank_node.state.node_state import NodeState

from tests.router_builders import make_route, make_table
from tests.router_fakes import make_node_state
from tests.virtual_clock import CLOCK

_STEP_S = 0.05
# The slowest link of the sites has 5 Mbit/s.
_LINK_BYTES_PER_S = 5_000_000 / 8
# Range of a random factor of the round interval.
_INTERVAL_SPREAD = (0.85, 1)


@dataclass(eq=False, repr=False)
class SimulatedNode:
    """One simulated node.

    Attributes:
        state: State of the node.
        next_round_s: When its next gossip round is due, in seconds.
        rate_limiter: Rate limit of its messages.
        gossip: State of the gossip protocol.
        outbox: Messages that remain to be sent; None if there are none.
        is_round: Whether the outbox holds the messages of a round, not the
            large changes that are sent between rounds.
        pages_began_s: When sending of these changes began, in seconds.
    """

    state: NodeState
    next_round_s: float
    rate_limiter: SendRateLimiter
    gossip: GossipState = field(default_factory=GossipState)
    outbox: Iterator | None = None
    is_round: bool = False
    pages_began_s: float = 0

    @property
    def node_id(self):
        return self.state.settings.node_id

    @property
    def address(self):
        return self.state.settings.addresses.peer

    @property
    def data_centre(self):
        return self.state.settings.data_centre


@dataclass(eq=False, repr=False)
class SentMessage:
    """A sent message; the receiver is None if no node has the address."""

    sender: SimulatedNode
    receiver: SimulatedNode | None
    n_bytes: int
    sent_s: float


@dataclass(eq=False, repr=False)
class GossipSimulation:
    """All nodes and the messages that they have sent.

    Nodes of different ``groups`` (ids of nodes) lose all messages to each
    other; without groups none are lost that way.
    """

    by_address: dict[str, SimulatedNode]
    seeds: list[str]
    loss_rate: float = 0
    groups: tuple = ()
    sent: list = field(default_factory=list)
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    @property
    def now_s(self):
        return CLOCK.now_s

    @property
    def nodes(self):
        return list(self.by_address.values())

    def alive_ids(self, node):
        alive = iter_alive(node.state.members, self.now_s)
        return {peer.node_id for peer in alive}

    def kill(self, node):
        return self.by_address.pop(node.state.settings.addresses.peer)

    def join(self, node):
        """Let a new node contact its seeds."""
        for seed in self.seeds:
            message = make_join_message(node.state, node.gossip, self.now_s)
            self._deliver(node, seed, message)

    def add(self, node):
        self.by_address[node.state.settings.addresses.peer] = node

    def run(self, duration_s):
        ends_s = self.now_s + duration_s
        while self.now_s < ends_s:
            self.run_step()

    def run_step(self):
        CLOCK.now_s += _STEP_S
        for node in self.nodes:
            self._step_node(node)

    def _step_node(self, node):
        is_requested = node.state.gossip_requested.is_set()
        is_due = is_round_due(
            self.now_s, node.next_round_s, node.pages_began_s, is_requested
        )
        is_idle = node.outbox is None and is_requested
        if (is_due or is_idle) and not node.is_round:
            self._begin_round(node)
        while node.outbox and not plan_send_delay_s(
            node.rate_limiter, self.now_s
        ):
            message = next(node.outbox, None)
            if message is None:
                self._end_outbox(node)
            else:
                self._deliver(node, *message)

    def _end_outbox(self, node):
        node.outbox = None
        if node.is_round:
            node.is_round = False
            node.pages_began_s = self.now_s
            node.outbox = iter_page_messages(
                node.state, node.gossip, lambda: self.now_s
            )

    def _begin_round(self, node):
        node.state.gossip_requested = type(node.state.gossip_requested)()
        interval_s = plan_round_interval_s(node.state) * self.rng.uniform(
            *_INTERVAL_SPREAD
        )
        node.next_round_s = self.now_s + interval_s
        node.is_round = True
        node.outbox = iter_round_messages(node.state, node.gossip, self.now_s)

    def _is_cut(self, sender, receiver):
        return any(
            (sender.node_id in group) != (receiver.node_id in group)
            for group in self.groups
        )

    def _deliver(self, sender, address, message):
        raw = pack_gossip(message)
        receiver = self.by_address.get(address)
        if receiver is sender:
            return
        record_sent(sender.rate_limiter, len(raw), self.now_s)
        self.sent.append(SentMessage(sender, receiver, len(raw), self.now_s))
        if receiver is None or self.rng.random() < self.loss_rate:
            return
        if self._is_cut(sender, receiver):
            return
        message = unpack_gossip(raw)
        receive_message(receiver.state, receiver.gossip, message, self.now_s)


def make_node(number, data_centre, now_s):
    """Make a node whose random decisions follow from its name."""
    state = make_node_state(
        make_table(make_route()), node_id=f'{data_centre}-{number}'
    )
    addresses = replace(
        state.settings.addresses,
        peer=f'{data_centre}-{number}:1',
        client=f'{data_centre}-{number}:2',
    )
    state.settings = replace(
        state.settings,
        data_centre=data_centre,
        addresses=addresses,
        link_bytes_per_s=_LINK_BYTES_PER_S,
    )
    state.joined_s = now_s
    state.incarnation = f'{state.settings.node_id}@{now_s}'
    state.random_source.seed(state.settings.node_id)
    first_s = now_s + 0.8 * random.Random(state.settings.node_id).random()
    rate_limiter = SendRateLimiter(_LINK_BYTES_PER_S)
    return SimulatedNode(state, first_s, rate_limiter)


def start_simulation(n_by_data_centre, duration_s=4.0, seeds=(0,)):
    """Start all nodes at once and run the simulation for some seconds.

    ``seeds`` are the indices of the nodes that all nodes use as seeds, modulo
    the number of nodes.
    """
    nodes = [
        make_node(number, data_centre, CLOCK.now_s)
        for data_centre, count in n_by_data_centre.items()
        for number in range(count)
    ]
    by_address = {node.state.settings.addresses.peer: node for node in nodes}
    addresses = list(by_address)
    chosen = [addresses[seed % len(addresses)] for seed in seeds]
    simulation = GossipSimulation(by_address, chosen)
    for node in nodes:
        simulation.join(node)
    simulation.run(duration_s)
    return simulation
