"""Leases with fencing numbers, kept as rows of the platform's store.

A holder stops before its lease lapses by its own clock. A holder that was
paused may still act late, so every order carries the fencing number, which
rises with each new holder.
"""

from dataclasses import dataclass
from typing import Any

__all__ = (
    'LeaseRow',
    'LeaseWatch',
    'check_lease',
    'is_held',
    'note_lease',
    'plan_lease',
    'write_lease',
)


@dataclass(slots=True, frozen=True)
class LeaseRow:
    """The row of one lease.

    Attributes:
        holder: Incarnation of the holding node.
        fence: Fencing number, rises with each new holder.
        renewals: Rises with each renewal, so a watcher sees that it lives.
        length_s: Length of the lease, in seconds.
    """

    holder: str
    fence: int
    renewals: int
    length_s: float


@dataclass(slots=True)
class LeaseWatch:
    """What a node has seen of a lease.

    Attributes:
        row: Newest row that was read.
        changed_s: Monotonic time at which it was first seen so.
    """

    row: LeaseRow | None = None
    changed_s: float = 0


def plan_lease(
    watch: LeaseWatch, own_id: str, length_s: float, now_s: float
) -> LeaseRow | None:
    """Plan the conditional write that takes or renews the lease.

    A lease counts as lapsed only when its row has not changed for its whole
    length on this node's own clock, so clocks need not agree.

    Args:
        watch: Newest row and when it was seen to change.
        own_id: Incarnation of this node.
        length_s: Length of the new lease.
        now_s: Monotonic time, in seconds.

    Returns:
        The row to write, or None while another holder's lease runs.
    """
    row = watch.row
    if row is None:
        return LeaseRow(own_id, 1, 0, length_s)
    if row.holder == own_id:
        return LeaseRow(own_id, row.fence, row.renewals + 1, length_s)
    if now_s - watch.changed_s <= row.length_s:
        return None
    return LeaseRow(own_id, row.fence + 1, 0, length_s)


def note_lease(watch: LeaseWatch, row: LeaseRow | None, now_s: float) -> None:
    """Keep the row that was read and when it changed."""
    if row != watch.row:
        watch.row = row
        watch.changed_s = now_s


def is_held(
    written_s: float | None, now_s: float, length_s: float, margin_s: float
) -> bool:
    """Tell whether a holder may still act.

    Args:
        written_s: Monotonic time just before the last confirmed write.
        now_s: Monotonic time, in seconds.
        length_s: Length of the lease.
        margin_s: Time before the lapse at which the holder stops.
    """
    return written_s is not None and now_s < written_s + length_s - margin_s


def check_lease(raw: dict[str, Any] | None) -> LeaseRow | None:
    """Build the row from its stored form."""
    if raw is None:
        return None
    return LeaseRow(
        raw['holder'], raw['fence'], raw['renewals'], raw['length_s']
    )


def write_lease(row: LeaseRow) -> dict[str, Any]:
    """Give the stored form of the row."""
    return {
        'holder': row.holder,
        'fence': row.fence,
        'renewals': row.renewals,
        'length_s': row.length_s,
    }
