"""Defines the gossip message that nodes exchange.

A message is one datagram, encoded with msgpack. Counts of responses only
grow, requests in progress replace the last reported ones, and the content of
a lost message is repeated, so a lost or duplicate message does no harm. Most
times are sent as ages, since the clocks of the nodes differ. Decoding
validates the type of each field and rejects malformed messages, so no other
code has to handle wrong types.
"""

import zlib
from typing import Annotated, Any, TypeVar

import msgspec
from msgspec import Meta

__all__ = (
    'BlockRow',
    'CellDigest',
    'CellSummary',
    'CrashRow',
    'EvidenceRow',
    'GossipMessage',
    'LimitRow',
    'MemberRow',
    'OutputRow',
    'PageRow',
    'ProofRow',
    'RolloutRow',
    'StoreRow',
    'pack_gossip',
    'pack_rows',
    'pack_summary',
    'unpack_gossip',
    'unpack_rows',
    'unpack_summary',
)

_FORMAT = 9
_COMPRESSION_LEVEL = 1
_MAX_DECOMPRESSED_BYTES = 0x100000
_MAX_TABLE_NUMBER = 1
_MAX_PHASE_NUMBER = 4

_Count = Annotated[int, Meta(ge=0)]
ProofRow = tuple[int, _Count, _Count, float]
MemberRow = tuple[str, str, str, str, bool, int]
EvidenceRow = tuple[str, str, _Count, _Count, _Count]
# Fingerprint, keys of the prompt parts, whether the response had begun.
SuspectRow = tuple[str, list[str], bool]
CrashRow = tuple[str, float, list[SuspectRow]]
_TableNumber = Annotated[int, Meta(ge=0, le=_MAX_TABLE_NUMBER)]
# Key, version and value of a row; the value is None if it was deleted.
StoreRow = tuple[str, int, bytes | None]
_StoreRows = Annotated[list[StoreRow], Meta(min_length=1)]
PageRow = tuple[_TableNumber, int, int, bytes]
_MAX_TIME_S = 1e12
_Time = Annotated[float, Meta(ge=0, le=_MAX_TIME_S)]
_MAX_RATE_PER_S = 1e6
_Rate = Annotated[float, Meta(ge=0, le=_MAX_RATE_PER_S)]
# Upstream, requests per second, whether the limit has ended, since when, and
# when its upstream last responded, on the cluster clock.
LimitRow = tuple[str, _Rate, bool, _Time, _Time]
# Fingerprint or key of a part, and when a request with it had output.
OutputRow = tuple[str, _Time]
_Keys = Annotated[list[str], Meta(min_length=1)]
# Keys, when it was decided, newest crash, tests, last test, newest output.
BlockRow = tuple[_Keys, _Time, _Time, _Count, _Time, _Time]
_PhaseNumber = Annotated[int, Meta(ge=0, le=_MAX_PHASE_NUMBER)]
RolloutRow = tuple[str, str, float, int, _PhaseNumber, float]


class CellSummary(msgspec.Struct, array_like=True, frozen=True):
    """State of one cell, merged over its nodes.

    Attributes:
        members: Nodes of the cell, in the same form as in a message.
        running_by_id: Requests in progress from the cell, by upstream.
        evidence: Version key, upstream and counts, summed over the cell.
    """

    members: list[MemberRow]
    running_by_id: dict[str, _Count]
    evidence: list[EvidenceRow]


class CellDigest(msgspec.Struct, array_like=True, frozen=True):
    """Summary of one cell for other cells, made by one of its nodes.

    It is encoded once and forwarded unchanged.

    Attributes:
        cell: Name of the cell.
        age_s: Time since it was made, in seconds.
        packed: Encoded and compressed ``CellSummary``.
    """

    cell: str
    age_s: float
    packed: bytes


