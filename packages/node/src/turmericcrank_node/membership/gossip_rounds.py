"""Plans gossip rounds and processes received messages, without I/O."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from turmericcrank_core.cluster_clock import read_cluster_clock_s
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.gossip_topology import (
    GossipPlan,
    plan_digest_interval_s,
    plan_gossip,
)
from turmericcrank_core.membership import Peer, expire_peers, iter_alive
from turmericcrank_core.peer_loads import remove_peer_loads
from turmericcrank_core.version_choice import expire_sessions

from turmericcrank_node.membership.gossip_fields import (
    ROUND_INTERVAL_S,
    Receiver,
    expire_gossip,
    make_cell_fields,
    make_remote_fields,
    make_staleness_rows,
    mark_digests_forwarded,
    take_pages,
    take_small_pages,
)
from turmericcrank_node.membership.gossip_merge import merge_message
from turmericcrank_node.membership.gossip_message import GossipMessage
from turmericcrank_node.membership.limit_shares import refresh_sharing_nodes
from turmericcrank_node.state.node_state import NodeState, describe_self
from turmericcrank_node.upstreams.crash_detection import judge_crashes

__all__ = (
    'GossipState',
    'is_round_due',
    'iter_page_messages',
    'iter_round_messages',
    'make_join_message',
    'plan_round_interval_s',
    'receive_message',
)

_BRIDGE_ROUND_INTERVAL_S = 0.4
_MIN_PAGES_S = 0.2
# Slightly shorter than the round interval, since a change can start a round
# early.
_COUNTS_INTERVAL_S = 0.6
_FIRST_CONTACT_S = 0.85
_MAX_SESSION_AGE_S = 20
# A node whose rounds pause for longer was suspended, or may have been
# forgotten by others.
_MAX_PAUSE_S = 4


@dataclass(slots=True)
class LastMessage:
    """Metadata of the newest message from one peer.

    Attributes:
        sent_s: When it was sent, on the peer's clock, in seconds.
        received_s: When it was received, on this node's clock, in seconds.
        incarnation: Incarnation of the peer that sent it.
        is_first_contact: Whether the peer had not yet received a message
            from this node when it sent this one.
        changes: Version of the last change of each table that the peer had
            applied.
    """

    sent_s: float
    received_s: float
    incarnation: str
    is_first_contact: bool
    changes: tuple[int, int]


@dataclass(slots=True)
class GossipState:
    """State of the gossip protocol at one node.

    Attributes:
        last_message_by_id: Newest message of each peer.
        silent_ids: Peers that were logged as unresponsive.
        digest_sent_s: When other cells were last sent a digest, in seconds.
        counts_sent_s: When cell peers were last sent counts, in seconds.
        round_s: When the last round began, in seconds.
    """

    last_message_by_id: dict[str, LastMessage] = field(default_factory=dict)
    silent_ids: set[str] = field(default_factory=set)
    digest_sent_s: float = 0
    counts_sent_s: float = 0
    round_s: float = 0


def iter_round_messages(
    state: NodeState, gossip: GossipState, now_s: float
) -> Iterator[tuple[str, GossipMessage]]:
    """Yield the messages of one gossip round, each with its address.

    The receivers are bridge peers in other cells, nodes that have just made
    first contact, and cell peers. Large changes are left to
    ``iter_page_messages``, so that a round stays short on any link.
    """
    if now_s - gossip.round_s > _MAX_PAUSE_S:
        state.joined_s = now_s
    gossip.round_s = now_s
    refresh_sharing_nodes(state)
    _expire_state(state, gossip, now_s)
    judge_crashes(state)
    plan = plan_gossip(state.members, describe_self(state), now_s)
    _apply_plan(state, plan)
    has_counts = now_s - gossip.counts_sent_s >= _COUNTS_INTERVAL_S
    if has_counts:
        gossip.counts_sent_s = now_s
    cell_fields = make_cell_fields(state, now_s, has_counts)
    mark_digests_forwarded(state)
    remote_fields = _make_remote_fields(state, gossip, plan, has_counts, now_s)
    # Other cells first, as the receivers still have to forward these.
    for peer in _list_remote_peers(state, gossip, plan, now_s):
        yield _make_peer_message(state, gossip, peer, remote_fields, now_s)
    for cell_peer in plan.cell_peers:
        yield _make_peer_message(state, gossip, cell_peer, cell_fields, now_s)


def _make_peer_message(
    state: NodeState,
    gossip: GossipState,
    peer: Peer,
    shared: dict[str, Any],
    now_s: float,
) -> tuple[str, GossipMessage]:
    """Make the message to one peer, with the small changes it is missing."""
    receiver = _make_receiver(state, gossip, peer)
    pages = take_small_pages(state, receiver, now_s)
    fields = {**shared, 'pages': pages}
    return peer.peer_address, _build_message(state, gossip, peer, fields, now_s)


def iter_page_messages(
    state: NodeState, gossip: GossipState, read_now_s: Callable[[], float]
) -> Iterator[tuple[str, GossipMessage]]:
    """Yield messages with the changes that peers are still missing.

    Each message comes with its address and is built lazily. A caller that
    stops early can iterate again later to get the changes not sent so far.
    """
    plan = state.gossip_plan
    for peer in (*plan.bridge_peers, *plan.cell_peers):
        receiver = _make_receiver(state, gossip, peer)
        now_s = read_now_s()
        pages = take_pages(state, receiver, now_s)
        while pages:
            fields = {'cell': plan.cell, 'pages': pages}
            fields['proofs'] = make_staleness_rows(state, now_s)
            message = _build_message(state, gossip, peer, fields, now_s)
            yield peer.peer_address, message
            now_s = read_now_s()
            pages = take_pages(state, receiver, now_s)


def _make_remote_fields(
    state: NodeState,
    gossip: GossipState,
    plan: GossipPlan,
    has_counts: bool,
    now_s: float,
) -> dict[str, Any]:
    is_due = now_s - gossip.digest_sent_s >= plan_digest_interval_s(
        plan.n_cells
    )
    if is_due:
        gossip.digest_sent_s = now_s
    return make_remote_fields(state, now_s, has_counts, is_due)


def plan_round_interval_s(state: NodeState) -> float:
    """Return the interval until the next round, in seconds.

    Bridge nodes between cells use a shorter one, to forward changes sooner.
    """
    return (
        _BRIDGE_ROUND_INTERVAL_S
        if state.gossip_plan.bridge_peers
        else ROUND_INTERVAL_S
    )


def is_round_due(
    now_s: float, next_round_s: float, pages_began_s: float, is_requested: bool
) -> bool:
    """Return whether to start the next round although changes are pending.

    A requested early round waits until these changes have been sent for a
    minimum time, so that a series of such rounds does not starve them.

    Args:
        now_s: Current time, in seconds.
        next_round_s: When the next round is due, in seconds.
        pages_began_s: When sending of these changes began, in seconds.
        is_requested: Whether an early round was requested.
    """
    if now_s >= next_round_s:
        return True
    return is_requested and now_s >= pages_began_s + _MIN_PAGES_S


def make_join_message(
    state: NodeState, gossip: GossipState, now_s: float
) -> GossipMessage:
    """Make the message to a node of which only the address is known."""
    unknown_peer = Peer('', '', '', '', '', is_ready=False, last_seen_s=0)
    cell_fields = make_cell_fields(state, now_s, has_counts=False)
    return _build_message(state, gossip, unknown_peer, cell_fields, now_s)


def receive_message(
    state: NodeState, gossip: GossipState, message: GossipMessage, now_s: float
) -> None:
    """Process one message from a peer."""
    gossip.last_message_by_id[message.node_id] = LastMessage(
        message.sent_s,
        now_s,
        message.incarnation,
        message.echo_s < 0,
        tuple(change for _, change, *_rest in message.proofs),
    )
    if merge_message(state, message, now_s):
        gossip.silent_ids.discard(message.node_id)


def _expire_state(state: NodeState, gossip: GossipState, now_s: float) -> None:
    expire_sessions(state.sessions, now_s - _MAX_SESSION_AGE_S)
    expire_gossip(state, now_s)
    for expired in expire_peers(state.members, now_s):
        gossip.last_message_by_id.pop(expired.node_id, None)
        remove_peer_loads(state.peer_loads, expired.node_id)
    _record_silent_peers(state, gossip, now_s)


def _apply_plan(state: NodeState, plan: GossipPlan) -> None:
    has_cells = bool(plan.cell)
    cell_peer_ids = frozenset(peer.node_id for peer in plan.cell_peers)
    state.members.cell_peer_ids = cell_peer_ids if has_cells else None
    state.members.gossip_interval_s = (
        plan_digest_interval_s(plan.n_cells) * has_cells
    )
    if plan.cell != state.gossip_plan.cell:
        state.log.write(
            EventCode.cell_changed,
            cell=plan.cell,
            before=state.gossip_plan.cell,
            mates=len(plan.cell_peers),
            cells=plan.n_cells,
        )
    state.gossip_plan = plan


def _list_remote_peers(
    state: NodeState, gossip: GossipState, plan: GossipPlan, now_s: float
) -> list[Peer]:
    """List the bridge peers and the peers that just made first contact."""
    if not plan.cell:
        return []
    cell_peer_ids = {peer.node_id for peer in plan.cell_peers}
    remote_by_id = {peer.node_id: peer for peer in plan.bridge_peers}
    for node_id, last in gossip.last_message_by_id.items():
        is_recent = now_s - last.received_s <= _FIRST_CONTACT_S
        if is_recent and last.is_first_contact and node_id not in cell_peer_ids:
            remote_by_id[node_id] = state.members.by_id[node_id]
    return list(remote_by_id.values())


def _make_receiver(
    state: NodeState, gossip: GossipState, peer: Peer
) -> Receiver:
    cell_peer_ids = state.members.cell_peer_ids
    is_cell_peer = cell_peer_ids is None or peer.node_id in cell_peer_ids
    last = gossip.last_message_by_id.get(peer.node_id)
    if last is None:
        return Receiver(peer.node_id, is_cell_peer)
    return Receiver(peer.node_id, is_cell_peer, last.changes, last.received_s)


def _build_message(
    state: NodeState,
    gossip: GossipState,
    peer: Peer,
    shared: dict[str, Any],
    now_s: float,
) -> GossipMessage:
    """Build a message from given fields, the sender's and the echo's."""
    last = gossip.last_message_by_id.get(peer.node_id)
    own = describe_self(state)
    return GossipMessage(
        node_id=own.node_id,
        incarnation=own.incarnation,
        data_centre=own.data_centre,
        peer_address=own.peer_address,
        client_address=own.client_address,
        is_ready=own.is_ready,
        sent_s=now_s,
        cluster_s=read_cluster_clock_s(state.cluster_clock, now_s),
        echo_s=last.sent_s if last else -1,
        echo_incarnation=last.incarnation if last else '',
        echo_held_s=now_s - last.received_s if last else 0,
        **shared,
    )


def _record_silent_peers(
    state: NodeState, gossip: GossipState, now_s: float
) -> None:
    alive_ids = {peer.node_id for peer in iter_alive(state.members, now_s)}
    for node_id in list(state.members.by_id):
        if node_id not in alive_ids and node_id not in gossip.silent_ids:
            gossip.silent_ids.add(node_id)
            remove_peer_loads(state.peer_loads, node_id)
            state.log.write(EventCode.member_silent, member=node_id)
