"""Counts the responses of the versions of a service during a rollout.

Every node counts the responses that it receives and reports the counts to
the others. Each node adds up all counts, also by route, since a version may
be bad on one route only.
"""

from collections.abc import Iterator, Mapping

from turmericcrank_core.rollout_phases import RolloutOrder
from turmericcrank_core.upstream_registry import ListedUpstream
from turmericcrank_core.version_health import (
    ROLLOUT_SETTINGS,
    UpstreamCounts,
    add_counts,
    detect_regression,
    plan_rollout_settings,
)

from turmericcrank_node.state.node_state import NodeState, read_boottime_s
from turmericcrank_node.state.version_counts import EvidenceCounts

__all__ = (
    'ALL_ROUTES',
    'count_version_responses',
    'find_version_fault',
    'iter_aggregated_evidence',
    'iter_own_evidence',
    'make_version_key',
    'merge_reported_evidence',
    'record_version_response',
)

ALL_ROUTES = '*'
_TIMING = '*pace'
_BASELINE_UPSTREAM_ID = ''


def make_version_key(service: str, number: int, route: str) -> str:
    """Return the evidence key of an order's new version on one route.

    Args:
        service: Service of the order.
        number: Number of the order.
        route: Name of the route, or ``ALL_ROUTES``.
    """
    return f'{service}/{number}/{route}'


def record_version_response(
    state: NodeState,
    order: RolloutOrder,
    upstream: ListedUpstream,
    route: str,
    is_error: bool,
    is_slow: bool | None,
) -> None:
    """Count one response that this node received during a rollout.

    Responses of the replaced version give the baseline error rate; they are
    counted for all of its upstreams together.

    Args:
        state: The node.
        order: Rollout order of the new version.
        upstream: Upstream that responded.
        route: Name of the route.
        is_error: Whether it was an error response of the upstream.
        is_slow: Whether it was far slower than usual; None if unknown.
    """
    is_new = upstream.version == order.version
    upstream_id = upstream.upstream_id if is_new else _BASELINE_UPSTREAM_ID
    for name in (route, ALL_ROUTES):
        key = make_version_key(order.service, order.number, name)
        _add_counts_of_response(
            state, key, upstream_id, EvidenceCounts(1, int(is_error), 0)
        )
    if is_slow is not None and is_new:
        key = make_version_key(order.service, order.number, _TIMING)
        _add_counts_of_response(
            state, key, upstream_id, EvidenceCounts(1, 0, int(is_slow))
        )


def _add_counts_of_response(
    state: NodeState,
    version_key: str,
    upstream_id: str,
    added: EvidenceCounts,
) -> None:
    counts = state.evidence.own_by_key.setdefault(
        (version_key, upstream_id), EvidenceCounts()
    )
    counts.n_responses += added.n_responses
    counts.n_errors += added.n_errors
    counts.n_slow += added.n_slow
    counts.changed_s = read_boottime_s()
    _merge_counts(
        state,
        version_key,
        upstream_id,
        UpstreamCounts(added.n_responses, added.n_errors, added.n_slow),
    )


def merge_reported_evidence(
    state: NodeState,
    reported_by_key: dict[tuple[str, str], EvidenceCounts],
    counts_by_key: Mapping[tuple[str, str], EvidenceCounts],
    now_s: float,
) -> None:
    """Merge the counts that another node or cell reports.

    Each count only grows. The sums of a cell are sent by several of its
    nodes, which may have received different reports, so the maximum of each
    count is kept.

    Args:
        state: The node.
        reported_by_key: Counts that the same source reported before; updated
            in place.
        counts_by_key: Counts that it reports now.
        now_s: Current time, in seconds.
    """
    for key, counts in counts_by_key.items():
        before = reported_by_key.get(key, EvidenceCounts())
        added = UpstreamCounts(
            max(0, counts.n_responses - before.n_responses),
            max(0, counts.n_errors - before.n_errors),
            max(0, counts.n_slow - before.n_slow),
        )
        if not any((added.n_responses, added.n_errors, added.n_slow)):
            continue
        reported_by_key[key] = EvidenceCounts(
            before.n_responses + added.n_responses,
            before.n_errors + added.n_errors,
            before.n_slow + added.n_slow,
            now_s,
        )
        _merge_counts(state, *key, added)


