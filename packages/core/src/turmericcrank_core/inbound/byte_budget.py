"""Bounds the memory that bytes from clients and upstreams take at a node.

Load patterns: the clients of nodes that were lost come to those that are left,
with bodies up to the largest allowed size; upstreams send without end, in
response to many requests at once. A body that finds no room is refused, or its
response given up; without that the platform ends the process, with all that it
was doing. Small bodies keep a part of the room for themselves, so that a few
large ones don't keep out most others. The size of a response isn't known before
its end, so a large one may take no more than what it leaves free: no number of
endless ones then fills the room.

Source of that bound: A. Choudhury and E. Hahne, "Dynamic queue length
thresholds in a shared memory ATM switch", 1996, with factor 1.
"""

from dataclasses import dataclass

__all__ = (
    'ByteBudget',
    'ByteHold',
    'hold_bytes',
    'hold_spare_bytes',
    'make_body_budget',
    'release_bytes',
    'release_hold',
    'reserve_bytes',
)

# The rest of the memory holds the program and what is being sent.
_BODY_FRACTION = 0.45
_SMALL_BODY_BYTES = 65536
_SMALL_BODY_FRACTION = 0.2


@dataclass(slots=True)
class ByteBudget:
    """Bytes that a node may hold, and holds.

    Attributes:
        max_bytes: Bound on the sum of all reservations.
        reserved_bytes: Sum of all reservations.
    """

    max_bytes: float
    reserved_bytes: int = 0


@dataclass(slots=True)
class ByteHold:
    """Bytes that one body, or one incomplete event, has reserved.

    Attributes:
        budget: Budget from which they are taken.
        n_bytes: How many.
    """

    budget: ByteBudget
    n_bytes: int = 0


def make_body_budget(memory_bytes: float) -> ByteBudget:
    """Make the budget for the bodies that a node holds.

    Args:
        memory_bytes: Memory that the process may use.
    """
    return ByteBudget(memory_bytes * _BODY_FRACTION)


def reserve_bytes(
    budget: ByteBudget, held_bytes: int, n_bytes: int, n_free: int = 0
) -> bool:
    """Reserve bytes for a body, or for its next part.

    Args:
        budget: Changed in place if there is room.
        held_bytes: Bytes that this body has reserved before.
        n_bytes: Bytes to add.
        n_free: Bytes that must remain free if the body is a large one.

    Returns:
        Whether there was room.

    Example:
        >>> budget = ByteBudget(max_bytes=100_000)
        >>> reserve_bytes(budget, 0, 70_000), reserve_bytes(budget, 0, 70_000)
        (True, False)
        >>> reserve_bytes(budget, 0, 20_000)
        True
    """
    room_bytes = budget.max_bytes
    if held_bytes + n_bytes > _SMALL_BODY_BYTES:
        room_bytes *= 1 - _SMALL_BODY_FRACTION
        room_bytes -= n_free
    if budget.reserved_bytes + n_bytes > room_bytes:
        return False
    budget.reserved_bytes += n_bytes
    return True


def release_bytes(budget: ByteBudget, n_bytes: int) -> None:
    """Release what was reserved for a body."""
    budget.reserved_bytes -= n_bytes


def hold_bytes(hold: ByteHold, n_bytes: int) -> bool:
    """Reserve or release so that a hold has ``n_bytes``.

    Returns:
        Whether there was room; without it the hold is left as it is.
    """
    n_added = n_bytes - hold.n_bytes
    if n_added <= 0:
        release_bytes(hold.budget, -n_added)
    elif not reserve_bytes(hold.budget, hold.n_bytes, n_added, n_bytes):
        return False
    hold.n_bytes = n_bytes
    return True


def hold_spare_bytes(
    hold: ByteHold, n_bytes: int, used_fraction: float
) -> bool:
    """Reserve or release as ``hold_bytes``, but only up to a part of the room.

    For bytes that may as well stay with the sender, such as those of requests
    that can't be handled yet.
    """
    n_added = n_bytes - hold.n_bytes
    spare_bytes = hold.budget.max_bytes * used_fraction
    if n_added > 0 and hold.budget.reserved_bytes + n_added > spare_bytes:
        return False
    hold.budget.reserved_bytes += n_added
    hold.n_bytes = n_bytes
    return True


def release_hold(hold: ByteHold) -> None:
    """Release all bytes of a hold."""
    hold_bytes(hold, 0)
