"""Chooses the upstream of one request, for engines and plain services.

An engine that has read the beginning of a prompt need not read it again.
So the last shared part of a prompt names a preferred order of upstreams,
the same at all nodes and little changed when one comes or goes (rendezvous
hashing). Source: Thaler and Ravishankar, "Using name-based mappings to
increase hit rates", IEEE/ACM ToN 6 (1998). The load of an upstream and the
share of its bad answers push a request down that order.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from turmericcrank_core.routing import hash_uniform
from turmericcrank_core.upstream_rows import ListedUpstream

__all__ = ('Candidate', 'PlacementSettings', 'choose_upstream', 'weigh')


@dataclass(slots=True, frozen=True)
class PlacementSettings:
    """How candidates are compared, in units of one full upstream.

    Attributes:
        away_cost: Cost of an upstream in another data centre.
        busy_running: Requests that keep an engine busy; fewer than its
            slots, since each one slows down the others.
        bad_cost: Cost of an upstream all of whose answers are bad.
        lapsed_cost: Cost of an upstream whose row is missing.
        order_cost: Cost of each place down the preferred order.
    """

    away_cost: float = 0.4
    busy_running: int = 8
    bad_cost: float = 6
    lapsed_cost: float = 2
    order_cost: float = 0.5


@dataclass(slots=True, frozen=True)
class Candidate:
    """One upstream and what is known of it now.

    Attributes:
        upstream: Its row.
        n_running: Requests in progress from all nodes that are heard.
        bad_share: Share of its recent answers that were bad.
        is_lapsed: Whether its row is missing.
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
    """Choose the candidate with the least cost; None without one.

    Args:
        candidates: Upstreams that may run the request.
        prefix: Last shared part of the prompt; empty for none.
        data_centre: Where this node runs.
        jitter: Gives a small random cost, so that equals share the load.
        settings: Costs.
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
    """Give the cost of a candidate, without its place in the order."""
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
