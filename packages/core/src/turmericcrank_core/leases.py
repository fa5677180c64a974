"""Leases with fencing tokens, stored as rows of the platform's store.

A holder stops before its lease expires on its own clock. A holder whose
process was paused may still act late, so each of its orders carries the
fencing token, a number that increases with each new holder.
"""

from dataclasses import dataclass
from typing import Any

__all__ = (
    'LeaseObservation',
    'LeaseRow',
    'check_lease',
    'is_held',
    'plan_lease',
    'record_lease',
    'serialize_lease',
)


@dataclass(slots=True, frozen=True)
class LeaseRow:
    """The row of one lease.

    Attributes:
        holder: Incarnation of the holding node.
        fence: Fencing token, incremented with each new holder.
        renewals: Renewal counter, by which other nodes see renewals.
        length_s: Duration of the lease, in seconds.
    """

    holder: str
    fence: int
    renewals: int
    length_s: float


@dataclass(slots=True)
class LeaseObservation:
    """A node's observation of a lease.

    Attributes:
        row: Last row that was read.
        changed_s: Monotonic time at which this row was first read.
    """

    row: LeaseRow | None = None
    changed_s: float = 0


def plan_lease(
    watch: LeaseObservation, own_id: str, length_s: float, now_s: float
) -> LeaseRow | None:
    """Return the row whose conditional write acquires or renews the lease.

    A lease counts as expired only when its row has not changed for its full
    duration on this node's own clock, so clocks need not be synchronized.

    Args:
        watch: Last row that was read and when it changed.
        own_id: Incarnation of this node.
        length_s: Duration of the new lease, in seconds.
        now_s: Monotonic time, in seconds.

    Returns:
        The row to write, or None while another node's lease is valid.
    """
    row = watch.row
    if row is None:
        return LeaseRow(own_id, 1, 0, length_s)
    if row.holder == own_id:
        return LeaseRow(own_id, row.fence, row.renewals + 1, length_s)
    if now_s - watch.changed_s <= row.length_s:
        return None
    return LeaseRow(own_id, row.fence + 1, 0, length_s)


def record_lease(
    watch: LeaseObservation, row: LeaseRow | None, now_s: float
) -> None:
    """Record the row that was read and when it changed."""
    if row != watch.row:
        watch.row = row
        watch.changed_s = now_s


def is_held(
    written_s: float | None, now_s: float, length_s: float, margin_s: float
) -> bool:
    """Return whether a holder may still act.

    Args:
        written_s: Monotonic time just before the holder's last acknowledged
            write; None when it does not hold the lease.
        now_s: Monotonic time, in seconds.
        length_s: Duration of the lease, in seconds.
        margin_s: Time before the expiry at which the holder stops, in
            seconds.
    """
    return written_s is not None and now_s < written_s + length_s - margin_s


def check_lease(raw: dict[str, Any] | None) -> LeaseRow | None:
    """Parse a row from its stored form."""
    if raw is None:
        return None
    return LeaseRow(
        raw['holder'], raw['fence'], raw['renewals'], raw['length_s']
    )


def serialize_lease(row: LeaseRow) -> dict[str, Any]:
    """Return the stored form of a row."""
    return {
        'holder': row.holder,
        'fence': row.fence,
        'renewals': row.renewals,
        'length_s': row.length_s,
    }
