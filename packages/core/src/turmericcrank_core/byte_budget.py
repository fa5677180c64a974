"""Bounds the memory that the bodies of client requests take at a node.

Load pattern: the clients of nodes that were lost come to those that are left,
with bodies up to the largest allowed size. A body that finds no room is refused
before it is read; without that the platform ends the process, with all that it
was doing. Small bodies keep a part of the room for themselves, so that a few
large ones don't keep out most requests.
"""

from dataclasses import dataclass

__all__ = ('ByteBudget', 'make_body_budget', 'release_bytes', 'reserve_bytes')

# The rest of the memory holds the program, answers and what is being sent.
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


def make_body_budget(memory_bytes: float) -> ByteBudget:
    """Make the budget for request bodies of a node.

    Args:
        memory_bytes: Memory that the process may use.
    """
    return ByteBudget(memory_bytes * _BODY_FRACTION)


def reserve_bytes(budget: ByteBudget, held_bytes: int, n_bytes: int) -> bool:
    """Reserve bytes for a body, or for its next part.

    Args:
        budget: Changed in place if there is room.
        held_bytes: Bytes that this body has reserved before.
        n_bytes: Bytes to add.

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
    if budget.reserved_bytes + n_bytes > room_bytes:
        return False
    budget.reserved_bytes += n_bytes
    return True


def release_bytes(budget: ByteBudget, n_bytes: int) -> None:
    """Release what was reserved for a body."""
    budget.reserved_bytes -= n_bytes
