"""Detects regressions of a model version from the counts of all nodes.

Three signals are monitored: errors, slow first tokens and low ratings. Each
has a cumulative sum (CUSUM) test, which detects a change at any time.
Source: Page, "Continuous inspection schemes", Biometrika 41 (1954).

The contribution of each upstream to a sum is tracked. With two or more
upstreams the largest contribution is excluded from the decision, so that a
single faulty upstream VM does not stop a version. While no ratings arrive,
the ratings test does not change.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

__all__ = (
    'ROLLOUT_SETTINGS',
    'ExposureSettings',
    'FirstTokenLatencies',
    'UpstreamCounts',
    'VersionEvidence',
    'VersionEvidenceSet',
    'add_counts',
    'detect_regression',
    'is_first_token_slow',
    'mean_rating',
    'plan_rollout_settings',
)

_SLOW_FACTOR = 2.2
_ROLLOUT_GOOD_ERRORS = 0.02
_ROLLOUT_ERROR_INCREASE = 0.23
_ROLLOUT_MARGIN = 1.2
_ROLLOUT_THRESHOLD = 4.6
_PRIOR_ANSWERS = 5
_ROLLOUT_GOOD_SLOW = 0.1
_ROLLOUT_BAD_SLOW = 0.45
_LATENCY_SMOOTHING_FACTOR = 0.05


@dataclass(slots=True, frozen=True)
class ExposureSettings:
    """Parameters of the tests.

    Attributes:
        good_error_share: Share of errors of a healthy version.
        bad_error_share: Share of errors that must be detected quickly.
        good_slow_share: Share of slow first tokens of a healthy version.
        bad_slow_share: Share of slow first tokens that must be detected
            quickly.
        rating_drop: Drop of the mean rating that must be detected, in
            points.
        rating_deviation: Standard deviation of one rating, in points.
        min_ratings: Number of ratings from which a mean is used.
        threshold: Sum at which the version counts as bad.
    """

    good_error_share: float = 0.01
    bad_error_share: float = 0.25
    good_slow_share: float = 0.05
    bad_slow_share: float = 0.5
    rating_drop: float = 20
    rating_deviation: float = 18
    min_ratings: int = 30
    threshold: float = 9


# A new rollout gets few requests, so it must be stopped on less evidence.
ROLLOUT_SETTINGS = ExposureSettings(
    good_error_share=_ROLLOUT_GOOD_ERRORS,
    bad_error_share=_ROLLOUT_GOOD_ERRORS + _ROLLOUT_ERROR_INCREASE,
    good_slow_share=_ROLLOUT_GOOD_SLOW,
    bad_slow_share=_ROLLOUT_BAD_SLOW,
    threshold=_ROLLOUT_THRESHOLD,
)


def plan_rollout_settings(n_responses: int, n_errors: int) -> ExposureSettings:
    """Derive the test parameters from the version that is replaced.

    Args:
        n_responses: Answers of the version that is replaced.
        n_errors: Errors among them; some requests fail on any version.
    """
    baseline_share = n_errors / (n_responses + _PRIOR_ANSWERS)
    good_share = _ROLLOUT_GOOD_ERRORS + _ROLLOUT_MARGIN * baseline_share
    return replace(
        ROLLOUT_SETTINGS,
        good_error_share=good_share,
        bad_error_share=good_share + _ROLLOUT_ERROR_INCREASE,
    )


@dataclass(slots=True)
class UpstreamCounts:
    """Counts of one version on one upstream, or sums of them.

    Attributes:
        n_responses: All answers, including errors.
        n_errors: Errors among them.
        n_slow: Slow first tokens among them.
        n_ratings: Answers that were rated.
        rating_sum: Sum of the ratings.
    """

    n_responses: int = 0
    n_errors: int = 0
    n_slow: int = 0
    n_ratings: int = 0
    rating_sum: float = 0


@dataclass(slots=True)
class _CusumTest:
    """A CUSUM test with the contribution of each upstream to its sum."""

    sums_by_upstream: dict[str, float] = field(default_factory=dict)

    def add(self, upstream_id: str, score: float) -> None:
        sums = self.sums_by_upstream
        sums[upstream_id] = sums.get(upstream_id, 0) + score
        if sum(sums.values()) <= 0:
            for known_id in sums:
                sums[known_id] = 0

    def robust_sum(self) -> float:
        sums = self.sums_by_upstream.values()
        if len(sums) < 2:
            return sum(sums)
        return sum(sums) - max(sums)


@dataclass(slots=True)
class VersionEvidence:
    """Evidence of all nodes about one version.

    Attributes:
        total: Counts since the first evidence.
        errors: CUSUM test of errors.
        slow: CUSUM test of slow first tokens.
        ratings: CUSUM test of ratings.
    """

    total: UpstreamCounts = field(default_factory=UpstreamCounts)
    errors: _CusumTest = field(default_factory=_CusumTest)
    slow: _CusumTest = field(default_factory=_CusumTest)
    ratings: _CusumTest = field(default_factory=_CusumTest)


@dataclass(slots=True)
class VersionEvidenceSet:
    """Evidence about all versions, by the stop key of their pool."""

    evidence_by_version: dict[str, VersionEvidence] = field(
        default_factory=dict
    )


@dataclass(slots=True)
class FirstTokenLatencies:
    """Moving averages of the time to first token, by stop key, in seconds."""

    mean_s_by_version: dict[str, float] = field(default_factory=dict)


def is_first_token_slow(
    latencies: FirstTokenLatencies,
    version: str,
    others: Iterable[str],
    first_token_s: float,
    limit_s: float,
) -> bool:
    """Record a first token; return whether its version made it slow.

    A time over the limit counts only when it is also far above the current
    average of the fastest other version of the route or, without others,
    above the earlier average of this version. So a queue that delays all
    versions does not stop any of them.

    Args:
        latencies: Moving averages; updated with this time.
        version: Stop key of the pool that answered.
        others: Stop keys of the other pools of the route.
        first_token_s: Time to the first token, in seconds.
        limit_s: Time up to which a first token is never slow, in seconds.
    """
    means = latencies.mean_s_by_version
    own_mean_s = means.get(version, first_token_s)
    other_means_s = [means[other] for other in others if other in means]
    reference_s = min(other_means_s, default=own_mean_s)
    slow = first_token_s > max(limit_s, _SLOW_FACTOR * reference_s)
    # Clip outliers, so that a rare stall does not raise the average.
    clipped_s = min(first_token_s, _SLOW_FACTOR * own_mean_s)
    means[version] = own_mean_s + _LATENCY_SMOOTHING_FACTOR * (
        clipped_s - own_mean_s
    )
    return slow


def add_counts(
    evidence_set: VersionEvidenceSet,
    version: str,
    upstream_id: str,
    added: UpstreamCounts,
    baseline_rating: float | None,
    settings: ExposureSettings,
) -> None:
    """Add the counts of one node since its previous report.

    Args:
        evidence_set: Modified in place.
        version: Stop key of the pool.
        upstream_id: Upstream that answered.
        added: Counts since the previous report.
        baseline_rating: Mean rating of the replaced version or, without
            one, the earlier mean of this version; None while unknown.
        settings: Parameters of the tests.
    """
    evidence = evidence_set.evidence_by_version.setdefault(
        version, VersionEvidence()
    )
    n_good = added.n_responses - added.n_errors
    evidence.errors.add(
        upstream_id,
        _score_share(
            added.n_errors,
            n_good,
            settings.good_error_share,
            settings.bad_error_share,
        ),
    )
    evidence.slow.add(
        upstream_id,
        _score_share(
            added.n_slow,
            n_good - added.n_slow,
            settings.good_slow_share,
            settings.bad_slow_share,
        ),
    )
    if baseline_rating is not None:
        evidence.ratings.add(
            upstream_id, _score_ratings(added, baseline_rating, settings)
        )
    _add_to_total(evidence.total, added)


def detect_regression(
    evidence_set: VersionEvidenceSet, version: str, settings: ExposureSettings
) -> str:
    """Return the first signal that shows a regression, or an empty string."""
    evidence = evidence_set.evidence_by_version.get(version)
    if evidence is None:
        return ''
    tests_by_name = {
        'errors': evidence.errors,
        'slow': evidence.slow,
        'ratings': evidence.ratings,
    }
    for name, test in tests_by_name.items():
        if test.robust_sum() >= settings.threshold:
            return name
    return ''


def mean_rating(
    evidence_set: VersionEvidenceSet, version: str, settings: ExposureSettings
) -> float | None:
    """Return the mean rating of a version; None with too few ratings."""
    evidence = evidence_set.evidence_by_version.get(version)
    if evidence is None or evidence.total.n_ratings < settings.min_ratings:
        return None
    return evidence.total.rating_sum / evidence.total.n_ratings


def _score_share(n_bad: int, n_good: int, good: float, bad: float) -> float:
    """Return the log-likelihood ratio of the counts, bad against good."""
    bad_score = n_bad * math.log(bad / good)
    return bad_score + n_good * math.log((1 - bad) / (1 - good))


def _score_ratings(
    added: UpstreamCounts, baseline: float, settings: ExposureSettings
) -> float:
    """Return the log-likelihood ratio of the ratings, drop against none."""
    midpoint = baseline - settings.rating_drop / 2
    shortfall = added.n_ratings * midpoint - added.rating_sum
    return shortfall * settings.rating_drop / settings.rating_deviation**2


def _add_to_total(total: UpstreamCounts, added: UpstreamCounts) -> None:
    total.n_responses += added.n_responses
    total.n_errors += added.n_errors
    total.n_slow += added.n_slow
    total.n_ratings += added.n_ratings
    total.rating_sum += added.rating_sum
