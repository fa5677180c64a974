"""Applies revisions of the tables in order and never reverts to an older one.

Every accepted edit is one patch, numbered by the revision that it creates.
A node applies patches in order, from the store or from any peer, and
ignores a patch that is not exactly the next one. A snapshot may skip
revisions, but is ignored when it is not newer.
"""

from dataclasses import dataclass, field
from typing import Any

from turmericcrank_core.tables import Tables, apply_patch, check_tables

__all__ = (
    'Patch',
    'RevisionState',
    'Snapshot',
    'adopt_patch',
    'adopt_snapshot',
    'is_own_patch',
    'make_snapshot',
    'record_known_revision',
)


@dataclass(slots=True, frozen=True)
class Patch:
    """One accepted edit.

    Attributes:
        revision: Revision that the edit creates; the first one is 1.
        token: Unique token that the operators' command line chose for this
            attempt.
        operator: Operator who made the edit.
        accepted_s: Wall-clock time of acceptance, seconds since the epoch.
        changes: Changed rows by name for each table; None deletes a row.
    """

    revision: int
    token: str
    operator: str
    accepted_s: float
    changes: dict[str, Any]


@dataclass(slots=True, frozen=True)
class Snapshot:
    """Both raw tables at one revision."""

    revision: int
    raw: dict[str, Any]


@dataclass(slots=True)
class RevisionState:
    """Tables of a node and their revision.

    Attributes:
        revision: Latest applied revision; 0 before the first.
        raw: Raw tables at that revision.
        tables: The same tables, parsed.
        known_revision: Latest revision that the node knows to exist.
        stale_since_s: Monotonic time since which a later revision is
            known; None when the tables are current.
    """

    revision: int = 0
    raw: dict[str, Any] = field(default_factory=dict)
    tables: Tables = field(default_factory=Tables)
    known_revision: int = 0
    stale_since_s: float | None = None


def adopt_patch(state: RevisionState, patch: Patch) -> bool:
    """Apply a patch if it is exactly the next one.

    Args:
        state: Modified in place when the patch is applied.
        patch: Edit that the platform's store has accepted.

    Returns:
        Whether it was applied; False for an older or later patch, and for
        one that results in invalid tables.
    """
    if patch.revision != state.revision + 1:
        return False
    return _adopt(state, patch.revision, apply_patch(state.raw, patch.changes))


def adopt_snapshot(state: RevisionState, snapshot: Snapshot) -> bool:
    """Replace the tables by a snapshot if it is newer and valid."""
    if snapshot.revision <= state.revision:
        return False
    return _adopt(state, snapshot.revision, snapshot.raw)


def make_snapshot(state: RevisionState) -> Snapshot:
    """Return the current tables as a snapshot for a peer."""
    return Snapshot(state.revision, state.raw)


def record_known_revision(
    state: RevisionState, revision: int, now_s: float
) -> None:
    """Record that a revision exists, and since when this node lacks it.

    Args:
        state: Modified in place.
        revision: Revision read from the store or reported by a peer.
        now_s: Monotonic time, in seconds.
    """
    state.known_revision = max(state.known_revision, revision)
    if state.known_revision <= state.revision:
        state.stale_since_s = None
    elif state.stale_since_s is None:
        state.stale_since_s = now_s


def is_own_patch(stored: Patch | None, token: str) -> bool:
    """Return whether the stored patch was written by this attempt.

    A conditional write whose reply was lost fails when it is retried; the
    token shows that the stored patch is the attempt's own.
    """
    return stored is not None and stored.token == token


def _adopt(state: RevisionState, revision: int, raw: dict[str, Any]) -> bool:
    checked = check_tables(raw)
    if checked.is_error():
        return False
    state.revision = revision
    state.raw = raw
    state.tables = checked.ok
    if state.known_revision <= revision:
        state.known_revision = revision
        state.stale_since_s = None
    return True