class GossipMessage(msgspec.Struct, array_like=True, frozen=True):
    """Gossip message from one node to another.

    Attributes:
        node_id: ID of the sender.
        incarnation: Random ID of the sender's current run.
        data_centre: Data centre of the sender.
        peer_address: Address where the sender receives gossip.
        client_address: Address where the sender serves clients.
        is_ready: Whether the sender accepts clients.
        sent_s: Send time on the sender's clock, in seconds.
        cluster_s: Send time on the cluster clock, in seconds.
        echo_s: ``sent_s`` of the newest message from the receiver; negative
            for none.
        echo_incarnation: Incarnation of the receiver that sent that message.
        echo_held_s: Time since the sender received that message, in seconds.
        proofs: For each table: version up to which the sender's copy is
            complete, version of the last change, version after which the
            sender knows every change, and the staleness of the copy in
            seconds; negative if it was never read.
        running_by_id: Requests in progress, by upstream; None if the
            message does not report them.
        sessions: Session keys with version and age in milliseconds.
        tallies: Upstream, responses and bad responses since the sender's
            start.
        evidence: Version key, upstream, responses, errors and slow responses
            since the sender's start.
        rollouts: Service, version, duration in seconds, order number, phase
            and age of the order in seconds.
        members: Nodes that the receiver may not know: ID, data centre, peer
            address, client address, readiness, and time since the last
            message from it, in milliseconds.
        crashes: Recent upstream crashes: upstream, time on the cluster clock
            in seconds, requests without output there.
        outputs: Recent output of requests that were suspects of a crash, with
            its time on the cluster clock in seconds.
        blocks: What is blocked since it crashes upstreams, with times on the
            cluster clock in seconds.
        pages: Changes recently read from the store: table number, versions
            before and after, packed rows.
        leavers: Name and start of each listed upstream that is draining.
        limits: Request limits that upstreams name.
        cell: Cell of the sender; empty while all nodes form one cell.
        digests: Summaries of other cells, or of the sender's own cell.
        format_number: Version of the message format; changes whenever the
            fields change.
    """

    node_id: str
    incarnation: str
    data_centre: str
    peer_address: str
    client_address: str
    is_ready: bool
    sent_s: float
    cluster_s: _Time
    echo_s: float
    echo_incarnation: str
    echo_held_s: float
    proofs: Annotated[list[ProofRow], Meta(min_length=2, max_length=2)]
    running_by_id: dict[str, _Count] | None = None
    sessions: list[tuple[str, str, int]] = []
    tallies: list[tuple[str, _Count, _Count]] = []
    evidence: list[EvidenceRow] = []
    rollouts: list[RolloutRow] = []
    members: list[MemberRow] = []
    crashes: list[CrashRow] = []
    outputs: list[OutputRow] = []
    blocks: list[BlockRow] = []
    pages: list[PageRow] = []
    leavers: list[tuple[str, int]] = []
    limits: list[LimitRow] = []
    cell: str = ''
    digests: list[CellDigest] = []
    format_number: Annotated[int, Meta(ge=_FORMAT, le=_FORMAT)] = _FORMAT


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(GossipMessage)
_ROWS_DECODER = msgspec.msgpack.Decoder(_StoreRows)
_SUMMARY_DECODER = msgspec.msgpack.Decoder(CellSummary)
_Decoded = TypeVar('_Decoded')


def pack_gossip(message: GossipMessage) -> bytes:
    """Encode a gossip message."""
    return _ENCODER.encode(message)


def unpack_gossip(raw: bytes) -> GossipMessage | None:
    """Decode a gossip message; return None when it is malformed."""
    try:
        return _DECODER.decode(raw)
    except (ValueError, RecursionError):
        return None


def pack_rows(rows: list[StoreRow]) -> bytes:
    """Encode and compress rows of the store, in which names often repeat."""
    return _compress(rows)


def unpack_rows(raw: bytes) -> list[StoreRow]:
    """Decode rows; return an empty list if they are malformed or too large."""
    return _decompress(raw, _ROWS_DECODER) or []


def pack_summary(summary: CellSummary) -> bytes:
    """Encode and compress the summary of a cell."""
    return _compress(summary)


def unpack_summary(raw: bytes) -> CellSummary | None:
    """Decode the summary of a cell; return None when it is malformed."""
    return _decompress(raw, _SUMMARY_DECODER)


def _compress(unpacked: Any) -> bytes:
    return zlib.compress(_ENCODER.encode(unpacked), _COMPRESSION_LEVEL)


def _decompress(
    raw: bytes, decoder: msgspec.msgpack.Decoder[_Decoded]
) -> _Decoded | None:
    decompressor = zlib.decompressobj()
    try:
        packed = decompressor.decompress(raw, _MAX_DECOMPRESSED_BYTES)
        return decoder.decode(packed) if decompressor.eof else None
    except (ValueError, RecursionError, zlib.error):
        return None
