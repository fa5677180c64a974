"""Counts how the versions of a service do while a roll-out is on.

Every node counts what it saw and tells the others; each node adds all of
it up, route by route, since a version may be bad on one route only.
"""

from collections.abc import Iterator, Mapping

from turmericcrank_core.exposure import (
    ROLLOUT_SETTINGS,
    UpstreamCounts,
    absorb_counts,
    find_fault,
    plan_rollout_settings,
)
from turmericcrank_core.rollout_phases import RolloutOrder
from turmericcrank_core.upstream_rows import ListedUpstream

from turmericcrank_node.state.evidence_book import EvidenceCounts
from turmericcrank_node.state.node_state import NodeState, read_boot_s

__all__ = (
    'ALL_ROUTES',
    'count_answers',
    'find_version_fault',
    'iter_own_evidence',
    'make_version_key',
    'note_told_evidence',
    'note_version_answer',
)

ALL_ROUTES = '*'
_PACE = '*pace'
_REPLACED = ''


def make_version_key(service: str, number: int, route: str) -> str:
    """Name the evidence on the new version of one order on one route."""
    return f'{service}/{number}/{route}'


def note_version_answer(
    state: NodeState,
    order: RolloutOrder,
    upstream: ListedUpstream,
    route: str,
    is_error: bool,
    is_slow: bool | None,
) -> None:
    """Count one answer during a roll-out that this node saw.

    Answers of the version that is replaced tell which failures are usual;
    they are counted for all of its upstreams together.

    Args:
        state: The node.
        order: The order by which a version is new.
        upstream: Where the answer came from.
        route: Name of its route.
        is_error: Whether it was a failure of the upstream's own.
        is_slow: Whether it came far slower than usual; None if unknown.
    """
    is_new = upstream.version == order.version
    upstream_id = upstream.upstream_id if is_new else _REPLACED
    for name in (route, ALL_ROUTES):
        key = make_version_key(order.service, order.number, name)
        _count(state, key, upstream_id, EvidenceCounts(1, int(is_error), 0))
    if is_slow is not None and is_new:
        key = make_version_key(order.service, order.number, _PACE)
        _count(state, key, upstream_id, EvidenceCounts(1, 0, int(is_slow)))


def _count(
    state: NodeState,
    version_key: str,
    upstream_id: str,
    added: EvidenceCounts,
) -> None:
    counts = state.evidence.own_by_key.setdefault(
        (version_key, upstream_id), EvidenceCounts()
    )
    counts.n_answers += added.n_answers
    counts.n_errors += added.n_errors
    counts.n_slow += added.n_slow
    counts.changed_s = read_boot_s()
    _absorb(
        state,
        version_key,
        upstream_id,
        UpstreamCounts(added.n_answers, added.n_errors, added.n_slow),
    )


def note_told_evidence(
    state: NodeState,
    node_key: str,
    counts_by_key: Mapping[tuple[str, str], EvidenceCounts],
) -> None:
    """Take the counts of another node; they only grow."""
    told_by_key = state.evidence.told_by_node.setdefault(node_key, {})
    for key, counts in counts_by_key.items():
        before = told_by_key.get(key, EvidenceCounts())
        if counts.n_answers > before.n_answers:
            told_by_key[key] = counts
            added = UpstreamCounts(
                counts.n_answers - before.n_answers,
                counts.n_errors - before.n_errors,
                counts.n_slow - before.n_slow,
            )
            _absorb(state, *key, added)


def iter_own_evidence(
    state: NodeState,
) -> Iterator[tuple[tuple[str, str], EvidenceCounts]]:
    """Yield what this node saw of the roll-outs that still go on."""
    running = tuple(
        make_version_key(rollout.order.service, rollout.order.number, '')
        for rollout in state.rollouts_by_service.values()
        if not rollout.phase.is_final
    )
    return (
        (key, counts)
        for key, counts in state.evidence.own_by_key.items()
        if key[0].startswith(running)
    )


def count_answers(state: NodeState, service: str, number: int) -> int:
    """Count the answers that all nodes have seen of a new version."""
    key = make_version_key(service, number, ALL_ROUTES)
    evidence = state.evidence.pool.evidence_by_version.get(key)
    return evidence.total.n_answers if evidence else 0


def find_version_fault(state: NodeState, service: str, number: int) -> str:
    """Name the sign by which a new version is bad; empty while it is not."""
    prefix = make_version_key(service, number, '')
    faults = (
        find_fault(state.evidence.pool, key, ROLLOUT_SETTINGS)
        for key, _evidence in _iter_evidence(state)
        if key.startswith(prefix)
    )
    return next(filter(None, faults), '')


def _iter_evidence(state: NodeState) -> Iterator[tuple[str, object]]:
    return iter(state.evidence.pool.evidence_by_version.items())


def _absorb(
    state: NodeState, version_key: str, upstream_id: str, added: UpstreamCounts
) -> None:
    """Add counts to the usual ones, or to the evidence beside these."""
    usual = state.evidence.usual_by_key.setdefault(
        version_key, UpstreamCounts()
    )
    if upstream_id == _REPLACED:
        usual.n_answers += added.n_answers
        usual.n_errors += added.n_errors
        return
    absorb_counts(
        state.evidence.pool,
        version_key,
        upstream_id,
        added,
        None,
        plan_rollout_settings(usual.n_answers, usual.n_errors),
    )
