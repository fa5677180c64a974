"""Knows how old the newest proof is that a table in use is in force.

The platform's store is linearizable, so a reading proves that the copy was
current when the reading was sent. A peer's proof counts too: when its last
change is not newer than what this node has read, nothing has changed up to
the peer's reading. Ages are measured on a clock that goes on while a
process is suspended, and a peer's age counts from the moment at which this
node asked, so a message that waited in a buffer proves nothing new.
"""

from dataclasses import dataclass

__all__ = (
    'PeerProof',
    'TableProof',
    'is_behind',
    'may_take_page',
    'note_page',
    'note_peer_proof',
    'note_reading',
    'plan_cadence',
    'plan_read_age_s',
    'proof_age_s',
)

_FIRST_AGE_S = 1.1
_AGE_STEP_S = 0.1
_FAR_FIRST_AGE_S = 1.6
_FAR_AGE_STEP_S = 0.04
_MAX_STEPS = 8
_USUAL_S = 2
_USUAL_REVOKE_S = 5
_MAX_STRETCH = 1.6


@dataclass(slots=True, frozen=True)
class PeerProof:
    """What a peer says of its copy of one table.

    Attributes:
        change: Version of the last change that it has applied.
        proven_s: When its copy was current at the latest known moment, on
            this node's clock, in seconds.
    """

    change: int
    proven_s: float


@dataclass(slots=True)
class TableProof:
    """What one node knows of its copy of one table.

    Attributes:
        read_version: The copy is complete up to this version of the store.
        change: Version of the last change that it holds.
        proven_s: Latest moment at which the copy is known to be current;
            None before the first reading.
        told_change: Newest change that a peer has told of.
    """

    read_version: int = -1
    change: int = 0
    proven_s: float | None = None
    told_change: int = 0


def note_reading(
    proof: TableProof, version: int, change: int, read_s: float
) -> None:
    """Note a reading of the store.

    Args:
        proof: Changed in place.
        version: Version up to which the copy is complete now.
        change: Version of the last change of the table, 0 for none.
        read_s: When the reading was sent, in seconds.
    """
    proof.read_version = max(proof.read_version, version)
    proof.change = max(proof.change, change)
    _advance(proof, read_s)


def may_take_page(proof: TableProof, after: int, version: int) -> bool:
    """Tell whether a page that a peer has read goes on from this copy.

    Args:
        proof: What is known of this copy.
        after: The page holds every change after this version.
        version: It is complete up to this version.
    """
    return after <= proof.read_version < version


def note_page(proof: TableProof, version: int, change: int) -> None:
    """Note that a peer's page was applied; it proves no moment by itself."""
    proof.read_version = version
    proof.change = max(proof.change, change)


def note_peer_proof(proof: TableProof, peer: PeerProof) -> None:
    """Note what a peer has told of the same table."""
    proof.told_change = max(proof.told_change, peer.change)
    if peer.change <= proof.read_version:
        _advance(proof, peer.proven_s)


def is_behind(proof: TableProof) -> bool:
    """Tell whether a peer knows of a change that this copy lacks."""
    return proof.told_change > proof.read_version


def proof_age_s(proof: TableProof, now_s: float) -> float:
    """Give the age of the newest proof in seconds; infinite without one."""
    if proof.proven_s is None:
        return float('inf')
    return now_s - proof.proven_s


def plan_cadence(apply_s: float, drain_s: float, revoke_s: float) -> float:
    """Plan by how much all times of reading shrink or stretch.

    Changes reach the nodes through the one that reads, at once; the times of
    reading only make good what is lost on the way. So they shrink for tight
    promises, and take what loose ones leave.

    Args:
        apply_s: Longest time until a configuration is in force.
        drain_s: Longest time until a leaving upstream gets nothing.
        revoke_s: Longest time for which a removed key may work.
    """
    most = _MAX_STRETCH * revoke_s / _USUAL_REVOKE_S
    return min(most, apply_s / _USUAL_S, drain_s / _USUAL_S)


def plan_read_age_s(rank: int, is_reading_cell: bool) -> float:
    """Plan the age of a proof at which a node reads the store itself.

    Nodes wait longer the higher their rank, so that one reading, told to
    the others, is enough for all. Rank 0 of the cell that reads for all
    always reads.

    Args:
        rank: Place of the node among the mates that it hears, from 0.
        is_reading_cell: Whether its cell reads for all.
    """
    step = min(rank, _MAX_STEPS)
    if not is_reading_cell:
        return _FAR_FIRST_AGE_S + _FAR_AGE_STEP_S * step
    return _FIRST_AGE_S + _AGE_STEP_S * step if rank else 0


def _advance(proof: TableProof, proven_s: float) -> None:
    if proof.proven_s is None or proven_s > proof.proven_s:
        proof.proven_s = proven_s