def iter_own_evidence(
    state: NodeState,
) -> Iterator[tuple[tuple[str, str], EvidenceCounts]]:
    """Yield this node's counts for the rollouts in progress."""
    prefixes = _list_rollout_key_prefixes(state)
    return (
        (key, counts)
        for key, counts in state.evidence.own_by_key.items()
        if key[0].startswith(prefixes)
    )


def iter_aggregated_evidence(
    state: NodeState, since_s: float
) -> Iterator[tuple[tuple[str, str], EvidenceCounts]]:
    """Yield the sums of the counts of this node and its cell peers.

    Args:
        state: The node.
        since_s: Time in seconds; sums that have not changed since then are
            omitted.
    """
    prefixes = _list_rollout_key_prefixes(state)
    sums_by_key: dict[tuple[str, str], EvidenceCounts] = {}
    for reported_by_key in state.evidence.reported_by_node.values():
        _add_counts(sums_by_key, reported_by_key)
    _add_counts(sums_by_key, state.evidence.own_by_key)
    return (
        (key, counts)
        for key, counts in sums_by_key.items()
        if key[0].startswith(prefixes) and counts.changed_s >= since_s
    )


def _list_rollout_key_prefixes(state: NodeState) -> tuple[str, ...]:
    """List the key prefixes of the evidence on the rollouts in progress."""
    return tuple(
        make_version_key(rollout.order.service, rollout.order.number, '')
        for rollout in state.rollouts_by_service.values()
        if not rollout.phase.is_final
    )


def _add_counts(
    sums_by_key: dict[tuple[str, str], EvidenceCounts],
    added_by_key: Mapping[tuple[str, str], EvidenceCounts],
) -> None:
    for key, added in added_by_key.items():
        total = sums_by_key.setdefault(key, EvidenceCounts())
        total.n_responses += added.n_responses
        total.n_errors += added.n_errors
        total.n_slow += added.n_slow
        total.changed_s = max(total.changed_s, added.changed_s)


def count_version_responses(state: NodeState, service: str, number: int) -> int:
    """Return the number of responses of a new version, over all nodes."""
    key = make_version_key(service, number, ALL_ROUTES)
    evidence = state.evidence.pool.evidence_by_version.get(key)
    return evidence.total.n_responses if evidence else 0


def find_version_fault(state: NodeState, service: str, number: int) -> str:
    """Return the signal by which a new version is bad; empty if it is not."""
    prefix = make_version_key(service, number, '')
    faults = (
        detect_regression(state.evidence.pool, key, ROLLOUT_SETTINGS)
        for key, _evidence in _iter_evidence(state)
        if key.startswith(prefix)
    )
    return next(filter(None, faults), '')


def _iter_evidence(state: NodeState) -> Iterator[tuple[str, object]]:
    return iter(state.evidence.pool.evidence_by_version.items())


def _merge_counts(
    state: NodeState, version_key: str, upstream_id: str, added: UpstreamCounts
) -> None:
    """Add counts to the baseline or to the evidence on the new version."""
    baseline = state.evidence.baseline_by_key.setdefault(
        version_key, UpstreamCounts()
    )
    if upstream_id == _BASELINE_UPSTREAM_ID:
        baseline.n_responses += added.n_responses
        baseline.n_errors += added.n_errors
        return
    add_counts(
        state.evidence.pool,
        version_key,
        upstream_id,
        added,
        None,
        plan_rollout_settings(baseline.n_responses, baseline.n_errors),
    )
