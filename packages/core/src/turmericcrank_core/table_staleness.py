"""Bounds the staleness of a node's copy of a table.

The platform's store is linearizable, so a read proves that the copy was
current when the read was sent. A peer's read counts too, if the peer knows
that nothing has changed since the version that this node has read. It knows
this only from the version on from which it has followed every change: a read
of the complete table shows no row that was deleted before.

Ages are measured on a clock that keeps running while the process is
suspended. The age of a peer's read counts from the time at which this node
sent its request to the peer, so a message that was delayed in a buffer does
not make the copy look fresher than it is.
"""

from dataclasses import dataclass

__all__ = (
    'PeerTableState',
    'TableStaleness',
    'can_apply_page',
    'is_stale',
    'plan_read_interval_factor',
    'plan_read_threshold_s',
    'record_complete_read',
    'record_peer_page',
    'record_peer_state',
    'record_read',
    'staleness_s',
)

_MIN_READ_AGE_S = 1.1
_READ_AGE_STEP_S = 0.1
_OTHER_CELL_MIN_READ_AGE_S = 1.6
_OTHER_CELL_READ_AGE_STEP_S = 0.04
_MAX_RANK_STEPS = 8
_REFERENCE_BOUND_S = 2
_REFERENCE_REVOKE_S = 5
_MAX_INTERVAL_FACTOR = 1.6


@dataclass(slots=True, frozen=True)
class PeerTableState:
    """State of a peer's copy of one table.

    Attributes:
        version: Store version up to which the peer's copy is complete.
        change: Version of the last change that the peer has applied.
        known_since: The peer knows every change after this version.
        current_as_of_s: Latest time at which the peer's copy is known to have
            been current, on this node's clock, in seconds.
    """

    version: int
    change: int
    known_since: int
    current_as_of_s: float


@dataclass(slots=True)
class TableStaleness:
    """State of this node's copy of one table.

    Attributes:
        read_version: Store version up to which the copy is complete.
        change: Version of the last change in the copy.
        known_since: This node knows every change after this version, up to
            ``read_version``.
        current_as_of_s: Latest time at which the copy is known to have been
            current, in seconds; None before the first read.
        peer_change: Newest change that a peer has reported.
    """

    read_version: int = -1
    change: int = 0
    known_since: int = 0
    current_as_of_s: float | None = None
    peer_change: int = 0


def record_read(
    copy_state: TableStaleness, version: int, change: int, read_s: float
) -> None:
    """Record a read of the changes since the version of the copy.

    Args:
        copy_state: State of the copy; updated in place.
        version: Store version up to which the copy is now complete.
        change: Version of the last change of the table; 0 for none.
        read_s: Time at which the read was sent, in seconds.
    """
    copy_state.read_version = max(copy_state.read_version, version)
    copy_state.change = max(copy_state.change, change)
    _advance_current_as_of(copy_state, read_s)


def record_complete_read(
    copy_state: TableStaleness, version: int, change: int, read_s: float
) -> None:
    """Record a read of the complete table, which replaces the copy.

    The changes before it are unknown, since deleted rows leave no trace.

    Args:
        copy_state: State of the copy; updated in place.
        version: Store version up to which the copy is now complete.
        change: Latest version of the rows; 0 if there are none.
        read_s: Time at which the read was sent, in seconds.
    """
    copy_state.known_since = version
    record_read(copy_state, version, change, read_s)


def can_apply_page(
    copy_state: TableStaleness, after: int, version: int
) -> bool:
    """Return whether a page read by a peer can be applied to this copy.

    Args:
        copy_state: State of the copy.
        after: The page holds every change after this version.
        version: The page is complete up to this version.
    """
    return after <= copy_state.read_version < version


def record_peer_page(
    copy_state: TableStaleness, version: int, change: int
) -> None:
    """Record an applied page of a peer.

    A page alone does not prove at what time the copy was current, so
    ``current_as_of_s`` is unchanged.
    """
    copy_state.read_version = version
    copy_state.change = max(copy_state.change, change)


def record_peer_state(copy_state: TableStaleness, peer: PeerTableState) -> None:
    """Update the state with what a peer reported about the same table."""
    copy_state.peer_change = max(copy_state.peer_change, peer.change)
    if copy_state.read_version < max(peer.change, peer.known_since):
        return
    _advance_current_as_of(copy_state, peer.current_as_of_s)
    if peer.known_since < copy_state.known_since <= peer.version:
        copy_state.known_since = peer.known_since
        copy_state.change = max(copy_state.change, peer.change)
    copy_state.read_version = max(copy_state.read_version, peer.version)


def is_stale(copy_state: TableStaleness) -> bool:
    """Return whether a peer has reported a change that this copy lacks."""
    return copy_state.peer_change > copy_state.read_version


def staleness_s(copy_state: TableStaleness, now_s: float) -> float:
    """Return the staleness bound in seconds; infinite before any read."""
    if copy_state.current_as_of_s is None:
        return float('inf')
    return now_s - copy_state.current_as_of_s


def plan_read_interval_factor(
    apply_s: float, drain_s: float, revoke_s: float
) -> float:
    """Return the factor by which all read intervals are scaled.

    The node that reads the store forwards changes to the others at once;
    scheduled reads by the others only make up for lost messages. Read
    intervals are therefore no shorter than the configured bounds require.

    Args:
        apply_s: Maximum time until a configuration is in force, in seconds.
        drain_s: Maximum time until a draining upstream gets no new requests,
            in seconds.
        revoke_s: Maximum time for which a removed key may still work, in
            seconds.
    """
    max_factor = _MAX_INTERVAL_FACTOR * revoke_s / _REFERENCE_REVOKE_S
    return min(
        max_factor, apply_s / _REFERENCE_BOUND_S, drain_s / _REFERENCE_BOUND_S
    )


def plan_read_threshold_s(rank: int, is_reading_cell: bool) -> float:
    """Return the staleness at which a node reads the store itself.

    Nodes of a higher rank wait longer, so that a single read, gossiped to
    the others, suffices for all. Rank 0 of the reading cell always reads.

    Args:
        rank: Rank of the node among the responsive nodes of its cell, from 0.
        is_reading_cell: Whether its cell reads the store for all cells.

    Returns:
        Staleness in seconds, before scaling by ``plan_read_interval_factor``.
    """
    step = min(rank, _MAX_RANK_STEPS)
    if not is_reading_cell:
        return _OTHER_CELL_MIN_READ_AGE_S + _OTHER_CELL_READ_AGE_STEP_S * step
    return _MIN_READ_AGE_S + _READ_AGE_STEP_S * step if rank else 0


def _advance_current_as_of(
    copy_state: TableStaleness, current_as_of_s: float
) -> None:
    if (
        copy_state.current_as_of_s is None
        or current_as_of_s > copy_state.current_as_of_s
    ):
        copy_state.current_as_of_s = current_as_of_s
