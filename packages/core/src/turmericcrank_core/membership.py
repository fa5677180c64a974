"""Knows the other nodes: who is heard, who takes clients, and the ranks.

A node hears its mates directly. Of the nodes of other cells it is told by
others, with the age of what they know, so a node that is gone fades
everywhere.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

__all__ = (
    'Members',
    'Peer',
    'expire_peers',
    'iter_heard',
    'iter_newcomers',
    'list_client_addresses',
    'note_peer',
    'note_told_peer',
    'plan_rank',
)

_NEVER_S = float('-inf')
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
        heard_s: Its last sign of life, heard or told of, in seconds.
        since_s: Since when it has been heard without a break, in seconds.
        direct_s: When this node itself heard it last, in seconds.
    """

    node_id: str
    incarnation: str
    data_centre: str
    peer_address: str
    client_address: str
    is_ready: bool
    heard_s: float
    since_s: float = 0
    direct_s: float = _NEVER_S


@dataclass(slots=True)
class Members:
    """The other nodes.

    Attributes:
        by_id: All that were known of late, by name.
        mate_ids: Those of this node's cell; None while all are one cell.
        told_pause_s: Longest pause between two tellings of another cell.
    """

    by_id: dict[str, Peer] = field(default_factory=dict)
    mate_ids: frozenset[str] | None = None
    told_pause_s: float = 0


def note_peer(members: Members, peer: Peer) -> bool:
    """Take what a peer says; tell whether it was not heard before."""
    before = members.by_id.get(peer.node_id)
    is_new = before is None or _is_break(before, peer)
    since_s = peer.heard_s if is_new else before.since_s
    members.by_id[peer.node_id] = replace(
        peer, since_s=since_s, direct_s=peer.heard_s
    )
    return is_new


def note_told_peer(members: Members, peer: Peer) -> None:
    """Take what another node has told of a peer.

    A mate that was heard itself is not believed to live because others say
    so.
    """
    before = members.by_id.get(peer.node_id)
    if before is None:
        members.by_id[peer.node_id] = replace(peer, since_s=peer.heard_s)
        return
    is_own_matter = before.direct_s > _NEVER_S and _is_mate(members, before)
    if is_own_matter or before.heard_s >= peer.heard_s:
        return
    is_break = peer.heard_s - before.heard_s > _plan_window_s(members, before)
    since_s = peer.heard_s if is_break else before.since_s
    members.by_id[peer.node_id] = replace(
        peer,
        incarnation=before.incarnation,
        since_s=since_s,
        direct_s=before.direct_s,
    )


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
        if now_s - peer.heard_s <= _plan_window_s(members, peer)
    )


def iter_newcomers(members: Members, now_s: float) -> Iterator[Peer]:
    """Yield the peers that others may not have heard yet."""
    return (
        peer
        for peer in iter_heard(members, now_s)
        if now_s - peer.since_s <= _NEW_S
    )


def plan_rank(members: Members, node_id: str, now_s: float) -> int:
    """Give the place of this node among the mates that it hears, from 0."""
    return sum(
        peer.node_id < node_id
        for peer in iter_heard(members, now_s)
        if _is_mate(members, peer)
    )


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


def _is_mate(members: Members, peer: Peer) -> bool:
    return members.mate_ids is None or peer.node_id in members.mate_ids


def _plan_window_s(members: Members, peer: Peer) -> float:
    """Plan for how long a sign of life counts, in seconds."""
    if peer.direct_s >= peer.heard_s:
        return _HEARD_S
    return _HEARD_S + members.told_pause_s


def _is_break(before: Peer, peer: Peer) -> bool:
    """Tell whether a peer has started anew or was silent."""
    if before.incarnation != peer.incarnation:
        return True
    return peer.heard_s - before.heard_s > _HEARD_S
