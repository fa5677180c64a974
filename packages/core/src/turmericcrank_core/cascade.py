"""Model cascade: minimizes cost subject to a quality target.

A route with a cascade has tiers from cheapest to best. For each class of
requests the policy either answers on one tier directly, or answers on a
cheap tier, rates that answer and escalates to the best tier when the rating
is below a threshold. It learns ratings and costs by class, and optimizes
the plans of all classes together: least cost while the mean quality meets
the target. This is a Lagrangian relaxation whose multiplier, the price of
quality, is found by bisection; the two neighbouring solutions are mixed at
random so that the target is met closely.
Each optimization takes O(classes x plans).
"""

import random
from dataclasses import dataclass, field

from turmericcrank_core.cascade_estimates import (
    CascadePlan,
    CascadeSettings,
    ClassStats,
    PlanEstimate,
    TierStats,
    find_bin,
    iter_estimates,
)

__all__ = (
    'CascadePlan',
    'CascadePolicy',
    'CascadeSettings',
    'choose_plan',
    'record_cost',
    'record_escalation',
    'record_final_rating',
    'record_rating',
)

_N_BISECTIONS = 30
_MAX_PRICE = 1e9
_MIN_PRICE = 1e-6
_SQUARE_ROOT_EXPONENT = 0.5


@dataclass(slots=True)
class CascadePolicy:
    """State of the cascade policy of one route.

    Attributes:
        settings: Parameters of the policy.
        classes_by_key: Statistics by class.
        mix: Probability of the second of the two plans of a class, which has
            the higher quality and cost.
        n_since_replan: Requests since the last optimization.
        delivered_sum: Weighted sum of the ratings of delivered answers.
        n_delivered: Sum of their weights.
    """

    settings: CascadeSettings
    classes_by_key: dict[str, ClassStats] = field(default_factory=dict)
    mix: float = 1
    n_since_replan: int = 0
    delivered_sum: float = 0
    n_delivered: float = 0


def choose_plan(
    policy: CascadePolicy, class_key: str, random_source: random.Random
) -> CascadePlan:
    """Choose how one request is answered.

    Args:
        policy: State of the route; the request is counted in it.
        class_key: Class of the request.
        random_source: Random generator for the mix and for exploration.

    Returns:
        The optimized plan, or the best tier until the first optimization;
        at the exploration rate, a random cheaper tier instead.
    """
    stats = _get_or_create_class(policy, class_key)
    stats.n_requests += 1
    policy.n_since_replan += 1
    if policy.n_since_replan >= policy.settings.replan_interval:
        _update_plans(policy)
    best = policy.settings.n_tiers - 1
    if random_source.random() < _compute_exploration_rate(
        policy.settings, stats
    ):
        return CascadePlan(random_source.randrange(best), is_exploration=True)
    if not stats.plans:
        return CascadePlan(best)
    return stats.plans[int(random_source.random() < policy.mix)]


def record_rating(
    policy: CascadePolicy, class_key: str, tier: int, rating: float
) -> None:
    """Record the rating of an answer of one tier, 0 to 100."""
    stats = _get_or_create_class(policy, class_key).tiers[tier]
    stats.counts[find_bin(rating)] += 1
    stats.rating_sum += rating
    stats.n_ratings += 1


def record_escalation(
    policy: CascadePolicy, class_key: str, rejected_rating: float, rating: float
) -> None:
    """Record the best tier's rating after a cheap answer was rejected."""
    stats = _get_or_create_class(policy, class_key)
    stats.escalated_sum[find_bin(rejected_rating)] += rating
    stats.n_escalated[find_bin(rejected_rating)] += 1


def record_cost(
    policy: CascadePolicy, class_key: str, tier: int, cost: float
) -> None:
    """Record the cost of an answer of one tier, in microcents."""
    stats = _get_or_create_class(policy, class_key).tiers[tier]
    stats.cost_sum += cost
    stats.n_costs += 1


def record_final_rating(
    policy: CascadePolicy, rating: float, weight: float = 1
) -> None:
    """Record the rating of an answer that was delivered to the client.

    Args:
        policy: State of the route.
        rating: Rating, 0 to 100.
        weight: Number of answers that this one represents: the inverse of
            the sampling rate.
    """
    policy.delivered_sum += rating * weight
    policy.n_delivered += weight


def _get_or_create_class(policy: CascadePolicy, class_key: str) -> ClassStats:
    stats = policy.classes_by_key.get(class_key)
    if stats is None:
        tiers = [TierStats() for _ in range(policy.settings.n_tiers)]
        stats = ClassStats(tiers)
        policy.classes_by_key[class_key] = stats
    return stats


def _compute_exploration_rate(
    settings: CascadeSettings, stats: ClassStats
) -> float:
    """Return the exploration rate, which falls as a class gets requests."""
    share = settings.exploration_budget / stats.n_requests
    return min(
        settings.max_exploration_rate, max(settings.min_exploration_rate, share)
    )


def _update_plans(policy: CascadePolicy) -> None:
    """Optimize all plans: bisect the price of quality to meet the target."""
    policy.n_since_replan = 0
    estimates_by_key = {
        key: list(iter_estimates(policy.settings, stats))
        for key, stats in policy.classes_by_key.items()
    }
    adjusted_target = _compute_target(policy)
    low_price, high_price = _MIN_PRICE, _MAX_PRICE
    for _ in range(_N_BISECTIONS):
        mid_price = (low_price * high_price) ** _SQUARE_ROOT_EXPONENT
        if (
            _mean_quality(
                policy, _choose_estimates(estimates_by_key, mid_price)
            )
            >= adjusted_target
        ):
            high_price = mid_price
        else:
            low_price = mid_price
    low_estimates = _choose_estimates(estimates_by_key, low_price)
    high_estimates = _choose_estimates(estimates_by_key, high_price)
    for key, stats in policy.classes_by_key.items():
        stats.plans = [low_estimates[key].plan, high_estimates[key].plan]
    policy.mix = _compute_mix(
        adjusted_target,
        _mean_quality(policy, low_estimates),
        _mean_quality(policy, high_estimates),
    )


def _compute_mix(
    adjusted_target: float, low_quality: float, high_quality: float
) -> float:
    if high_quality <= low_quality:
        return 1
    return min(
        1,
        max(0, (adjusted_target - low_quality) / (high_quality - low_quality)),
    )


def _compute_target(policy: CascadePolicy) -> float:
    """Return the target with its margin, corrected by delivered ratings.

    A shortfall raises it by up to ``max_correction``; a surplus lowers it,
    at most by the margin.
    """
    settings = policy.settings
    shortfall = settings.target * policy.n_delivered - policy.delivered_sum
    correction = shortfall / settings.correction_requests
    correction = min(settings.max_correction, max(-settings.margin, correction))
    return settings.target + settings.margin + correction


def _choose_estimates(
    estimates_by_key: dict[str, list[PlanEstimate]], price: float
) -> dict[str, PlanEstimate]:
    def lagrangian(estimate: PlanEstimate) -> float:
        return estimate.cost - price * estimate.quality

    return {
        key: min(estimates, key=lagrangian)
        for key, estimates in estimates_by_key.items()
    }


def _mean_quality(
    policy: CascadePolicy, chosen: dict[str, PlanEstimate]
) -> float:
    weights = {key: policy.classes_by_key[key].n_requests for key in chosen}
    total = sum(weights.values())
    weighted_sum = sum(
        weights[key] * estimate.quality for key, estimate in chosen.items()
    )
    return weighted_sum / total if total else 0
