"""Expected quality and cost of each plan for answering a request class."""

from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = (
    'CascadePlan',
    'CascadeSettings',
    'ClassStats',
    'PlanEstimate',
    'TierStats',
    'find_bin',
    'iter_estimates',
)

_N_BINS = 21
_BIN_WIDTH = 5
_BEST_RATING = 100
_BIN_CENTRE = 0.5


@dataclass(slots=True, frozen=True)
class CascadePlan:
    """How a request is answered.

    Attributes:
        tier: Tier that answers first.
        threshold: Rating below which the request escalates to the best
            tier; 0 for a direct answer that is not rated before delivery.
        is_exploration: Whether the tier was chosen at random to learn its
            ratings; its answer should always be rated.
    """

    tier: int
    threshold: int = 0
    is_exploration: bool = False


@dataclass(slots=True, frozen=True)
class CascadeSettings:
    """Parameters of the cascade policy.

    Attributes:
        target: Mean rating to reach.
        n_tiers: Number of tiers, at least 2.
        may_verify: Whether an answer may be rated before it is delivered;
            false for streams and on routes that favour latency.
        margin: Safety margin above the target, in rating points.
        min_exploration_rate: Lower bound of the exploration rate, the share
            of requests that try a cheaper tier.
        exploration_budget: The exploration rate of a class is this number
            divided by its requests, within the two bounds, so that a new
            class is learned quickly.
        max_exploration_rate: Upper bound of the exploration rate, which
            holds in a new class.
        prior_weight: Weight of the pessimistic prior, in ratings.
        replan_interval: Requests between two optimizations.
        reliability: Share of the variation of ratings that is true quality
            and not noise.
        correction_requests: Requests over which a measured shortfall of the
            ratings is compensated.
        max_correction: Upper bound on that correction of the target, in points.
    """

    target: float
    n_tiers: int
    may_verify: bool = True
    margin: float = 0.5
    min_exploration_rate: float = 0.005
    exploration_budget: float = 20
    max_exploration_rate: float = 0.2
    prior_weight: float = 4
    replan_interval: int = 50
    reliability: float = 0.9
    correction_requests: float = 1000
    max_correction: float = 10


def _make_histogram() -> list[float]:
    return [0.0 for _ in range(_N_BINS)]


@dataclass(slots=True)
class TierStats:
    """Statistics of one tier in one class.

    Attributes:
        counts: Histogram of the ratings.
        rating_sum: Sum of the ratings.
        n_ratings: Number of the ratings.
        cost_sum: Sum of the costs, in microcents.
        n_costs: Number of the costs.
    """

    counts: list[float] = field(default_factory=_make_histogram)
    rating_sum: float = 0
    n_ratings: float = 0
    cost_sum: float = 0
    n_costs: float = 0


@dataclass(slots=True)
class ClassStats:
    """Statistics of one class of requests.

    Attributes:
        n_requests: Number of requests.
        tiers: Statistics by tier.
        escalated_sum: Sums of the best tier's ratings after escalation, by
            bin of the rejected rating.
        n_escalated: Number of escalations by the same bins.
        plans: The two plans that are mixed.
    """

    tiers: list[TierStats]
    n_requests: float = 0
    escalated_sum: list[float] = field(default_factory=_make_histogram)
    n_escalated: list[float] = field(default_factory=_make_histogram)
    plans: list[CascadePlan] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class PlanEstimate:
    """Expected quality and cost of one plan."""

    plan: CascadePlan
    quality: float
    cost: float


def find_bin(rating: float) -> int:
    """Return the histogram bin of a rating, 0 to 100."""
    return min(_N_BINS - 1, max(0, int(rating // _BIN_WIDTH)))


def iter_estimates(
    settings: CascadeSettings, stats: ClassStats
) -> Iterator[PlanEstimate]:
    """Yield the expected quality and cost of each plan in one class."""
    best = settings.n_tiers - 1
    best_quality = _expected_rating(settings, stats, best)
    for tier in range(settings.n_tiers):
        quality = _expected_rating(settings, stats, tier)
        yield PlanEstimate(
            CascadePlan(tier), quality, _expected_cost(stats, tier)
        )
    if not settings.may_verify:
        return
    for tier in range(best):
        if stats.tiers[tier].n_ratings >= settings.prior_weight:
            yield from _iter_thresholds(settings, stats, tier, best_quality)


def _iter_thresholds(
    settings: CascadeSettings,
    stats: ClassStats,
    tier: int,
    best_quality: float,
) -> Iterator[PlanEstimate]:
    """Yield the escalation thresholds of one tier, lowest first."""
    tier_stats = stats.tiers[tier]
    direct_ratings = _list_direct_ratings(settings, tier_stats)
    escalated_ratings = [
        _escalated_rating(settings, stats, index, best_quality)
        for index in range(_N_BINS)
    ]
    best_cost = _expected_cost(stats, settings.n_tiers - 1)
    n_rejected = 0.0
    quality_sum = sum(
        count * rating
        for count, rating in zip(tier_stats.counts, direct_ratings, strict=True)
    )
    for index in range(_N_BINS - 1):
        n_rejected += tier_stats.counts[index]
        quality_sum += tier_stats.counts[index] * (
            escalated_ratings[index] - direct_ratings[index]
        )
        yield PlanEstimate(
            CascadePlan(tier, (index + 1) * _BIN_WIDTH),
            quality_sum / tier_stats.n_ratings,
            _expected_cost(stats, tier)
            + best_cost * n_rejected / tier_stats.n_ratings,
        )


def _list_direct_ratings(
    settings: CascadeSettings, tier_stats: TierStats
) -> list[float]:
    """Return the expected quality of an answer without escalation, by bin.

    A rating is partly noise, so it is shrunk towards the mean.
    """
    mean = tier_stats.rating_sum / tier_stats.n_ratings
    bin_centres = [
        min(_BEST_RATING, (index + _BIN_CENTRE) * _BIN_WIDTH)
        for index in range(_N_BINS)
    ]
    return [
        mean + settings.reliability * (centre - mean) for centre in bin_centres
    ]


def _expected_rating(
    settings: CascadeSettings, stats: ClassStats, tier: int
) -> float:
    """Shrink the mean rating towards a pessimistic prior.

    The prior of the best tier is the target; that of a cheaper tier is 0,
    with an eighth of the weight.
    """
    tier_stats = stats.tiers[tier]
    is_best = tier == settings.n_tiers - 1
    prior = settings.target if is_best else 0
    weight = settings.prior_weight if is_best else settings.prior_weight / 8
    return (tier_stats.rating_sum + weight * prior) / (
        tier_stats.n_ratings + weight
    )


def _escalated_rating(
    settings: CascadeSettings,
    stats: ClassStats,
    index: int,
    best_quality: float,
) -> float:
    weight = settings.prior_weight
    total = stats.escalated_sum[index] + weight * best_quality
    return total / (stats.n_escalated[index] + weight)


def _expected_cost(stats: ClassStats, tier: int) -> float:
    """Return the mean cost of a tier.

    A tier without costs counts as the highest known mean, or 1 without any.
    """
    tier_stats = stats.tiers[tier]
    if tier_stats.n_costs:
        return tier_stats.cost_sum / tier_stats.n_costs
    known_means = [
        other.cost_sum / other.n_costs for other in stats.tiers if other.n_costs
    ]
    return max(known_means, default=1)
