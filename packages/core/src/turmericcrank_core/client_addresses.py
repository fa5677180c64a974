"""Selects the entry nodes whose addresses a client may cache for a time.

A stopping node is first removed from these responses, serves until all
cached responses have expired, and only then rejects new requests.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = (
    'AddressResponse',
    'AddressRow',
    'EntryNode',
    'plan_addresses',
    'plan_refusal_start_s',
)

_MIN_WEIGHT = 1
_MAX_WEIGHT = 100


@dataclass(slots=True, frozen=True)
class EntryNode:
    """State of an entry node as known to another node.

    Attributes:
        node_id: Id of the node.
        address: ``IP:port`` for clients.
        data_centre: Data centre of the node.
        load: Share of its capacity in use, 0 to 1.
        leaving: Whether it is about to stop.
        has_responded: Whether it responded to the last probe.
    """

    node_id: str
    address: str
    data_centre: str
    load: float
    leaving: bool
    has_responded: bool


@dataclass(slots=True, frozen=True)
class AddressRow:
    """One address of the response, with its weight from 1 to 100."""

    address: str
    data_centre: str
    weight: int


@dataclass(slots=True, frozen=True)
class AddressResponse:
    """Addresses in order of preference.

    Attributes:
        rows: The client's data centre first, then the others, each in
            weighted random order.
        keep_s: Time for which the client may cache the response, in
            seconds.
    """

    rows: tuple[AddressRow, ...]
    keep_s: float


def plan_addresses(
    nodes: Iterable[EntryNode],
    data_centre: str,
    keep_s: float,
    max_rows: int,
    random_source: random.Random,
) -> AddressResponse:
    """Choose the addresses for one client.

    The order within a data centre is a weighted random sample without
    replacement, so that clients are spread by free capacity. Source:
    Efraimidis and Spirakis, "Weighted random sampling with a reservoir",
    Information Processing Letters 97 (2006).

    Args:
        nodes: Known entry nodes, including the responding one.
        data_centre: Data centre of the client.
        keep_s: Time for which the response may be cached, in seconds.
        max_rows: Maximum number of rows in the response.
        random_source: Random generator for the order.

    Returns:
        The response; empty when no node is usable.
    """
    usable = [node for node in nodes if node.has_responded and not node.leaving]
    ranked = sorted(
        usable,
        key=lambda node: (
            node.data_centre != data_centre,
            -(random_source.random() ** (1 / _compute_weight(node))),
        ),
    )
    rows = tuple(
        AddressRow(node.address, node.data_centre, _compute_weight(node))
        for node in ranked[:max_rows]
    )
    return AddressResponse(rows, keep_s)


def plan_refusal_start_s(
    now_s: float, keep_s: float, settle_s: float, hurried: bool
) -> float:
    """Return the time from which a stopping node rejects new requests.

    Requests in progress are never aborted by this.

    Args:
        now_s: Monotonic time of the stop signal, in seconds.
        keep_s: Time for which clients cache a response, in seconds.
        settle_s: Time until all peers know that this node is stopping, in
            seconds.
        hurried: Whether a second stop signal skips the wait.

    Returns:
        Monotonic time, in seconds.
    """
    if hurried:
        return now_s
    return now_s + settle_s + keep_s


def _compute_weight(node: EntryNode) -> int:
    free_share = 1 - min(max(node.load, 0), 1)
    return max(_MIN_WEIGHT, round(_MAX_WEIGHT * free_share))
