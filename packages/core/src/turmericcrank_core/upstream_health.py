"""Tracks the health of upstreams from the real requests of all nodes.

Each node counts the outcomes of its requests by upstream since its start and
gossips these counts, which only grow. The recent failure rate over all
nodes decides whether an upstream is temporarily ejected, that is, gets no
new requests.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = (
    'DecayedCounts',
    'OutcomeCounts',
    'UpstreamHealth',
    'end_ejections',
    'is_ejected',
    'merge_peer_counts',
    'recent_failure_rate',
    'record_outcome',
    'start_ejection',
)

_DECAY_HALF_LIFE_S = 4
_PRIOR_SUCCESSES = 4
_BASE_EJECTION_S = 0.5
_MAX_EJECTION_S = 4


@dataclass(slots=True)
class OutcomeCounts:
    """Outcome counts of one upstream since the start of a node.

    Attributes:
        n_attempts: Number of attempts with a known outcome, failed ones
            included.
        n_failures: Number of those that failed, were cut off or finished far
            too late.
        changed_s: Time of the last change of the counts, in seconds.
    """

    n_attempts: int = 0
    n_failures: int = 0
    changed_s: float = 0


@dataclass(slots=True)
class DecayedCounts:
    """Outcome counts with exponential decay.

    Attributes:
        attempts: Decayed number of attempts, failed ones included.
        failures: Decayed number of failed attempts.
        decayed_to_s: Time up to which the decay was applied, in seconds.
    """

    attempts: float = 0
    failures: float = 0
    decayed_to_s: float = 0


@dataclass(slots=True)
class UpstreamHealth:
    """Outcomes and ejections of all upstreams.

    Attributes:
        own_counts_by_id: Counts of this node.
        reported_by_node: Counts last received from each other node, by
            upstream.
        decayed_by_id: Decayed counts, summed over all nodes.
        ejected_until_s_by_id: Time until which an upstream is ejected, in
            seconds.
        n_ejections_by_id: Number of consecutive ejections, without a successful
            response in between.
    """

    own_counts_by_id: dict[str, OutcomeCounts] = field(default_factory=dict)
    reported_by_node: dict[str, dict[str, OutcomeCounts]] = field(
        default_factory=dict
    )
    decayed_by_id: dict[str, DecayedCounts] = field(default_factory=dict)
    ejected_until_s_by_id: dict[str, float] = field(default_factory=dict)
    n_ejections_by_id: dict[str, int] = field(default_factory=dict)


def record_outcome(
    health: UpstreamHealth, upstream_id: str, is_bad: bool, now_s: float
) -> None:
    """Count the outcome of one attempt of this node.

    A success ends the ejection of the upstream and resets its back-off.
    """
    counts = health.own_counts_by_id.setdefault(upstream_id, OutcomeCounts())
    counts.n_attempts += 1
    counts.n_failures += is_bad
    counts.changed_s = now_s
    if not is_bad:
        health.n_ejections_by_id.pop(upstream_id, None)
        health.ejected_until_s_by_id.pop(upstream_id, None)
    _add_counts(health, upstream_id, OutcomeCounts(1, int(is_bad)), now_s)


def merge_peer_counts(
    health: UpstreamHealth,
    node_key: str,
    rows: Iterable[tuple[str, int, int]],
    now_s: float,
) -> None:
    """Merge the counts received from another node.

    Args:
        health: Updated in place.
        node_key: Node and incarnation, so that a restarted node counts from
            zero.
        rows: Upstream, number of attempts and number of failed attempts since
            the start of that node.
        now_s: Monotonic time, in seconds.
    """
    peer_counts_by_id = health.reported_by_node.setdefault(node_key, {})
    for upstream_id, n_attempts, n_failures in rows:
        previous = peer_counts_by_id.setdefault(upstream_id, OutcomeCounts())
        added = OutcomeCounts(
            n_attempts - previous.n_attempts, n_failures - previous.n_failures
        )
        if added.n_attempts > 0:
            peer_counts_by_id[upstream_id] = OutcomeCounts(
                n_attempts, n_failures
            )
            _add_counts(health, upstream_id, added, now_s)


def recent_failure_rate(
    health: UpstreamHealth, upstream_id: str, now_s: float
) -> float:
    """Estimate the recent failure rate; 0 for an unknown upstream.

    ``_PRIOR_SUCCESSES`` successes are added to the counts, so that a few
    failures of an upstream with few attempts do not yield a high rate.
    """
    decayed = health.decayed_by_id.get(upstream_id)
    if decayed is None:
        return 0
    _apply_decay(decayed, now_s)
    return decayed.failures / (decayed.attempts + _PRIOR_SUCCESSES)


def start_ejection(
    health: UpstreamHealth, upstream_id: str, now_s: float
) -> None:
    """Eject an upstream for a time that doubles each time, up to a maximum.

    An upstream that is already ejected is left as it is.
    """
    if is_ejected(health, upstream_id, now_s):
        return
    n_ejections = health.n_ejections_by_id.get(upstream_id, 0)
    health.n_ejections_by_id[upstream_id] = n_ejections + 1
    ejection_s = min(_MAX_EJECTION_S, _BASE_EJECTION_S * 2**n_ejections)
    health.ejected_until_s_by_id[upstream_id] = now_s + ejection_s


def end_ejections(health: UpstreamHealth) -> None:
    """End all ejections, since their cause was not the upstreams."""
    health.ejected_until_s_by_id.clear()
    health.n_ejections_by_id.clear()


def is_ejected(health: UpstreamHealth, upstream_id: str, now_s: float) -> bool:
    """Return whether an upstream is ejected."""
    return health.ejected_until_s_by_id.get(upstream_id, 0) > now_s


def _add_counts(
    health: UpstreamHealth, upstream_id: str, added: OutcomeCounts, now_s: float
) -> None:
    decayed = health.decayed_by_id.setdefault(
        upstream_id, DecayedCounts(decayed_to_s=now_s)
    )
    _apply_decay(decayed, now_s)
    decayed.attempts += added.n_attempts
    decayed.failures += added.n_failures


def _apply_decay(decayed: DecayedCounts, now_s: float) -> None:
    factor = math.pow(
        2, -max(0, now_s - decayed.decayed_to_s) / _DECAY_HALF_LIFE_S
    )
    decayed.attempts *= factor
    decayed.failures *= factor
    decayed.decayed_to_s = now_s
