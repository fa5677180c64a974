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

from turmericcrank_core.cascade_outlook import (
    CascadeSettings,
    ClassStats,
    Outlook,
    TierStats,
    Way,
    find_bin,
    iter_outlooks,
)

__all__ = (
    'CascadePolicy',
    'CascadeSettings',
    'Way',
    'choose_way',
    'learn_cost',
    'learn_escalation',
    'learn_final',
    'learn_rating',
)

_N_BISECTIONS = 30
_MAX_PRICE = 1e9
_MIN_PRICE = 1e-6
_MIDDLE = 0.5


@dataclass(slots=True)
class CascadePolicy:
    """State of the cascade policy of one route.

    Attributes:
        settings: Parameters of the policy.
        classes_by_key: Statistics by class.
        mix: Probability of the more expensive one of the two plans.
        n_since_plan: Requests since the last optimization.
        final_sum: Weighted sum of the ratings of delivered answers.
        n_final: Sum of their weights.
    """

    settings: CascadeSettings
    classes_by_key: dict[str, ClassStats] = field(default_factory=dict)
    mix: float = 1
    n_since_plan: int = 0
    final_sum: float = 0
    n_final: float = 0


def choose_way(
    policy: CascadePolicy, class_key: str, random_source: random.Random
) -> Way:
    """Choose how one request is answered.

    Args:
        policy: State of the route, in which the request is counted.
        class_key: Class of the request.
        random_source: Random generator for the mix and for exploration.

    Returns:
        The plan; the best tier until the first optimization.
    """
    stats = _find_class(policy, class_key)
    stats.n_requests += 1
    policy.n_since_plan += 1
    if policy.n_since_plan >= policy.settings.plan_every:
        _plan(policy)
    best = policy.settings.n_tiers - 1
    if random_source.random() < _plan_trial_share(policy.settings, stats):
        return Way(random_source.randrange(best), is_trial=True)
    if not stats.plans:
        return Way(best)
    return stats.plans[int(random_source.random() < policy.mix)]


def learn_rating(
    policy: CascadePolicy, class_key: str, tier: int, rating: float
) -> None:
    """Record the rating of an answer of one tier, 0 to 100."""
    stats = _find_class(policy, class_key).tiers[tier]
    stats.counts[find_bin(rating)] += 1
    stats.rating_sum += rating
    stats.n_ratings += 1


def learn_escalation(
    policy: CascadePolicy, class_key: str, refused: float, rating: float
) -> None:
    """Record the best tier's rating after a cheap answer was rejected."""
    stats = _find_class(policy, class_key)
    stats.escalated_sum[find_bin(refused)] += rating
    stats.n_escalated[find_bin(refused)] += 1


def learn_cost(
    policy: CascadePolicy, class_key: str, tier: int, cost: float
) -> None:
    """Record the cost of an answer of one tier, in microcents."""
    stats = _find_class(policy, class_key).tiers[tier]
    stats.cost_sum += cost
    stats.n_costs += 1


def learn_final(
    policy: CascadePolicy, rating: float, weight: float = 1
) -> None:
    """Record the rating of an answer that was delivered to the client.

    Args:
        policy: State of the route.
        rating: Rating, 0 to 100.
        weight: Number of answers that this one represents: the inverse of
            the sampling rate.
    """
    policy.final_sum += rating * weight
    policy.n_final += weight


def _find_class(policy: CascadePolicy, class_key: str) -> ClassStats:
    stats = policy.classes_by_key.get(class_key)
    if stats is None:
        tiers = [TierStats() for _ in range(policy.settings.n_tiers)]
        stats = ClassStats(tiers)
        policy.classes_by_key[class_key] = stats
    return stats


def _plan_trial_share(settings: CascadeSettings, stats: ClassStats) -> float:
    """Return the exploration rate, which falls as a class gets requests."""
    share = settings.n_trials / stats.n_requests
    return min(settings.max_trial_share, max(settings.trial_share, share))


def _plan(policy: CascadePolicy) -> None:
    """Optimize all plans: bisect the price of quality to meet the target."""
    policy.n_since_plan = 0
    outlooks_by_key = {
        key: list(iter_outlooks(policy.settings, stats))
        for key, stats in policy.classes_by_key.items()
    }
    aim = _plan_aim(policy)
    low, high = _MIN_PRICE, _MAX_PRICE
    for _ in range(_N_BISECTIONS):
        middle = (low * high) ** _MIDDLE
        if _mean_quality(policy, _pick(outlooks_by_key, middle)) >= aim:
            high = middle
        else:
            low = middle
    cheap = _pick(outlooks_by_key, low)
    dear = _pick(outlooks_by_key, high)
    for key, stats in policy.classes_by_key.items():
        stats.plans = [cheap[key].way, dear[key].way]
    policy.mix = _plan_mix(
        aim, _mean_quality(policy, cheap), _mean_quality(policy, dear)
    )


def _plan_mix(aim: float, low_quality: float, high_quality: float) -> float:
    if high_quality <= low_quality:
        return 1
    return min(1, max(0, (aim - low_quality) / (high_quality - low_quality)))


def _plan_aim(policy: CascadePolicy) -> float:
    """Raise the target while the delivered ratings fall short of it."""
    settings = policy.settings
    owed = settings.target * policy.n_final - policy.final_sum
    repay = owed / settings.repay_requests
    repay = min(settings.max_repay, max(-settings.margin, repay))
    return settings.target + settings.margin + repay


def _pick(
    outlooks_by_key: dict[str, list[Outlook]], price: float
) -> dict[str, Outlook]:
    def loss(outlook: Outlook) -> float:
        return outlook.cost - price * outlook.quality

    return {
        key: min(outlooks, key=loss)
        for key, outlooks in outlooks_by_key.items()
    }


def _mean_quality(policy: CascadePolicy, picked: dict[str, Outlook]) -> float:
    weights = {key: policy.classes_by_key[key].n_requests for key in picked}
    total = sum(weights.values())
    weighed = sum(
        weights[key] * outlook.quality for key, outlook in picked.items()
    )
    return weighed / total if total else 0
