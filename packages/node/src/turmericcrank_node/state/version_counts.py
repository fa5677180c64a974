"""Holds the evidence on versions that are being rolled out."""

from dataclasses import dataclass, field

from turmericcrank_core.version_health import UpstreamCounts, VersionEvidenceSet

__all__ = ('EvidenceCounts', 'EvidenceState')


@dataclass(slots=True)
class EvidenceCounts:
    """Counts of one version on one upstream and one route.

    Attributes:
        n_responses: Number of responses, including failed ones.
        n_errors: Number of failed responses.
        n_slow: Number of responses that were much slower than those of the
            replaced version.
        changed_s: When the counts last changed, in seconds.
    """

    n_responses: int = 0
    n_errors: int = 0
    n_slow: int = 0
    changed_s: float = 0


@dataclass(slots=True)
class EvidenceState:
    """Evidence on versions that is known to one node.

    Attributes:
        own_by_key: Counts of this node, by version key and upstream.
        reported_by_node: Counts reported by other nodes, by node and then by
            the same keys.
        reported_by_cell: Counts reported by other cells, summed over the nodes
            of each cell, by cell and then by the same keys.
        pool: Sums of all counts of the new versions.
        baseline_by_key: Baseline counts of the replaced versions, by version
            key.
    """

    own_by_key: dict[tuple[str, str], EvidenceCounts] = field(
        default_factory=dict
    )
    reported_by_node: dict[str, dict[tuple[str, str], EvidenceCounts]] = field(
        default_factory=dict
    )
    reported_by_cell: dict[str, dict[tuple[str, str], EvidenceCounts]] = field(
        default_factory=dict
    )
    pool: VersionEvidenceSet = field(default_factory=VersionEvidenceSet)
    baseline_by_key: dict[str, UpstreamCounts] = field(default_factory=dict)
