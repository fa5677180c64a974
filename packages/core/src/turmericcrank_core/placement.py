"""Chooses the upstream of one request, for engines and plain services.

An engine that has processed a prompt prefix keeps it in its cache and need
not process it again. The last shared part of a prompt therefore determines
a preference order of upstreams by rendezvous hashing: the order is the same
on all nodes and changes little when an upstream is added or removed.
Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM ToN 6 (1998). A high load or failure rate of an upstream
moves a request to a later one in that order.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from turmericcrank_core.routing import hash_uniform
from turmericcrank_core.upstream_rows import ListedUpstream

__all__ = ('Candidate', 'PlacementSettings', 'choose_upstream', 'weigh')


@dataclass(slots=True, frozen=True)
class PlacementSettings:
    """Weights of the cost function; a cost of 1 is one fully loaded upstream.

    Attributes:
        away_cost: Cost of an upstream in another data centre.
        busy_running: Number of concurrent requests at which an engine counts
            as fully loaded; lower than its number of slots, since concurrent
            requests slow each other down.
        bad_cost: Cost of an upstream with a failure rate of 1.
        lapsed_cost: Cost of an upstream whose row is missing in the store.
        order_cost: Cost of each position down the preference order.
    """

    away_cost: float = 0.4
    busy_running: int = 8
    bad_cost: float = 6
    lapsed_cost: float = 2
    order_cost: float = 0.5


@dataclass(slots=True, frozen=True)
class Candidate:
    """One upstream and its current state.

    Attributes:
        upstream: Its row in the registry.
        n_running: Requests in progress, summed over all responsive nodes.
        bad_share: Its recent failure rate, 0 to 1.
        is_lapsed: Whether its row is missing in the store.
    """

    upstream: ListedUpstream
    n_running: int
    bad_share: float
    is_lapsed: bool


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
        prefix: Last shared part of the prompt; empty for none.
        data_centre: Data centre of this node.
        jitter: Returns a small random cost that spreads the load over
            candidates of equal cost.
        settings: Weights of the cost function.
    """
    ordered = list(candidates)
    if prefix:
        ordered.sort(key=lambda one: _score(prefix, one), reverse=True)
    costs = [
        weigh(one, data_centre, settings)
        + jitter()
        + bool(prefix) * settings.order_cost * place
        for place, one in enumerate(ordered)
    ]
    if not costs:
        return None
    return ordered[costs.index(min(costs))]


def weigh(
    candidate: Candidate, data_centre: str, settings: PlacementSettings
) -> float:
    """Return the cost of a candidate without its preference-order cost."""
    upstream = candidate.upstream
    n_busy = max(1, min(upstream.slots, settings.busy_running))
    cost = (candidate.n_running + 1) / n_busy
    cost += settings.bad_cost * candidate.bad_share
    if upstream.data_centre != data_centre:
        cost += settings.away_cost
    if candidate.is_lapsed:
        cost += settings.lapsed_cost
    return cost


def _score(prefix: str, candidate: Candidate) -> float:
    return hash_uniform(f'{prefix}@{candidate.upstream.upstream_id}')
