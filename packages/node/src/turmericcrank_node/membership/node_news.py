"""The message by which nodes tell each other what they know.

It is one datagram, packed with msgpack. Counts in it only grow, times are
ages, and each message repeats what is recent, so a lost or repeated one
does no harm.
"""

from dataclasses import dataclass, field, fields
from typing import Any

import msgpack

__all__ = ('CellDigest', 'NodeNews', 'pack_news', 'unpack_news')

_FORMAT = 2


@dataclass(slots=True, frozen=True)
class CellDigest:
    """What one cell tells another, made by one node of it.

    Attributes:
        cell: Name of the cell.
        age_s: Time since it was made, in seconds.
        members: Nodes of the cell, as in a message.
        running_by_id: Requests in progress from the cell, by upstream.
        evidence: Version key, upstream and counts, summed over the cell.
    """

    cell: str
    age_s: float
    members: list[Any]
    running_by_id: dict[str, int]
    evidence: list[Any]


@dataclass(slots=True, frozen=True)
class NodeNews:
    """What one node tells another.

    Attributes:
        node_id: Who tells.
        incarnation: Random name of this start of it.
        data_centre: Where it runs.
        peer_address: Where it hears its peers.
        client_address: Where it serves clients.
        is_ready: Whether it takes clients.
        sent_s: When it was sent, on the sender's clock.
        echo_s: ``sent_s`` of the newest message from the receiver; negative
            for none.
        echo_incarnation: Start of the receiver that sent that message.
        echo_held_s: How long the sender has had that message.
        proofs: For each table that is followed: version of the last change
            applied, and the age of the proof in seconds; negative for none.
        running_by_id: Requests in progress, by upstream.
        sessions: Session keys with version and age in milliseconds.
        tallies: Upstream, answers and bad answers since the start.
        evidence: Version key, upstream, answers, errors and slow answers
            since the start.
        rollouts: Service, version, seconds, number of the order, phase and
            age of the order in seconds.
        members: Nodes that the receiver may not know: name, data centre,
            peer address, client address, readiness, and age in milliseconds
            of the last sign of life.
        crashes: Upstreams that have crashed of late: name, time on the
            store's clock in seconds, fingerprints of the requests there.
        pages: Changes that the sender has read from the store lately:
            number of the table, versions before and after, rows of key,
            version and body.
        cell: Cell of the sender; empty while all nodes are one.
        digests: What whole cells know.
    """

    node_id: str
    incarnation: str
    data_centre: str
    peer_address: str
    client_address: str
    is_ready: bool
    sent_s: float
    echo_s: float
    echo_incarnation: str
    echo_held_s: float
    proofs: list[Any] = field(default_factory=list)
    running_by_id: dict[str, int] = field(default_factory=dict)
    sessions: list[Any] = field(default_factory=list)
    tallies: list[Any] = field(default_factory=list)
    evidence: list[Any] = field(default_factory=list)
    rollouts: list[Any] = field(default_factory=list)
    members: list[Any] = field(default_factory=list)
    crashes: list[Any] = field(default_factory=list)
    pages: list[Any] = field(default_factory=list)
    cell: str = ''
    digests: list[CellDigest] = field(default_factory=list)


_NAMES = tuple(part.name for part in fields(NodeNews))
_DIGEST_NAMES = tuple(part.name for part in fields(CellDigest))


def pack_news(news: NodeNews) -> bytes:
    """Pack one message."""
    parts = [getattr(news, name) for name in _NAMES]
    parts[-1] = [
        [getattr(digest, name) for name in _DIGEST_NAMES]
        for digest in news.digests
    ]
    return bytes(msgpack.packb([_FORMAT, *parts]))


def unpack_news(raw: bytes) -> NodeNews | None:
    """Build a message from its bytes; None when it is not one."""
    try:
        unpacked = msgpack.unpackb(raw)
    except (ValueError, msgpack.UnpackException):
        return None
    if not isinstance(unpacked, list) or len(unpacked) != len(_NAMES) + 1:
        return None
    number, *parts = unpacked
    if number != _FORMAT:
        return None
    parts[-1] = [CellDigest(*digest) for digest in parts[-1]]
    return NodeNews(*parts)
