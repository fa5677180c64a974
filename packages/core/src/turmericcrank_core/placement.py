"""Chooses the upstream of one request, for engines and plain services.

An engine that has processed a prompt prefix need not process it again. The
longest prefix that a prompt shares with others therefore determines a
preference order of upstreams by rendezvous hashing: the order is the same on
all nodes and changes little when an upstream is added or removed.
Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM ToN 6 (1998). A high load or failure rate of an upstream
moves a request to a later one in that order.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from turmericcrank_core.routing import hash_uniform
from turmericcrank_core.upstream_registry import ListedUpstream

__all__ = ('Candidate', 'PlacementSettings', 'choose_upstream', 'compute_cost')


@dataclass(slots=True, frozen=True)
class PlacementSettings:
    """Weights of the cost function.

    A cost of 1 corresponds to the load of a fully loaded upstream.

    Attributes:
        remote_data_centre_cost: Cost of an upstream in another data centre.
        saturation_requests: Number of concurrent requests at which an engine
            counts as fully loaded; lower than its number of slots, since
            concurrent requests slow each other down.
        failure_cost: Cost of an upstream with a failure rate of 1.
        missing_row_cost: Cost of an upstream whose row is missing in the store.
        rank_cost: Cost of each position down the preference order.
    """

    remote_data_centre_cost: float = 0.4
    saturation_requests: int = 8
    failure_cost: float = 6
    missing_row_cost: float = 2
    rank_cost: float = 0.5


@dataclass(slots=True, frozen=True)
class Candidate:
    """One upstream and its current state.

    Attributes:
        upstream: Its row in the registry.
        n_running: Requests in progress, summed over all responsive nodes.
        failure_rate: Its recent failure rate, 0 to 1.
        is_row_missing: Whether its row is missing in the store.
    """

    upstream: ListedUpstream
    n_running: int
    failure_rate: float
    is_row_missing: bool


def choose_upstream(
    candidates: Iterable[Candidate],
    prefix: str,
    data_centre: str,
    jitter: Callable[[], float],
    settings: PlacementSettings,
) -> Candidate | None:
    """Choose the candidate with the lowest cost; None if there is none.

    Args:
        candidates: Upstreams that may run the request.
        prefix: Id of the longest shared prefix of the prompt; empty for none.
        data_centre: Data centre of this node.
        jitter: Returns a small random cost that spreads the load over
            candidates of equal cost.
        settings: Weights of the cost function.
    """
    ordered = list(candidates)
    if prefix:
        ordered.sort(
            key=lambda candidate: _rendezvous_score(prefix, candidate),
            reverse=True,
        )
    costs = [
        compute_cost(candidate, data_centre, settings)
        + jitter()
        + bool(prefix) * settings.rank_cost * rank
        for rank, candidate in enumerate(ordered)
    ]
    if not costs:
        return None
    return ordered[costs.index(min(costs))]


def compute_cost(
    candidate: Candidate, data_centre: str, settings: PlacementSettings
) -> float:
    """Return the cost of a candidate, without jitter and rank cost."""
    upstream = candidate.upstream
    capacity = max(1, min(upstream.slots, settings.saturation_requests))
    cost = (candidate.n_running + 1) / capacity
    cost += settings.failure_cost * candidate.failure_rate
    if upstream.data_centre != data_centre:
        cost += settings.remote_data_centre_cost
    if candidate.is_row_missing:
        cost += settings.missing_row_cost
    return cost


def _rendezvous_score(prefix: str, candidate: Candidate) -> float:
    return hash_uniform(f'{prefix}@{candidate.upstream.upstream_id}')
