"""Tells the other nodes what this one knows, and hears them.

Messages go out at a steady pace, and at once after a change that others
wait for. A peer is asked by its own message being echoed to it, so that
the age of a proof counts from a moment that the receiver knows.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.membership import (
    Peer,
    expire_peers,
    iter_heard,
    iter_newcomers,
    list_strangers,
)
from turmericcrank_core.network_address import split_address
from turmericcrank_core.proofs import (
    TableProof,
    proof_age_s,
)
from turmericcrank_core.rollout_phases import (
    RolloutState,
)
from turmericcrank_core.version_choice import (
    expire_sessions,
    iter_recent_sessions,
)

from turmericcrank_node.control.version_evidence import (
    iter_own_evidence,
)
from turmericcrank_node.membership.news_taking import take_news
from turmericcrank_node.membership.node_news import (
    NodeNews,
    pack_news,
    unpack_news,
)
from turmericcrank_node.platform_port import StoreUnavailable
from turmericcrank_node.state.node_state import (
    NodeState,
    ReadPage,
    describe_self,
    read_boot_s,
)

__all__ = ('serve_peer_news',)

_PACE_S = 0.8
_REST_S = 0.05
_REPEAT_S = 1.8
_MAX_DATAGRAM = 65000
_JOIN_PAUSE_S = 1
_MAX_SESSION_AGE_S = 20
_LOST_MEMBERS_S = 3
_MS = 1000


@dataclass(slots=True)
class Heard:
    """The newest message of one peer.

    Attributes:
        sent_s: When it was sent, on the peer's clock.
        received_s: When it was read, on this node's clock.
        incarnation: Start of the peer that sent it.
    """

    sent_s: float
    received_s: float
    incarnation: str


@dataclass(slots=True)
class NewsExchange:
    """State of the exchange of messages.

    Attributes:
        sock: The datagram socket.
        heard_by_id: Newest message of each peer.
        silent_ids: Peers that were noted as silent.
    """

    sock: Any
    heard_by_id: dict[str, Heard] = field(default_factory=dict)
    silent_ids: set[str] = field(default_factory=set)


async def serve_peer_news(state: NodeState) -> None:
    """Exchange messages with the other nodes for ever."""
    sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
    host, port = split_address(state.settings.addresses.peer)
    await sock.bind((host, port))
    exchange = NewsExchange(sock)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_receive, state, exchange)
        nursery.start_soon(_tell, state, exchange)
        nursery.start_soon(_join, state, exchange)


async def _tell(state: NodeState, exchange: NewsExchange) -> None:
    while True:
        with trio.move_on_after(_PACE_S):
            await state.news_wanted.wait()
        state.news_wanted = trio.Event()
        now_s = read_boot_s()
        expire_sessions(state.sessions, now_s - _MAX_SESSION_AGE_S)
        _expire_crashes(state, now_s)
        for gone in expire_peers(state.members, now_s):
            exchange.heard_by_id.pop(gone.node_id, None)
            state.told_running_by_node.pop(gone.node_id, None)
        _note_silent(state, exchange, now_s)
        shared = _describe(state, now_s)
        for peer in list(state.members.by_id.values()):
            await _send(state, exchange, peer, shared)
        await trio.sleep(_REST_S)


async def _join(state: NodeState, exchange: NewsExchange) -> None:
    """Find the other nodes: by the seeds, and by the store's list."""
    is_listed = False
    while True:
        for address in _list_silent_seeds(state):
            await _send_to(state, exchange, address)
        if not is_listed:
            written = await state.platform.store.write_member(
                state.settings.node_id, state.settings.addresses.peer
            )
            is_listed = not isinstance(written, StoreUnavailable)
        if not any(iter_heard(state.members, read_boot_s())):
            await _greet_listed(state, exchange)
            await trio.sleep(_LOST_MEMBERS_S - _JOIN_PAUSE_S)
        await trio.sleep(_JOIN_PAUSE_S)


def _list_silent_seeds(state: NodeState) -> list[str]:
    """List the seeds that are not heard; one may have started later."""
    heard = iter_heard(state.members, read_boot_s())
    known = {peer.peer_address for peer in heard}
    known.add(state.settings.addresses.peer)
    return [
        address
        for address in state.settings.seed_addresses
        if address not in known
    ]


async def _greet_listed(state: NodeState, exchange: NewsExchange) -> None:
    found = await state.platform.store.read_members()
    if isinstance(found, StoreUnavailable):
        return
    for node_id, address in found.items():
        if node_id != state.settings.node_id:
            await _send_to(state, exchange, address)


async def _send_to(
    state: NodeState, exchange: NewsExchange, address: str
) -> None:
    peer = Peer('', '', '', address, '', is_ready=False, heard_s=0)
    await _send(state, exchange, peer, _describe(state, read_boot_s()))


