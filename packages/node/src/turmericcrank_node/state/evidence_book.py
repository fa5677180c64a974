"""Holds what a node knows of versions that are rolled out."""

from dataclasses import dataclass, field

from turmericcrank_core.exposure import EvidencePool, UpstreamCounts

__all__ = ('EvidenceState', 'EvidenceCounts')


@dataclass(slots=True)
class EvidenceCounts:
    """Counts of one version on one upstream and one route.

    Attributes:
        n_answers: Answers, good and bad.
        n_errors: Failures among them.
        n_slow: Answers that came far slower than the old version's.
        changed_s: When they last changed, in seconds.
    """

    n_answers: int = 0
    n_errors: int = 0
    n_slow: int = 0
    changed_s: float = 0


@dataclass(slots=True)
class EvidenceState:
    """Evidence on versions at one node.

    Attributes:
        own_by_key: What this node saw, by version key and upstream.
        told_by_node: What the others told, by node and the same keys.
        told_by_cell: What other cells told of all their nodes, likewise.
        pool: Sums of all of it.
        usual_by_key: Answers of the replaced versions, by version key.
    """

    own_by_key: dict[tuple[str, str], EvidenceCounts] = field(
        default_factory=dict
    )
    told_by_node: dict[str, dict[tuple[str, str], EvidenceCounts]] = field(
        default_factory=dict
    )
    told_by_cell: dict[str, dict[tuple[str, str], EvidenceCounts]] = field(
        default_factory=dict
    )
    pool: EvidencePool = field(default_factory=EvidencePool)
    usual_by_key: dict[str, UpstreamCounts] = field(default_factory=dict)
