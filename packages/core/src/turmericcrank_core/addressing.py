"""Tells callers which entry nodes to use, and for how long.

A node that stops first leaves these answers, serves until every kept answer
has expired, and only then drains.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = (
    'AddressAnswer',
    'AddressRow',
    'EntryNode',
    'plan_addresses',
    'plan_refuse_s',
)

_MIN_WEIGHT = 1
_FULL_WEIGHT = 100


@dataclass(slots=True, frozen=True)
class EntryNode:
    """What a node knows of an entry node.

    Attributes:
        node_id: Name.
        address: ``IP:port`` for callers.
        data_centre: Where it runs.
        load: Share of its capacity in use, 0 to 1.
        leaving: Whether it is about to stop.
        heard: Whether it answered when last asked.
    """

    node_id: str
    address: str
    data_centre: str
    load: float
    leaving: bool
    heard: bool


@dataclass(slots=True, frozen=True)
class AddressRow:
    """One line of the answer: an address and its weight from 1 to 100."""

    address: str
    data_centre: str
    weight: int


@dataclass(slots=True, frozen=True)
class AddressAnswer:
    """Addresses in the order of use.

    Attributes:
        rows: Own data centre first, each part in weighted random order.
        keep_s: How long the caller may keep the answer, in seconds.
    """

    rows: tuple[AddressRow, ...]
    keep_s: float


def plan_addresses(
    nodes: Iterable[EntryNode],
    data_centre: str,
    keep_s: float,
    max_rows: int,
    random_source: random.Random,
) -> AddressAnswer:
    """Choose the addresses for one caller.

    The order within a data centre is a weighted random sample without
    replacement, so that callers spread by free capacity. Source:
    Efraimidis and Spirakis, "Weighted random sampling with a reservoir",
    Information Processing Letters 97 (2006).

    Args:
        nodes: Known entry nodes, the answering one among them.
        data_centre: The caller's data centre.
        keep_s: Time the answer may be kept, in seconds.
        max_rows: Most rows in the answer.
        random_source: Generator of the order.

    Returns:
        The answer; empty when no node is left.
    """
    usable = [node for node in nodes if node.heard and not node.leaving]
    ranked = sorted(
        usable,
        key=lambda node: (
            node.data_centre != data_centre,
            -(random_source.random() ** (1 / _weigh(node))),
        ),
    )
    rows = tuple(
        AddressRow(node.address, node.data_centre, _weigh(node))
        for node in ranked[:max_rows]
    )
    return AddressAnswer(rows, keep_s)


def plan_refuse_s(
    now_s: float, keep_s: float, settle_s: float, hurried: bool
) -> float:
    """Plan from when a stopping node refuses new requests.

    A request in progress is never cut, whenever that is.

    Args:
        now_s: Monotonic time of the signal.
        keep_s: Time for which callers keep an answer.
        settle_s: Time until the peers know that this node is leaving.
        hurried: Whether a second signal cut the wait.

    Returns:
        Monotonic time, in seconds.
    """
    if hurried:
        return now_s
    return now_s + settle_s + keep_s


def _weigh(node: EntryNode) -> int:
    free = 1 - min(max(node.load, 0), 1)
    return max(_MIN_WEIGHT, round(_FULL_WEIGHT * free))
