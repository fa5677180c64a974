"""Plays the exchange of news between many nodes, on a clock of its own."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from turmericcrank_core.link_budget import (
    LinkBudget,
    note_sent,
    plan_send_pause_s,
)
from turmericcrank_core.membership import iter_heard
from turmericcrank_node.membership.news_exchange import (
    NewsExchange,
    is_round_due,
    iter_messages,
    iter_page_messages,
    make_greeting,
    plan_pause_s,
    take_message,
)
from turmericcrank_node.membership.node_news import pack_news, unpack_news
from turmericcrank_node.state.node_state import NodeState, read_boot_s

from tests.router_builders import make_route, make_table
from tests.router_fakes import make_node_state

_STEP_S = 0.05
# The slowest link of the sites, 5 Mbit/s.
_LINK_BYTES_PER_S = 5_000_000 / 8
_PACE_SPREAD = (0.85, 1)


@dataclass
class PlayedNode:
    """One node; it is told at ``next_s`` to send its news."""

    state: NodeState
    next_s: float
    budget: LinkBudget
    exchange: NewsExchange = field(default_factory=NewsExchange)
    outbox: Iterator | None = None
    is_round: bool = False
    pages_began_s: float = 0

    @property
    def node_id(self):
        return self.state.settings.node_id

    @property
    def data_centre(self):
        return self.state.settings.data_centre


@dataclass
class SentMessage:
    """One message of ``n_bytes``; no receiver if nobody listens there."""

    sender: PlayedNode
    receiver: PlayedNode | None
    n_bytes: int
    sent_s: float


@dataclass
class MeshPlay:
    """All nodes, and the messages that went between them."""

    by_address: dict[str, PlayedNode]
    seeds: list[str]
    now_s: float
    loss: float = 0
    sent: list = field(default_factory=list)
    luck: random.Random = field(default_factory=lambda: random.Random(1))

    @property
    def nodes(self):
        return list(self.by_address.values())

    def heard_ids(self, node):
        heard = iter_heard(node.state.members, self.now_s)
        return {peer.node_id for peer in heard}

    def kill(self, node):
        return self.by_address.pop(node.state.settings.addresses.peer)

    def greet(self, node):
        """Let a new node tell its seeds."""
        for seed in self.seeds:
            news = make_greeting(node.state, node.exchange, self.now_s)
            self._deliver(node, seed, news)

    def play(self, for_s):
        ends_s = self.now_s + for_s
        while self.now_s < ends_s:
            self.now_s += _STEP_S
            for node in self.nodes:
                self._tell(node)

    def _tell(self, node):
        is_wanted = node.state.news_wanted.is_set()
        is_due = is_round_due(
            self.now_s, node.next_s, node.pages_began_s, is_wanted
        )
        is_free = node.outbox is None and is_wanted
        if (is_due or is_free) and not node.is_round:
            self._begin_round(node)
        while node.outbox and not plan_send_pause_s(node.budget, self.now_s):
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
                node.state, node.exchange, lambda: self.now_s
            )

    def _begin_round(self, node):
        node.state.news_wanted = type(node.state.news_wanted)()
        pause_s = plan_pause_s(node.state) * self.luck.uniform(*_PACE_SPREAD)
        node.next_s = self.now_s + pause_s
        node.is_round = True
        node.outbox = iter_messages(node.state, node.exchange, self.now_s)

    def _deliver(self, sender, address, news):
        raw = pack_news(news)
        receiver = self.by_address.get(address)
        if receiver is sender:
            return
        note_sent(sender.budget, len(raw), self.now_s)
        self.sent.append(SentMessage(sender, receiver, len(raw), self.now_s))
        if receiver is None or self.luck.random() < self.loss:
            return
        news = unpack_news(raw)
        take_message(receiver.state, receiver.exchange, news, self.now_s)


def make_node(number, data_centre, now_s):
    state = make_node_state(
        make_table(make_route()), node_id=f'{data_centre}-{number}'
    )
    addresses = replace(
        state.settings.addresses,
        peer=f'{data_centre}-{number}:1',
        client=f'{data_centre}-{number}:2',
    )
    state.settings = replace(
        state.settings, data_centre=data_centre, addresses=addresses
    )
    first_s = now_s + 0.8 * random.Random(state.settings.node_id).random()
    budget = LinkBudget(_LINK_BYTES_PER_S)
    return PlayedNode(state, first_s, budget)


def play_start(n_by_data_centre, for_s=4.0, seeds=(0,)):
    """Start all nodes at once; ``seeds`` are the numbers of their seeds."""
    now_s = read_boot_s()
    nodes = [
        make_node(number, data_centre, now_s)
        for data_centre, count in n_by_data_centre.items()
        for number in range(count)
    ]
    by_address = {node.state.settings.addresses.peer: node for node in nodes}
    addresses = list(by_address)
    chosen = [addresses[seed % len(addresses)] for seed in seeds]
    play = MeshPlay(by_address, chosen, now_s)
    for node in nodes:
        play.greet(node)
    play.play(for_s)
    return play
