"""Typed messages between the nodes, packed with msgpack.

Each message is one list: its number, then its fields in order.
"""

from dataclasses import dataclass, fields
from typing import Any

import msgpack

__all__ = (
    'Ack',
    'BillCopies',
    'BillsWritten',
    'Challenge',
    'CrashSeen',
    'EvidenceSeen',
    'Hello',
    'LoadReport',
    'PatchesRequest',
    'PatchesResponse',
    'Ping',
    'Pong',
    'Proof',
    'RevisionNotice',
    'StopSeen',
    'VmListRequest',
    'VmListResponse',
    'pack_message',
    'unpack_message',
)


@dataclass(slots=True, frozen=True)
class Hello:
    """Opens a connection and names the caller's nonce."""

    node_id: str
    nonce: str


@dataclass(slots=True, frozen=True)
class Challenge:
    """Proves the listener and asks the connecting node for its proof."""

    proof: str
    nonce: str


@dataclass(slots=True, frozen=True)
class Proof:
    """Proves the connecting node."""

    proof: str


@dataclass(slots=True, frozen=True)
class Ping:
    """Asks whether the peer lives, and tells the own revision."""

    node_id: str
    revision: int
    stamp: str


@dataclass(slots=True, frozen=True)
class Pong:
    """Answers a ping.

    Attributes:
        node_id: Who answers.
        revision: Revision in force there.
        store_age_ms: Age of its newest reading of the store; -1 for none.
        load_percent: Share of the node's capacity in use.
        leaving: Whether it is about to stop.
        stamp: Hybrid clock.
    """

    node_id: str
    revision: int
    store_age_ms: int
    load_percent: int
    leaving: bool
    stamp: str


@dataclass(slots=True, frozen=True)
class PatchesRequest:
    """Asks for the edits after a revision."""

    after: int


@dataclass(slots=True, frozen=True)
class PatchesResponse:
    """Gives edits in order, or a snapshot when they are not kept."""

    patches: list[Any]
    snapshot: list[Any]


@dataclass(slots=True, frozen=True)
class RevisionNotice:
    """Tells that a revision exists; the sender has it in force."""

    node_id: str
    revision: int


@dataclass(slots=True, frozen=True)
class BillCopies:
    """Gives a peer copies of new bills of one batch."""

    origin: str
    batch: str
    bills: list[Any]


@dataclass(slots=True, frozen=True)
class BillsWritten:
    """Tells that batches are in the store and copies may go."""

    batches: list[str]


@dataclass(slots=True, frozen=True)
class CrashSeen:
    """Tells which requests were at an upstream when it crashed."""

    upstream_id: str
    at_s: float
    fingerprints: list[str]
    cleared: list[str]


@dataclass(slots=True, frozen=True)
class EvidenceSeen:
    """Tells how versions did at one node since its start.

    Attributes:
        node_id: Who counted.
        rows: Lists of version, upstream and counts.
    """

    node_id: str
    rows: list[Any]


@dataclass(slots=True, frozen=True)
class StopSeen:
    """Tells that a version was stopped by itself, and why."""

    stop_key: str
    reason: str


@dataclass(slots=True, frozen=True)
class VmListResponse:
    """Gives the known rows of the VM list and their sequence."""

    sequence: int
    vms: list[Any]


@dataclass(slots=True, frozen=True)
class VmListRequest:
    """Asks for the rows of the VM list, for a node without the platform."""

    node_id: str


@dataclass(slots=True, frozen=True)
class LoadReport:
    """Tells the requests in progress of a node, by upstream."""

    node_id: str
    in_progress_by_upstream: dict[str, int]


@dataclass(slots=True, frozen=True)
class Ack:
    """Confirms a message that needs no other answer."""

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
    BillCopies,
    BillsWritten,
    CrashSeen,
    EvidenceSeen,
    VmListResponse,
    VmListRequest,
    StopSeen,
    LoadReport,
    Ack,
)
_NUMBERS_BY_TYPE = {kind: number for number, kind in enumerate(_TYPES)}
_NAMES_BY_TYPE = {
    kind: tuple(part.name for part in fields(kind)) for kind in _TYPES
}


def pack_message(message: Any) -> bytes:
    """Pack one typed message.

    Example:
        >>> unpack_message([5, 3])
        PatchesRequest(after=3)
    """
    kind = type(message)
    parts = [getattr(message, name) for name in _NAMES_BY_TYPE[kind]]
    return msgpack.packb([_NUMBERS_BY_TYPE[kind], *parts])


def unpack_message(raw: Any) -> Any:
    """Build a typed message from its unpacked list.

    Raises:
        ValueError: When the list is not a message that is known.
    """
    if not isinstance(raw, list) or not raw:
        raise ValueError('a message is a list with its number')
    number, *parts = raw
    if not isinstance(number, int) or not 0 <= number < len(_TYPES):
        raise ValueError(f'unknown message number {number!r}')
    try:
        return _TYPES[number](*parts)
    except TypeError as error:
        raise ValueError(str(error)) from error
