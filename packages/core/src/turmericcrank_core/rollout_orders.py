"""Tells orders of a rollout apart when the store returns from a copy.

The versions of rows begin anew then, and the operators write their latest
orders again. So the same order may get another number, and a later order a
lower one. A node that knew an order before the return keeps its number for it.
"""

import enum
from dataclasses import dataclass

from turmericcrank_core.rollout_phases import RolloutOrder, RolloutState

__all__ = (
    'KnownOrder',
    'OrderRelation',
    'StoredOrder',
    'compare_stored',
    'has_same_content',
    'is_new_order',
    'resolve_report',
)


class OrderRelation(enum.Enum):
    """How the order of a stored phase relates to the one that is followed."""

    earlier = enum.auto()
    same = enum.auto()
    later = enum.auto()


@dataclass(slots=True, frozen=True)
class StoredOrder:
    """An order as its row in the store states it.

    Attributes:
        order: The order.
        change: Version of its row, ordered across returns from a copy.
        era: Number of returns of the store before the row was read.
    """

    order: RolloutOrder
    change: int
    era: int


@dataclass(slots=True, frozen=True)
class KnownOrder:
    """Latest row of a service's order that a node has read.

    Attributes:
        stored: The order and its row.
        replaced: Order that this one replaced; None if there was none.
    """

    stored: StoredOrder
    replaced: RolloutOrder | None = None


def has_same_content(one: RolloutOrder, other: RolloutOrder) -> bool:
    """Return whether two orders ask for the same, whatever their numbers."""
    return (one.service, one.version, one.duration_s) == (
        other.service,
        other.version,
        other.duration_s,
    )


def is_new_order(
    own: RolloutOrder | None, known: KnownOrder | None, read: StoredOrder
) -> bool:
    """Return whether a row holds another order than the one that is known.

    Args:
        own: Order that this node follows; None for none.
        known: Latest row of an order that this node has read; None if it has
            read none.
        read: Row that was read now.
    """
    if own is None:
        return True
    if known is None:
        return read.order.number > own.number
    if read.change <= known.stored.change:
        return False
    if read.era == known.stored.era:
        # A peer may have reported it before its row was read.
        return read.order != own
    return not has_same_content(read.order, own)


def compare_stored(
    order: RolloutOrder,
    known: KnownOrder | None,
    stored: RolloutOrder,
    change: int,
) -> OrderRelation:
    """Tell to which order a stored phase belongs.

    It may state the number that the order had before the store returned from
    a copy. Its row is later than the row of the order then.

    Args:
        order: Order that this node follows.
        known: Latest row of an order that this node has read; None if it has
            read none.
        stored: Order that the stored phase states.
        change: Version of the row of the stored phase.
    """
    if stored == order:
        return OrderRelation.same
    by_number = (
        OrderRelation.later
        if stored.number > order.number
        else OrderRelation.earlier
    )
    if known is None:
        return by_number
    is_same = has_same_content(stored, order)
    if stored == known.stored.order:
        return OrderRelation.same if is_same else OrderRelation.later
    if stored == known.replaced or change < known.stored.change:
        return OrderRelation.earlier
    return OrderRelation.same if is_same else by_number


def resolve_report(
    own: RolloutState | None, known: KnownOrder | None, reported: RolloutState
) -> RolloutState | None:
    """Return the state that a peer reports, under this node's number.

    Returns:
        The state; None if the order is known to be replaced.
    """
    if own is None or known is None:
        return reported
    if reported.order == known.replaced:
        return None
    if reported.order == known.stored.order:
        return RolloutState(own.order, reported.phase, reported.began_s)
    return reported
