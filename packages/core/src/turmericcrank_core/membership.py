"""Cluster membership: liveness, client addresses and ranks of the nodes.

A node receives heartbeats directly from the nodes of its own cell. It
learns of the nodes of other cells by gossip. Gossip carries the age of the
last heartbeat, so a failed node times out on every node.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

__all__ = (
    'Membership',
    'Peer',
    'expire_peers',
    'iter_alive',
    'iter_recently_joined',
    'list_client_addresses',
    'plan_member_rank',
    'record_peer',
    'record_relayed_peer',
)

_NEVER_S = float('-inf')
_HEARTBEAT_TIMEOUT_S = 1.9
_EXPIRY_S = 60
_JOIN_PERIOD_S = 3
_MIN_LOCAL_NODES = 2


@dataclass(slots=True, frozen=True)
class Peer:
    """State of another node, as it reports it.

    Attributes:
        node_id: Id of the node.
        incarnation: Random id of the node's process since its start.
        data_centre: Data centre of the node.
        peer_address: Address for messages from other nodes.
        client_address: Address for client requests.
        is_ready: Whether it accepts clients.
        last_seen_s: Time of its last heartbeat, direct or by gossip, in
            seconds.
        alive_since_s: Time since which it has been alive without a gap, in
            seconds.
        last_direct_s: Time of its last direct heartbeat to this node, in
            seconds.
    """

    node_id: str
    incarnation: str
    data_centre: str
    peer_address: str
    client_address: str
    is_ready: bool
    last_seen_s: float
    alive_since_s: float = 0
    last_direct_s: float = _NEVER_S


@dataclass(slots=True)
class Membership:
    """Membership as seen by this node.

    Attributes:
        by_id: Peers that have not expired, by id.
        cell_peer_ids: Ids of the peers in this node's cell; None while all
            nodes are one cell.
        gossip_interval_s: Longest interval between two gossip messages about
            another cell, in seconds.
    """

    by_id: dict[str, Peer] = field(default_factory=dict)
    cell_peer_ids: frozenset[str] | None = None
    gossip_interval_s: float = 0


def record_peer(members: Membership, peer: Peer) -> bool:
    """Record a direct heartbeat; return whether the peer has just joined.

    A peer joins when it is first seen, after a restart, and when its
    heartbeats resume after a timeout.
    """
    previous = members.by_id.get(peer.node_id)
    has_joined = previous is None or _is_restart_or_gap(previous, peer)
    alive_since_s = peer.last_seen_s if has_joined else previous.alive_since_s
    members.by_id[peer.node_id] = replace(
        peer, alive_since_s=alive_since_s, last_direct_s=peer.last_seen_s
    )
    return has_joined


def record_relayed_peer(members: Membership, peer: Peer) -> None:
    """Record the state of a peer from the gossip of another node.

    Gossip about a peer of this cell is ignored once the peer has sent direct
    heartbeats, so a peer whose direct heartbeats stop times out.
    """
    previous = members.by_id.get(peer.node_id)
    if previous is None:
        members.by_id[peer.node_id] = replace(
            peer, alive_since_s=peer.last_seen_s
        )
        return
    is_observed_directly = previous.last_direct_s > _NEVER_S and _is_cell_peer(
        members, previous
    )
    if is_observed_directly or previous.last_seen_s >= peer.last_seen_s:
        return
    is_gap = peer.last_seen_s - previous.last_seen_s > _compute_timeout_s(
        members, previous
    )
    alive_since_s = peer.last_seen_s if is_gap else previous.alive_since_s
    members.by_id[peer.node_id] = replace(
        peer,
        incarnation=previous.incarnation,
        alive_since_s=alive_since_s,
        last_direct_s=previous.last_direct_s,
    )


def expire_peers(members: Membership, now_s: float) -> list[Peer]:
    """Remove and return the peers that have been silent for too long."""
    expired = [
        peer
        for peer in members.by_id.values()
        if now_s - peer.last_seen_s > _EXPIRY_S
    ]
    for peer in expired:
        members.by_id.pop(peer.node_id)
    return expired


def iter_alive(members: Membership, now_s: float) -> Iterator[Peer]:
    """Yield the peers with a recent heartbeat."""
    return (
        peer
        for peer in members.by_id.values()
        if now_s - peer.last_seen_s <= _compute_timeout_s(members, peer)
    )


def iter_recently_joined(members: Membership, now_s: float) -> Iterator[Peer]:
    """Yield recently joined peers, which others may not know yet."""
    return (
        peer
        for peer in iter_alive(members, now_s)
        if now_s - peer.alive_since_s <= _JOIN_PERIOD_S
    )


def plan_member_rank(members: Membership, node_id: str, now_s: float) -> int:
    """Return the rank of this node among the live nodes of its cell, from 0."""
    return sum(
        peer.node_id < node_id
        for peer in iter_alive(members, now_s)
        if _is_cell_peer(members, peer)
    )


def list_client_addresses(
    members: Membership, own: Peer, data_centre: str, now_s: float
) -> list[str]:
    """List the addresses for clients of a data centre.

    Only nodes of that data centre are listed when it has enough of them. A
    node that does not accept clients lists the others. When no node is
    known to accept clients, all live peers are listed; without these, all
    known peers; without any, only this node.
    """
    ready = [peer for peer in iter_alive(members, now_s) if peer.is_ready]
    if own.is_ready:
        ready.append(own)
    local = [peer for peer in ready if peer.data_centre == data_centre]
    chosen = local if len(local) >= _MIN_LOCAL_NODES else ready
    if not chosen:
        alive = list(iter_alive(members, now_s))
        chosen = alive or list(members.by_id.values())
    return sorted(peer.client_address for peer in chosen or [own])


def _is_cell_peer(members: Membership, peer: Peer) -> bool:
    return (
        members.cell_peer_ids is None or peer.node_id in members.cell_peer_ids
    )


def _compute_timeout_s(members: Membership, peer: Peer) -> float:
    """Return the heartbeat timeout of a peer, in seconds.

    It is longer for a peer whose last heartbeat was received by gossip.
    """
    if peer.last_direct_s >= peer.last_seen_s:
        return _HEARTBEAT_TIMEOUT_S
    return _HEARTBEAT_TIMEOUT_S + members.gossip_interval_s


def _is_restart_or_gap(previous: Peer, peer: Peer) -> bool:
    """Return whether a peer has restarted or its heartbeat had timed out."""
    if previous.incarnation != peer.incarnation:
        return True
    return peer.last_seen_s - previous.last_seen_s > _HEARTBEAT_TIMEOUT_S
