"""Expected quality and cost of each way to answer a class of requests."""

from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = (
    'CascadeSettings',
    'ClassStats',
    'Outlook',
    'TierStats',
    'Way',
    'find_bin',
    'iter_outlooks',
)

_N_BINS = 21
_BIN_WIDTH = 5
_BEST_RATING = 100
_MIDDLE = 0.5


@dataclass(slots=True, frozen=True)
class Way:
    """How a request is answered.

    Attributes:
        tier: Tier that answers first.
        threshold: Rating under which the best tier answers instead; 0 for
            a direct answer that is not rated first.
        is_trial: Whether it is tried in order to learn; its answer should
            be rated in any case.
    """

    tier: int
    threshold: int = 0
    is_trial: bool = False


@dataclass(slots=True, frozen=True)
class CascadeSettings:
    """How the policy learns.

    Attributes:
        target: Mean rating to reach.
        n_tiers: Number of tiers, at least 2.
        may_verify: Whether an answer may be rated before it is given; not
            for streams and not where latency weighs more.
        margin: Rating above the target that is aimed at, in points.
        trial_share: Share of requests that try a cheaper tier in the end.
        n_trials: Trials by which a new class is learned quickly.
        max_trial_share: Share of trials in a new class.
        prior_weight: Weight of the cautious prior, in ratings.
        plan_every: Requests between two plans.
        reliability: Share of the spread of ratings that is true quality.
        repay_requests: Requests over which a measured shortfall of rating
            is made good.
        max_repay: Most rating that is added to the aim for it.
    """

    target: float
    n_tiers: int
    may_verify: bool = True
    margin: float = 0.5
    trial_share: float = 0.005
    n_trials: float = 20
    max_trial_share: float = 0.2
    prior_weight: float = 4
    plan_every: int = 50
    reliability: float = 0.9
    repay_requests: float = 1000
    max_repay: float = 10


def _make_bins() -> list[float]:
    return [0.0 for _ in range(_N_BINS)]


@dataclass(slots=True)
class TierStats:
    """What is known of one tier in one class.

    Attributes:
        counts: Ratings by bin.
        rating_sum: Sum of the ratings.
        n_ratings: Number of the ratings.
        cost_sum: Sum of costs, in microcents.
        n_costs: Number of costs.
    """

    counts: list[float] = field(default_factory=_make_bins)
    rating_sum: float = 0
    n_ratings: float = 0
    cost_sum: float = 0
    n_costs: float = 0


@dataclass(slots=True)
class ClassStats:
    """What is known of one class of requests.

    Attributes:
        n_requests: Requests seen.
        tiers: Statistics by tier.
        escalated_sum: Ratings of the best tier after escalation, by bin of
            the rating that was refused.
        n_escalated: Their numbers.
        plans: The two ways that are mixed.
    """

    tiers: list[TierStats]
    n_requests: float = 0
    escalated_sum: list[float] = field(default_factory=_make_bins)
    n_escalated: list[float] = field(default_factory=_make_bins)
    plans: list[Way] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Outlook:
    """Expected quality and cost of one way."""

    way: Way
    quality: float
    cost: float


def find_bin(rating: float) -> int:
    """Find the bin of a rating, 0 to 100."""
    return min(_N_BINS - 1, max(0, int(rating // _BIN_WIDTH)))


def iter_outlooks(
    settings: CascadeSettings, stats: ClassStats
) -> Iterator[Outlook]:
    """List what each way is expected to give in one class."""
    best = settings.n_tiers - 1
    best_quality = _expected_rating(settings, stats, best)
    for tier in range(settings.n_tiers):
        quality = _expected_rating(settings, stats, tier)
        yield Outlook(Way(tier), quality, _expected_cost(stats, tier))
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
) -> Iterator[Outlook]:
    """List the thresholds of one tier, from the one that refuses least."""
    seen = stats.tiers[tier]
    kept = _list_kept_ratings(settings, seen)
    refused = [
        _escalated_rating(settings, stats, index, best_quality)
        for index in range(_N_BINS)
    ]
    best_cost = _expected_cost(stats, settings.n_tiers - 1)
    n_refused = 0.0
    quality_sum = sum(
        count * rating for count, rating in zip(seen.counts, kept, strict=True)
    )
    for index in range(_N_BINS - 1):
        n_refused += seen.counts[index]
        quality_sum += seen.counts[index] * (refused[index] - kept[index])
        yield Outlook(
            Way(tier, (index + 1) * _BIN_WIDTH),
            quality_sum / seen.n_ratings,
            _expected_cost(stats, tier)
            + best_cost * n_refused / seen.n_ratings,
        )


def _list_kept_ratings(
    settings: CascadeSettings, seen: TierStats
) -> list[float]:
    """Give the quality expected of an answer that is kept, by bin.

    A rating is partly noise, so it is shrunk towards the mean.
    """
    mean = seen.rating_sum / seen.n_ratings
    middles = [
        min(_BEST_RATING, (index + _MIDDLE) * _BIN_WIDTH)
        for index in range(_N_BINS)
    ]
    return [mean + settings.reliability * (middle - mean) for middle in middles]


def _expected_rating(
    settings: CascadeSettings, stats: ClassStats, tier: int
) -> float:
    """Shrink the mean rating towards a cautious prior.

    The best tier is expected to reach the target, a cheaper one nothing,
    until its ratings say otherwise.
    """
    seen = stats.tiers[tier]
    is_best = tier == settings.n_tiers - 1
    prior = settings.target if is_best else 0
    weight = settings.prior_weight if is_best else settings.prior_weight / 8
    return (seen.rating_sum + weight * prior) / (seen.n_ratings + weight)


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
    """Give the mean cost; an unknown tier costs as the dearest known."""
    seen = stats.tiers[tier]
    if seen.n_costs:
        return seen.cost_sum / seen.n_costs
    known = [
        other.cost_sum / other.n_costs for other in stats.tiers if other.n_costs
    ]
    return max(known, default=1)
