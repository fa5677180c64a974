"""Decides whom a node tells what, and takes what it hears; without I/O."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.membership import Peer, expire_peers, iter_heard
from turmericcrank_core.mesh import (
    MeshPlan,
    plan_digest_pause_s,
    plan_mesh,
)
from turmericcrank_core.told_loads import forget_loads
from turmericcrank_core.version_choice import expire_sessions

from turmericcrank_node.membership.news_taking import take_news
from turmericcrank_node.membership.news_writing import (
    Receiver,
    describe_across,
    describe_own,
    describe_pages,
    describe_proofs,
    describe_small_pages,
    expire_news,
    note_passed_on,
)
from turmericcrank_node.membership.node_news import NodeNews
from turmericcrank_node.state.node_state import NodeState, describe_self

__all__ = (
    'NewsExchange',
    'is_round_due',
    'iter_messages',
    'iter_page_messages',
    'make_greeting',
    'plan_pause_s',
    'take_message',
)

_PACE_S = 0.8
_LINK_PACE_S = 0.4
_PAGES_S = 0.2
# A little less than the pace, which a change cuts short.
_COUNTS_PAUSE_S = 0.6
_GREETED_S = 0.85
_MAX_SESSION_AGE_S = 20


@dataclass(slots=True)
class Heard:
    """The newest message of one peer.

    Attributes:
        sent_s: When it was sent, on the peer's clock.
        received_s: When it was read, on this node's clock.
        incarnation: Start of the peer that sent it.
        is_greeting: Whether the peer had not heard this node then.
        changes: Last change of each table that the peer had.
    """

    sent_s: float
    received_s: float
    incarnation: str
    is_greeting: bool
    changes: tuple[int, int]


@dataclass(slots=True)
class NewsExchange:
    """State of the exchange of messages.

    Attributes:
        heard_by_id: Newest message of each peer.
        silent_ids: Peers that were noted as silent.
        digest_sent_s: When other cells were told a digest, in seconds.
        counts_sent_s: When mates were told counts, in seconds.
    """

    heard_by_id: dict[str, Heard] = field(default_factory=dict)
    silent_ids: set[str] = field(default_factory=set)
    digest_sent_s: float = 0
    counts_sent_s: float = 0


def iter_messages(
    state: NodeState, exchange: NewsExchange, now_s: float
) -> Iterator[tuple[str, NodeNews]]:
    """Yield the messages that are due now, each with its address.

    Partners in other cells are told, who has just greeted this node, and
    its mates. Large changes are left to ``iter_page_messages``, so that a
    round is short at any link.
    """
    _forget_old(state, exchange, now_s)
    plan = plan_mesh(state.members, describe_self(state), now_s)
    _note_plan(state, plan)
    has_counts = now_s - exchange.counts_sent_s >= _COUNTS_PAUSE_S
    if has_counts:
        exchange.counts_sent_s = now_s
    own = describe_own(state, now_s, has_counts)
    note_passed_on(state)
    across = _describe_across(state, exchange, plan, has_counts, now_s)
    # Other cells first, as these have yet to pass it on.
    for peer in _list_others(state, exchange, plan, now_s):
        yield _tell_peer(state, exchange, peer, across, now_s)
    for mate in plan.mates:
        yield _tell_peer(state, exchange, mate, own, now_s)


def _tell_peer(
    state: NodeState,
    exchange: NewsExchange,
    peer: Peer,
    shared: dict[str, Any],
    now_s: float,
) -> tuple[str, NodeNews]:
    """Make the message to one peer, with the small changes that it lacks."""
    receiver = _describe_receiver(state, exchange, peer)
    pages = describe_small_pages(state, receiver, now_s)
    told = {**shared, 'pages': pages}
    return peer.peer_address, _make_news(state, exchange, peer, told, now_s)


def iter_page_messages(
    state: NodeState, exchange: NewsExchange, read_now_s: Callable[[], float]
) -> Iterator[tuple[str, NodeNews]]:
    """Yield the changes that peers still lack, each with its address.

    A message is made when it is asked for. Who stops asking may begin anew
    later: what was not told then is yielded then.
    """
    plan = state.mesh
    for peer in (*plan.partners, *plan.mates):
        receiver = _describe_receiver(state, exchange, peer)
        now_s = read_now_s()
        pages = describe_pages(state, receiver, now_s)
        while pages:
            told = {'cell': plan.cell, 'pages': pages}
            told['proofs'] = describe_proofs(state, now_s)
            news = _make_news(state, exchange, peer, told, now_s)
            yield peer.peer_address, news
            now_s = read_now_s()
            pages = describe_pages(state, receiver, now_s)


def _describe_across(
    state: NodeState,
    exchange: NewsExchange,
    plan: MeshPlan,
    has_counts: bool,
    now_s: float,
) -> dict[str, Any]:
    is_due = now_s - exchange.digest_sent_s >= plan_digest_pause_s(plan.n_cells)
    if is_due:
        exchange.digest_sent_s = now_s
    return describe_across(state, now_s, has_counts, is_due)


def plan_pause_s(state: NodeState) -> float:
    """Plan the pause until the next messages, in seconds.

    The ends of a link between cells pass on what is fresh sooner.
    """
    return _LINK_PACE_S if state.mesh.partners else _PACE_S


def is_round_due(
    now_s: float, next_s: float, pages_began_s: float, is_wanted: bool
) -> bool:
    """Tell whether the next round goes before the changes still to be told.

    A round that others wait for leaves these changes a little time, so that
    a series of such rounds does not hold them up.

    Args:
        now_s: Now, in seconds.
        next_s: When the next round is due, in seconds.
        pages_began_s: Since when changes are being told, in seconds.
        is_wanted: Whether others wait for a round.
    """
    if now_s >= next_s:
        return True
    return is_wanted and now_s >= pages_began_s + _PAGES_S


def make_greeting(
    state: NodeState, exchange: NewsExchange, now_s: float
) -> NodeNews:
    """Make the message to a node of which only the address is known."""
    nobody = Peer('', '', '', '', '', is_ready=False, heard_s=0)
    own = describe_own(state, now_s, has_counts=False)
    return _make_news(state, exchange, nobody, own, now_s)


def take_message(
    state: NodeState, exchange: NewsExchange, news: NodeNews, now_s: float
) -> None:
    """Take one message of a peer."""
    exchange.heard_by_id[news.node_id] = Heard(
        news.sent_s,
        now_s,
        news.incarnation,
        news.echo_s < 0,
        tuple(change for change, _age_s in news.proofs),
    )
    if take_news(state, news, now_s):
        exchange.silent_ids.discard(news.node_id)


def _forget_old(state: NodeState, exchange: NewsExchange, now_s: float) -> None:
    expire_sessions(state.sessions, now_s - _MAX_SESSION_AGE_S)
    expire_news(state, now_s)
    for gone in expire_peers(state.members, now_s):
        exchange.heard_by_id.pop(gone.node_id, None)
        forget_loads(state.told_loads, gone.node_id)
    _note_silent(state, exchange, now_s)


def _note_plan(state: NodeState, plan: MeshPlan) -> None:
    is_parted = bool(plan.cell)
    mate_ids = frozenset(peer.node_id for peer in plan.mates)
    state.members.mate_ids = mate_ids if is_parted else None
    state.members.told_pause_s = plan_digest_pause_s(plan.n_cells) * is_parted
    if plan.cell != state.mesh.cell:
        state.log.write(
            EventCode.cell_changed,
            cell=plan.cell,
            before=state.mesh.cell,
            mates=len(plan.mates),
            cells=plan.n_cells,
        )
    state.mesh = plan


def _list_others(
    state: NodeState, exchange: NewsExchange, plan: MeshPlan, now_s: float
) -> list[Peer]:
    """List the partners, and others that have just greeted this node."""
    if not plan.cell:
        return []
    mate_ids = {peer.node_id for peer in plan.mates}
    other_by_id = {peer.node_id: peer for peer in plan.partners}
    for node_id, heard in exchange.heard_by_id.items():
        is_recent = now_s - heard.received_s <= _GREETED_S
        if is_recent and heard.is_greeting and node_id not in mate_ids:
            other_by_id[node_id] = state.members.by_id[node_id]
    return list(other_by_id.values())


def _describe_receiver(
    state: NodeState, exchange: NewsExchange, peer: Peer
) -> Receiver:
    mates = state.members.mate_ids
    is_mate = mates is None or peer.node_id in mates
    heard = exchange.heard_by_id.get(peer.node_id)
    if heard is None:
        return Receiver(peer.node_id, is_mate)
    return Receiver(peer.node_id, is_mate, heard.changes, heard.received_s)


def _make_news(
    state: NodeState,
    exchange: NewsExchange,
    peer: Peer,
    shared: dict[str, Any],
    now_s: float,
) -> NodeNews:
    heard = exchange.heard_by_id.get(peer.node_id)
    own = describe_self(state)
    return NodeNews(
        node_id=own.node_id,
        incarnation=own.incarnation,
        data_centre=own.data_centre,
        peer_address=own.peer_address,
        client_address=own.client_address,
        is_ready=own.is_ready,
        sent_s=now_s,
        echo_s=heard.sent_s if heard else -1,
        echo_incarnation=heard.incarnation if heard else '',
        echo_held_s=now_s - heard.received_s if heard else 0,
        **shared,
    )


def _note_silent(
    state: NodeState, exchange: NewsExchange, now_s: float
) -> None:
    heard_ids = {peer.node_id for peer in iter_heard(state.members, now_s)}
    for node_id in list(state.members.by_id):
        if node_id not in heard_ids and node_id not in exchange.silent_ids:
            exchange.silent_ids.add(node_id)
            forget_loads(state.told_loads, node_id)
            state.log.write(EventCode.member_silent, member=node_id)
