"""Exchanges gossip messages with the other nodes over UDP.

Rounds are sent at a fixed interval, and early when a change must reach the
other nodes soon. Each message echoes the send time of the receiver's last
message, so the receiver can compute the staleness of the sender's tables on
its own clock.
"""

from dataclasses import dataclass
from typing import Any

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.membership import iter_alive, plan_member_rank
from turmericcrank_core.network_address import split_address
from turmericcrank_core.send_rate_limit import (
    SendRateLimiter,
    plan_send_delay_s,
    record_sent,
)
from turmericcrank_core.store_backoff import should_register

from turmericcrank_node.membership.gossip_message import (
    GossipMessage,
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
from turmericcrank_node.platform_port import StoreUnavailable
from turmericcrank_node.state.node_state import NodeState, read_boottime_s

__all__ = ('receive_datagram', 'serve_gossip')

_AFTER_ROUND_DELAY_S = 0.05
_MAX_DATAGRAM = 65000
_JOIN_INTERVAL_S = 1
_ISOLATED_INTERVAL_S = 3
_NOT_REGISTERED = -1


@dataclass(slots=True)
class _GossipSender:
    """State shared by the tasks that send messages."""

    state: NodeState
    gossip: GossipState
    sock: Any
    rate_limiter: SendRateLimiter


async def serve_gossip(state: NodeState) -> None:
    """Exchange gossip with the other nodes until cancelled."""
    sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
    host, port = split_address(state.settings.addresses.peer)
    await sock.bind((host, port))
    gossip = GossipState()
    rate_limiter = SendRateLimiter(state.settings.link_bytes_per_s)
    sender = _GossipSender(state, gossip, sock, rate_limiter)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_receive, state, gossip, sock)
        nursery.start_soon(_serve_rounds, sender)
        nursery.start_soon(_serve_join, sender)


async def _serve_rounds(sender: _GossipSender) -> None:
    state = sender.state
    while True:
        began_s = trio.current_time()
        next_round_s = began_s + plan_round_interval_s(state)
        state.gossip_requested = trio.Event()
        for address, message in iter_round_messages(
            state, sender.gossip, read_boottime_s()
        ):
            await _send(sender, address, message)
        await trio.sleep(_AFTER_ROUND_DELAY_S)
        await _send_pages(sender, next_round_s)
        with trio.move_on_at(next_round_s):
            await state.gossip_requested.wait()


async def _send_pages(sender: _GossipSender, next_round_s: float) -> None:
    """Send large changes until the next round is due."""
    state = sender.state
    began_s = trio.current_time()
    for address, message in iter_page_messages(
        state, sender.gossip, read_boottime_s
    ):
        await _send(sender, address, message)
        is_requested = state.gossip_requested.is_set()
        if is_round_due(
            trio.current_time(), next_round_s, began_s, is_requested
        ):
            return


async def _serve_join(sender: _GossipSender) -> None:
    """Contact the seeds, and the registered nodes while no peer responds.

    This node registers itself in the store if its rank requires it, and again
    after the store returned from a copy that may be older than its row.
    """
    state = sender.state
    registered_era = _NOT_REGISTERED
    for address in _list_silent_seeds(state):
        await _send_join_message(sender, address)
    # Isolation and rank are unknown until the peers have had time to respond.
    await trio.sleep(_JOIN_INTERVAL_S)
    while True:
        for address in _list_silent_seeds(state):
            await _send_join_message(sender, address)
        now_s = read_boottime_s()
        is_alone = not any(iter_alive(state.members, now_s))
        rank = plan_member_rank(state.members, state.settings.node_id, now_s)
        era = _find_store_era(state)
        if era > registered_era and should_register(rank, is_alone):
            written = await state.platform.store.write_node(
                state.settings.node_id, state.settings.addresses.peer
            )
            if not isinstance(written, StoreUnavailable):
                registered_era = era
        if is_alone:
            await _contact_registered_members(sender)
            await trio.sleep(_ISOLATED_INTERVAL_S - _JOIN_INTERVAL_S)
        await trio.sleep(_JOIN_INTERVAL_S)


def _find_store_era(state: NodeState) -> int:
    """Return how often the store had returned from a copy when last read."""
    version = state.configuration_staleness.read_version
    return state.platform.find_era(max(0, version))


def _list_silent_seeds(state: NodeState) -> list[str]:
    """List the seeds that are not known as live; some may start later."""
    alive = iter_alive(state.members, read_boottime_s())
    known = {peer.peer_address for peer in alive}
    known.add(state.settings.addresses.peer)
    return [
        address
        for address in state.settings.seed_addresses
        if address not in known
    ]


async def _contact_registered_members(sender: _GossipSender) -> None:
    state = sender.state
    found = await state.platform.store.read_nodes()
    if isinstance(found, StoreUnavailable):
        return
    for node_id, address in found.items():
        if node_id != state.settings.node_id:
            await _send_join_message(sender, address)


async def _send_join_message(sender: _GossipSender, address: str) -> None:
    message = make_join_message(sender.state, sender.gossip, read_boottime_s())
    await _send(sender, address, message)


async def _send(
    sender: _GossipSender, address: str, message: GossipMessage
) -> None:
    """Send one message, then wait until the rate limit allows the next."""
    state = sender.state
    raw = pack_gossip(message)
    if len(raw) > _MAX_DATAGRAM:
        state.log.write(
            EventCode.news_not_sent, detail='message exceeds the datagram size'
        )
        return
    try:
        await sender.sock.sendto(raw, split_address(address))
    except OSError as error:
        state.log.write(EventCode.news_not_sent, detail=repr(error))
    else:
        state.metrics.gossip_bytes.inc(len(raw))
    record_sent(sender.rate_limiter, len(raw), trio.current_time())
    delay_s = plan_send_delay_s(sender.rate_limiter, trio.current_time())
    if delay_s:
        await trio.sleep(delay_s)


async def _receive(state: NodeState, gossip: GossipState, sock: Any) -> None:
    while True:
        try:
            raw, _sender = await sock.recvfrom(_MAX_DATAGRAM)
        except OSError:
            continue
        receive_datagram(state, gossip, raw)


def receive_datagram(state: NodeState, gossip: GossipState, raw: bytes) -> None:
    """Process one datagram; an invalid one must not terminate the process."""
    message = unpack_gossip(raw)
    if message is None:
        state.log.write(EventCode.news_rejected, n_bytes=len(raw))
        return
    if message.node_id == state.settings.node_id:
        return
    try:
        receive_message(state, gossip, message, read_boottime_s())
    except Exception as error:
        state.log.write(
            EventCode.internal_fault, sender=message.node_id, detail=repr(error)
        )
