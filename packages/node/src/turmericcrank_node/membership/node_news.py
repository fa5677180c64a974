"""The message by which nodes tell each other what they know.

It is one datagram, packed as msgpack. Counts in it only grow, times are
ages, and what a lost one told is told again, so a lost or repeated one does
no harm. Bytes of another form are no message: each field is checked while it
is unpacked, so that nothing else has to expect a wrong type.
"""

import zlib
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

__all__ = (
    'CellDigest',
    'CellSummary',
    'CrashRow',
    'EvidenceRow',
    'MemberRow',
    'NodeNews',
    'PageRow',
    'RolloutRow',
    'StoreRow',
    'pack_news',
    'pack_rows',
    'pack_summary',
    'unpack_news',
    'unpack_rows',
    'unpack_summary',
)

_FORMAT = 6
_COMPRESSION_LEVEL = 1
_MAX_DECOMPRESSED_BYTES = 0x100000
_MAX_TABLE_NUMBER = 1
_MAX_PHASE_NUMBER = 4

_Count = Annotated[int, Meta(ge=0)]
MemberRow = tuple[str, str, str, str, bool, int]
EvidenceRow = tuple[str, str, _Count, _Count, _Count]
CrashRow = tuple[str, float, list[str]]
_TableNumber = Annotated[int, Meta(ge=0, le=_MAX_TABLE_NUMBER)]
StoreRow = tuple[str, int, bytes | None]
_StoreRows = Annotated[list[StoreRow], Meta(min_length=1)]
PageRow = tuple[_TableNumber, int, int, bytes]
_PhaseNumber = Annotated[int, Meta(ge=0, le=_MAX_PHASE_NUMBER)]
RolloutRow = tuple[str, str, float, int, _PhaseNumber, float]


class CellSummary(msgspec.Struct, array_like=True, frozen=True):
    """What one cell knows together.

    Attributes:
        members: Nodes of the cell, as in a message.
        running_by_id: Requests in progress from the cell, by upstream.
        evidence: Version key, upstream and counts, summed over the cell.
    """

    members: list[MemberRow]
    running_by_id: dict[str, _Count]
    evidence: list[EvidenceRow]


class CellDigest(msgspec.Struct, array_like=True, frozen=True):
    """What one cell tells another, made by one node of it.

    It is packed once and passed on as it is.

    Attributes:
        cell: Name of the cell.
        age_s: Time since it was made, in seconds.
        packed: What the cell knows, packed.
    """

    cell: str
    age_s: float
    packed: bytes


class NodeNews(msgspec.Struct, array_like=True, frozen=True):
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
        running_by_id: Requests in progress, by upstream; None where the
            message does not tell.
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
            number of the table, versions before and after, packed rows.
        leavers: Name and start of each upstream that is listed and has said
            that it leaves.
        cell: Cell of the sender; empty while all nodes are one.
        digests: What whole cells know.
        format_number: Form of the message; it changes with the fields.
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
    proofs: Annotated[list[tuple[int, float]], Meta(min_length=2, max_length=2)]
    running_by_id: dict[str, _Count] | None = None
    sessions: list[tuple[str, str, int]] = []
    tallies: list[tuple[str, _Count, _Count]] = []
    evidence: list[EvidenceRow] = []
    rollouts: list[RolloutRow] = []
    members: list[MemberRow] = []
    crashes: list[CrashRow] = []
    pages: list[PageRow] = []
    leavers: list[tuple[str, int]] = []
    cell: str = ''
    digests: list[CellDigest] = []
    format_number: Annotated[int, Meta(ge=_FORMAT, le=_FORMAT)] = _FORMAT


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(NodeNews)
_ROWS_DECODER = msgspec.msgpack.Decoder(_StoreRows)
_SUMMARY_DECODER = msgspec.msgpack.Decoder(CellSummary)
_Decoded = TypeVar('_Decoded')


def pack_news(news: NodeNews) -> bytes:
    """Pack one message."""
    return _ENCODER.encode(news)


def unpack_news(raw: bytes) -> NodeNews | None:
    """Build a message from its bytes; None when it is not one."""
    try:
        return _DECODER.decode(raw)
    except (ValueError, RecursionError):
        return None


def pack_rows(rows: list[StoreRow]) -> bytes:
    """Pack rows of the store; names repeat in them, so they are compressed."""
    return _compress(rows)


def unpack_rows(raw: bytes) -> list[StoreRow]:
    """Unpack rows; none when the bytes are no rows, or far too many."""
    return _decompress(raw, _ROWS_DECODER) or []


def pack_summary(summary: CellSummary) -> bytes:
    """Pack what a cell knows."""
    return _compress(summary)


def unpack_summary(raw: bytes) -> CellSummary | None:
    """Unpack what a cell knows; None when the bytes are of another form."""
    return _decompress(raw, _SUMMARY_DECODER)


def _compress(content: Any) -> bytes:
    return zlib.compress(_ENCODER.encode(content), _COMPRESSION_LEVEL)


def _decompress(
    raw: bytes, decoder: msgspec.msgpack.Decoder[_Decoded]
) -> _Decoded | None:
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(raw, _MAX_DECOMPRESSED_BYTES)
        return decoder.decode(packed) if decompressor.eof else None
    except (ValueError, RecursionError, zlib.error):
        return None
