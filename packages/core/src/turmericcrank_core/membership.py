"""Knows the other nodes: who is heard, who takes clients, and the ranks."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

__all__ = (
    'Members',
    'Peer',
    'expire_peers',
    'iter_heard',
    'iter_newcomers',
    'list_client_addresses',
    'list_strangers',
    'note_peer',
    'plan_rank',
)

_HEARD_S = 1.9
_KEPT_S = 60
_NEW_S = 3
_LOCAL_ENOUGH = 2


@dataclass(slots=True, frozen=True)
class Peer:
    """What another node says of itself.

    Attributes:
        node_id: Its name.
        incarnation: Random name of this start of it.
        data_centre: Where it runs.
        peer_address: Where it hears its peers.
        client_address: Where it serves clients.
        is_ready: Whether it takes clients.
        heard_s: When it was last heard, in seconds.
        since_s: Since when it has been heard without a break, in seconds.
    """

    node_id: str
    incarnation: str
    data_centre: str
    peer_address: str
    client_address: str
    is_ready: bool
    heard_s: float
    since_s: float = 0


@dataclass(slots=True)
class Members:
    """The other nodes by name."""

    by_id: dict[str, Peer] = field(default_factory=dict)


def note_peer(members: Members, peer: Peer) -> bool:
    """Take what a peer says; tell whether it was not heard before."""
    before = members.by_id.get(peer.node_id)
    is_new = before is None or _is_break(before, peer)
    since_s = peer.heard_s if is_new else before.since_s
    members.by_id[peer.node_id] = replace(peer, since_s=since_s)
    return is_new


def expire_peers(members: Members, now_s: float) -> list[Peer]:
    """Forget and give the peers that have been silent for very long."""
    gone = [
        peer
        for peer in members.by_id.values()
        if now_s - peer.heard_s > _KEPT_S
    ]
    for peer in gone:
        members.by_id.pop(peer.node_id)
    return gone


def iter_heard(members: Members, now_s: float) -> Iterator[Peer]:
    """Yield the peers that were heard just now."""
    return (
        peer
        for peer in members.by_id.values()
        if now_s - peer.heard_s <= _HEARD_S
    )


def iter_newcomers(members: Members, now_s: float) -> Iterator[Peer]:
    """Yield the peers that others may not have heard yet."""
    return (
        peer
        for peer in iter_heard(members, now_s)
        if now_s - peer.since_s <= _NEW_S
    )


def list_strangers(
    members: Members, node_id: str, told: Iterable[tuple[str, str]]
) -> list[str]:
    """List the addresses of nodes that a peer has told of.

    Args:
        members: The nodes that are known.
        node_id: This node.
        told: Names and peer addresses.
    """
    return [
        address
        for name, address in told
        if name != node_id and name not in members.by_id
    ]


def plan_rank(members: Members, node_id: str, now_s: float) -> int:
    """Give the place of this node among those that it hears, from 0."""
    return sum(peer.node_id < node_id for peer in iter_heard(members, now_s))


def list_client_addresses(
    members: Members, own: Peer, data_centre: str, now_s: float
) -> list[str]:
    """List where clients of a data centre may connect.

    The nodes of the data centre come alone when there are enough of them.
    A node that takes no clients names the others; when nobody is known to
    take clients, everyone who is heard is named.
    """
    ready = [peer for peer in iter_heard(members, now_s) if peer.is_ready]
    if own.is_ready:
        ready.append(own)
    local = [peer for peer in ready if peer.data_centre == data_centre]
    chosen = local if len(local) >= _LOCAL_ENOUGH else ready
    if not chosen:
        heard = list(iter_heard(members, now_s))
        chosen = heard or list(members.by_id.values())
    return sorted(peer.client_address for peer in chosen or [own])


def _is_break(before: Peer, peer: Peer) -> bool:
    """Tell whether a peer has started anew or was silent."""
    if before.incarnation != peer.incarnation:
        return True
    return peer.heard_s - before.heard_s > _HEARD_S
