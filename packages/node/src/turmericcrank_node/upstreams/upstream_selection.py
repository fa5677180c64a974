"""Finds the upstreams that are eligible for a request and selects one."""

from collections.abc import Iterator
from dataclasses import dataclass

from turmericcrank_core.placement import (
    Candidate,
    PlacementSettings,
    choose_upstream,
)
from turmericcrank_core.rollout_phases import (
    RolloutPhase,
    RolloutState,
    plan_canary_share,
)
from turmericcrank_core.upstream_health import is_ejected, recent_failure_rate
from turmericcrank_core.upstream_notices import is_leaving, remaining_deferral_s
from turmericcrank_core.upstream_registry import ListedUpstream, iter_usable
from turmericcrank_core.version_choice import choose_versions

from turmericcrank_node.control.version_evidence import count_version_responses
from turmericcrank_node.state.node_state import NodeState, read_boottime_s
from turmericcrank_node.upstreams.brittle_upstreams import has_slot
from turmericcrank_node.upstreams.request_limits import (
    has_permit,
    plan_permit_wait_s,
)

__all__ = (
    'UpstreamRequirements',
    'count_limited',
    'count_running',
    'find_rollout',
    'select_upstream',
    'shortest_retry_after_s',
)

_JITTER = 0.02
_SETTINGS = PlacementSettings()


@dataclass(slots=True, frozen=True)
class UpstreamRequirements:
    """Upstream requirements of a request.

    Attributes:
        service: Service that handles the request.
        session_key: Key of its session; without a session, made from its
            request id.
        session_version: Version that its session last ran on; empty if
            unknown.
        prefix: Last shared prefix of its prompt; empty for none.
    """

    service: str
    session_key: str
    session_version: str
    prefix: str


def select_upstream(
    state: NodeState,
    requirements: UpstreamRequirements,
    tried_ids: frozenset[str],
) -> ListedUpstream | None:
    """Select an upstream that was not tried yet; None if there is none."""
    now_s = read_boottime_s()
    versions = choose_versions(
        state.versions.known_by_service.get(requirements.service, []),
        find_rollout(state, requirements.service),
        requirements.session_version,
        requirements.session_key,
        _plan_session_share(state, requirements.service),
    )
    for version in versions:
        candidates = [
            candidate
            for candidate in _iter_candidates(
                state, requirements.service, now_s
            )
            if candidate.upstream.version == version
            and candidate.upstream.upstream_id not in tried_ids
        ]
        chosen = _select_best(state, requirements, candidates, now_s)
        if chosen is not None:
            return chosen
    return None


def _plan_session_share(state: NodeState, service: str) -> float:
    """Return the share of new sessions that go to the canary version."""
    rollout = state.rollouts_by_service.get(service)
    if rollout is None:
        return 0
    bounds = state.settings.bounds
    n_responses = count_version_responses(state, service, rollout.order.number)
    return plan_canary_share(
        bounds.exposure_share, bounds.exposure_slack, n_responses
    )


def find_rollout(state: NodeState, service: str) -> RolloutState | None:
    """Return the rollout of a service as this node applies it.

    A node that has found the new version to be bad treats the rollout as
    rolled back, even before the store says so.
    """
    rollout = state.rollouts_by_service.get(service)
    if rollout is None or rollout.phase.is_final:
        return rollout
    order = rollout.order
    if (service, order.number) in state.abort_reasons_by_order:
        return RolloutState(order, RolloutPhase.rolled_back, rollout.began_s)
    return rollout


def count_running(state: NodeState, upstream_id: str) -> int:
    """Count the in-flight requests at an upstream, as reported by all nodes."""
    reported = state.peer_loads.total_by_id[upstream_id]
    return reported + state.running_by_id.get(upstream_id, 0)


def shortest_retry_after_s(state: NodeState, service: str) -> float:
    """Return the time until an upstream accepts requests again, in seconds.

    It is 0 if one accepts requests now, or if all upstreams are draining.
    """
    now_s = read_boottime_s()
    return min(
        (
            max(
                remaining_deferral_s(
                    state.notices, upstream.upstream_id, now_s
                ),
                plan_permit_wait_s(state, upstream.upstream_id),
            )
            for upstream in iter_usable(state.upstream_registry, service, now_s)
            if not is_leaving(state.notices, upstream)
        ),
        default=0,
    )


def count_limited(state: NodeState, service: str) -> int:
    """Count the usable upstreams that are at their request limit."""
    usable = iter_usable(state.upstream_registry, service, read_boottime_s())
    return sum(
        not has_permit(state, upstream.upstream_id) for upstream in usable
    )


def _iter_available(
    state: NodeState, service: str, now_s: float
) -> Iterator[ListedUpstream]:
    """Yield the listed upstreams that may get a request from this node now.

    They are neither draining nor deferred, nor at their request limit, nor
    brittle and at this node's share of their slots.
    """
    notices = state.notices
    for upstream in iter_usable(state.upstream_registry, service, now_s):
        wait_s = remaining_deferral_s(notices, upstream.upstream_id, now_s)
        if wait_s > 0 or is_leaving(notices, upstream):
            continue
        if has_permit(state, upstream.upstream_id) and has_slot(
            state, upstream
        ):
            yield upstream


def _iter_candidates(
    state: NodeState, service: str, now_s: float
) -> Iterator[Candidate]:
    for upstream in _iter_available(state, service, now_s):
        upstream_id = upstream.upstream_id
        yield Candidate(
            upstream,
            count_running(state, upstream_id),
            recent_failure_rate(state.upstream_health, upstream_id, now_s),
            upstream_id in state.upstream_registry.missing_since_s_by_id,
        )


def _select_best(
    state: NodeState,
    requirements: UpstreamRequirements,
    candidates: list[Candidate],
    now_s: float,
) -> ListedUpstream | None:
    """Select an upstream that is not ejected, or else an ejected one."""
    preferred = [
        candidate
        for candidate in candidates
        if not is_ejected(
            state.upstream_health, candidate.upstream.upstream_id, now_s
        )
    ]
    best = choose_upstream(
        preferred or candidates,
        requirements.prefix,
        state.settings.data_centre,
        lambda: state.random_source.random() * _JITTER,
        _SETTINGS,
    )
    return best.upstream if best else None
