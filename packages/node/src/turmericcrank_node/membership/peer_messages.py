"""Typed messages between the nodes, encoded with msgpack.

Each message is a list: the number of its type, then its fields in order.
"""

from dataclasses import dataclass, fields
from typing import Any

import msgpack

__all__ = (
    'Ack',
    'Challenge',
    'CrashReport',
    'EvidenceReport',
    'Hello',
    'LoadReport',
    'PatchesRequest',
    'PatchesResponse',
    'Ping',
    'Pong',
    'Proof',
    'ReleaseBillReplicas',
    'ReplicateBills',
    'RevisionNotice',
    'StopReport',
    'VmListRequest',
    'VmListResponse',
    'pack_message',
    'unpack_message',
)


@dataclass(slots=True, frozen=True)
class Hello:
    """Opens a connection; contains the nonce of the connecting node."""

    node_id: str
    nonce: str


@dataclass(slots=True, frozen=True)
class Challenge:
    """Authenticates the listening node and challenges the connecting one."""

    proof: str
    nonce: str


@dataclass(slots=True, frozen=True)
class Proof:
    """Authenticates the connecting node."""

    proof: str


@dataclass(slots=True, frozen=True)
class Ping:
    """Checks that the peer is alive and reports the sender's revision."""

    node_id: str
    revision: int
    stamp: str


@dataclass(slots=True, frozen=True)
class Pong:
    """Responds to a ping.

    Attributes:
        node_id: ID of the responding node.
        revision: Revision in force on that node.
        store_age_ms: Time since its last read of the store that showed its
            tables to be current, in milliseconds; -1 for none.
        load_percent: Share of the node's capacity in use, in percent.
        leaving: Whether the node is draining.
        stamp: Hybrid clock timestamp.
    """

    node_id: str
    revision: int
    store_age_ms: int
    load_percent: int
    leaving: bool
    stamp: str


@dataclass(slots=True, frozen=True)
class PatchesRequest:
    """Requests the patches after a revision."""

    after: int


@dataclass(slots=True, frozen=True)
class PatchesResponse:
    """Contains patches in order, or a snapshot if they are not retained."""

    patches: list[Any]
    snapshot: list[Any]


@dataclass(slots=True, frozen=True)
class RevisionNotice:
    """Announces a revision that is in force at the sender."""

    node_id: str
    revision: int


@dataclass(slots=True, frozen=True)
class ReplicateBills:
    """Replicates new bills of one batch to a peer."""

    origin: str
    batch: str
    bills: list[Any]


@dataclass(slots=True, frozen=True)
class ReleaseBillReplicas:
    """Reports batches that are in the store; replicas may be deleted."""

    batches: list[str]


@dataclass(slots=True, frozen=True)
class CrashReport:
    """Reports the requests in progress at a crash, or cleared suspects.

    Attributes:
        upstream_id: Upstream that crashed; empty without a crash.
        at_s: Time of the crash or the clearing, in seconds since the epoch.
        suspects: Fingerprint, keys of prompt parts and whether the response
            had begun, for each request without output there.
        outputs: Keys of suspects whose requests had output, and its time.
        blocks: What is blocked since it crashes upstreams.
    """

    upstream_id: str
    at_s: float
    suspects: list[list[Any]]
    outputs: list[list[Any]]
    blocks: list[list[Any]]


@dataclass(slots=True, frozen=True)
class EvidenceReport:
    """Reports version counts of one node since its start.

    Attributes:
        node_id: Incarnation of the node that counted.
        rows: Lists of version, upstream and counts.
    """

    node_id: str
    rows: list[Any]


@dataclass(slots=True, frozen=True)
class StopReport:
    """Reports that a version was stopped automatically, and why."""

    stop_key: str
    reason: str


@dataclass(slots=True, frozen=True)
class VmListResponse:
    """Contains the known rows of the VM list and their sequence number."""

    sequence: int
    vms: list[Any]


@dataclass(slots=True, frozen=True)
class VmListRequest:
    """Requests the VM list, for a node that cannot reach the platform."""

    node_id: str


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Reports the requests in progress of a node, by upstream."""

    node_id: str
    in_progress_by_upstream: dict[str, int]


@dataclass(slots=True, frozen=True)
class Ack:
    """Acknowledges a message that needs no other response."""

    node_id: str


_TYPES = (
    Hello,
    Challenge,
    Proof,
    Ping,
    Pong,
    PatchesRequest,
    PatchesResponse,
    RevisionNotice,
    ReplicateBills,
    ReleaseBillReplicas,
    CrashReport,
    EvidenceReport,
    VmListResponse,
    VmListRequest,
    StopReport,
    LoadReport,
    Ack,
)
_NUMBERS_BY_TYPE = {kind: number for number, kind in enumerate(_TYPES)}
_NAMES_BY_TYPE = {
    kind: tuple(part.name for part in fields(kind)) for kind in _TYPES
}


def pack_message(message: Any) -> bytes:
    """Encode a typed message."""
    kind = type(message)
    parts = [getattr(message, name) for name in _NAMES_BY_TYPE[kind]]
    return msgpack.packb([_NUMBERS_BY_TYPE[kind], *parts])


def unpack_message(raw: Any) -> Any:
    """Convert an unpacked list to a typed message.

    Raises:
        ValueError: If the list is not a valid message.

    Example:
        >>> unpack_message([5, 3])
        PatchesRequest(after=3)
    """
    if not isinstance(raw, list) or not raw:
        raise ValueError('message is not a list that starts with a type number')
    number, *parts = raw
    if not isinstance(number, int) or not 0 <= number < len(_TYPES):
        raise ValueError(f'unknown message type number {number!r}')
    try:
        return _TYPES[number](*parts)
    except TypeError as error:
        raise ValueError(str(error)) from error