async def _send(
    state: NodeState, exchange: NewsExchange, peer: Peer, shared: dict[str, Any]
) -> None:
    now_s = read_boot_s()
    heard = exchange.heard_by_id.get(peer.node_id)
    own = describe_self(state)
    news = NodeNews(
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
    raw = pack_news(news)
    if len(raw) > _MAX_DATAGRAM:
        state.log.write(EventCode.news_not_sent, detail='too large')
        return
    try:
        await exchange.sock.sendto(raw, split_address(peer.peer_address))
    except OSError as error:
        state.log.write(EventCode.news_not_sent, detail=repr(error))


def _describe(state: NodeState, now_s: float) -> dict[str, Any]:
    """Give what every peer is told alike."""
    return {
        'proofs': [
            _describe_proof(proof, now_s)
            for proof in (state.configuration_proof, state.upstream_proof)
        ],
        'running_by_id': {
            name: count for name, count in state.running_by_id.items() if count
        },
        'sessions': [
            [key, use.version, int((now_s - use.used_s) * _MS)]
            for key, use in iter_recent_sessions(
                state.sessions, now_s - _REPEAT_S
            )
        ],
        'tallies': [
            [upstream_id, tally.n_answers, tally.n_bad]
            for upstream_id, tally in state.outcomes.own_by_id.items()
            if tally.changed_s >= now_s - _REPEAT_S
        ],
        'evidence': list(_iter_evidence_rows(state, now_s - _REPEAT_S)),
        'newcomers': [
            [peer.node_id, peer.peer_address]
            for peer in _iter_introduced(state, now_s)
        ],
        'crashes': [
            [crash.upstream_id, crash.at_s, list(crash.fingerprints)]
            for crash in state.own_crashes
        ],
        'pages': [
            _describe_page(page)
            for page in state.read_pages
            if page.read_s >= now_s - _REPEAT_S
        ],
        'rollouts': [
            _describe_rollout(rollout, now_s)
            for rollout in state.rollouts_by_service.values()
        ],
    }


def _describe_proof(proof: TableProof, now_s: float) -> list[float]:
    if proof.proven_s is None:
        return [proof.change, -1]
    return [proof.change, proof_age_s(proof, now_s)]


def _iter_introduced(state: NodeState, now_s: float) -> Iterator[Peer]:
    """Yield newcomers and one peer at random, in case a message was lost."""
    yield from iter_newcomers(state.members, now_s)
    heard = list(iter_heard(state.members, now_s))
    if heard:
        yield state.random_source.choice(heard)


def _describe_page(page: ReadPage) -> list[Any]:
    rows = [[row.key, row.version, row.body] for row in page.page.rows]
    return [page.table_number, page.after, page.page.version, rows]


def _iter_evidence_rows(
    state: NodeState, since_s: float
) -> Iterator[list[Any]]:
    for (version_key, upstream_id), counts in iter_own_evidence(state):
        if counts.changed_s < since_s:
            continue
        yield [
            version_key,
            upstream_id,
            counts.n_answers,
            counts.n_errors,
            counts.n_slow,
        ]


def _describe_rollout(rollout: RolloutState, now_s: float) -> list[Any]:
    order = rollout.order
    return [
        order.service,
        order.version,
        order.duration_s,
        order.number,
        int(rollout.phase),
        now_s - rollout.began_s,
    ]


async def _receive(state: NodeState, exchange: NewsExchange) -> None:
    while True:
        try:
            raw, _sender = await exchange.sock.recvfrom(_MAX_DATAGRAM)
        except OSError:
            continue
        news = unpack_news(raw)
        if news is None or news.node_id == state.settings.node_id:
            continue
        now_s = read_boot_s()
        exchange.heard_by_id[news.node_id] = Heard(
            news.sent_s, now_s, news.incarnation
        )
        if take_news(state, news, now_s):
            exchange.silent_ids.discard(news.node_id)
        strangers = list_strangers(
            state.members, state.settings.node_id, news.newcomers
        )
        for address in strangers:
            await _send_to(state, exchange, address)


def _expire_crashes(state: NodeState, now_s: float) -> None:
    """Tell of a crash for as long as of all that is recent."""
    oldest_s = now_s + state.store_offset_s - _REPEAT_S
    state.own_crashes = [
        crash for crash in state.own_crashes if crash.at_s >= oldest_s
    ]


def _note_silent(
    state: NodeState, exchange: NewsExchange, now_s: float
) -> None:
    heard_ids = {peer.node_id for peer in iter_heard(state.members, now_s)}
    for node_id in list(state.members.by_id):
        if node_id not in heard_ids and node_id not in exchange.silent_ids:
            exchange.silent_ids.add(node_id)
            state.told_running_by_node.pop(node_id, None)
            state.log.write(EventCode.member_silent, member=node_id)
