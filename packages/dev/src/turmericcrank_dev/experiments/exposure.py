"""Number of requests that a bad version serves before it is stopped.

Several nodes serve a new version beside an old one. Each reports its counts at
intervals, and the decision to stop is made from the merged counts. All
requests to the new version count from the start of the fault, including those
between the decision and its arrival at the other nodes.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from turmericcrank_core.version_health import (
    ExposureSettings,
    UpstreamCounts,
    VersionEvidenceSet,
    add_counts,
    detect_regression,
)

from turmericcrank_dev.experiments.results import BenchLine, make_line

__all__ = ('run_exposure',)

HELD_OUT_SEEDS = range(300, 400)
_N_HEALTHY = 400
_RATE_PER_S = 40
_REPORT_INTERVAL_S = 0.25
_STOP_DELAY_S = 0.1
_MAX_REQUESTS = 4000
_N_UPSTREAMS = 4
_RATED_SHARE = 0.5
_RATING_DEVIATION = 15
_GOOD_RATING = 80
_SETTINGS = ExposureSettings()


@dataclass(slots=True, frozen=True)
class Fault:
    """Fault of a version; the defaults describe a healthy one.

    Attributes:
        error_share: Share of requests that fail.
        rating: Mean rating of the answers.
        bad_upstreams: Number of upstreams with the fault.
    """

    error_share: float = 0.005
    rating: float = _GOOD_RATING
    bad_upstreams: int = _N_UPSTREAMS


def run_exposure() -> Iterator[BenchLine]:
    """Measure the requests served under each fault, and false stops."""
    for name, fault, target in (
        ('all_errors', Fault(error_share=1), 40),
        ('errors_in_half', Fault(error_share=0.5), 40),
        ('ratings_20_lower', Fault(rating=_GOOD_RATING - 20), 200),
    ):
        exposed = [_count_exposed(seed, fault) for seed in HELD_OUT_SEEDS]
        exposed.sort()
        yield make_line(
            f'exposure.{name}.95th_percentile',
            exposed[int(0.95 * len(exposed))],
            'requests',
            at_most=target,
        )
    healthy = [
        _count_exposed(seed, Fault()) < _MAX_REQUESTS
        for seed in range(1000, 1000 + _N_HEALTHY)
    ]
    yield make_line(
        'exposure.false_stops_of_healthy_versions',
        sum(healthy) / len(healthy),
        'share',
        at_most=0.01,
    )
    one_bad = [
        _count_exposed(seed, Fault(error_share=1, bad_upstreams=1))
        < _MAX_REQUESTS
        for seed in HELD_OUT_SEEDS
    ]
    yield make_line(
        'exposure.stops_for_one_bad_upstream',
        sum(one_bad) / len(one_bad),
        'share',
        at_most=0.01,
    )


def _count_exposed(seed: int, fault: Fault) -> int:
    """Return the number of requests until the stop or ``_MAX_REQUESTS``."""
    rng = random.Random(seed)
    pool = VersionEvidenceSet()
    n_served = 0
    unreported: list[tuple[str, UpstreamCounts]] = []
    next_report_s = _REPORT_INTERVAL_S
    now_s = 0.0
    while n_served < _MAX_REQUESTS:
        now_s += rng.expovariate(_RATE_PER_S)
        if now_s >= next_report_s:
            next_report_s += _REPORT_INTERVAL_S
            if _is_stopped(pool, unreported):
                return n_served + int(_STOP_DELAY_S * _RATE_PER_S)
            unreported = []
        upstream = rng.randrange(_N_UPSTREAMS)
        is_bad = upstream < fault.bad_upstreams
        unreported.append((f'u{upstream}', _serve_request(rng, fault, is_bad)))
        n_served += 1
    return _MAX_REQUESTS


def _is_stopped(
    pool: VersionEvidenceSet, unreported: list[tuple[str, UpstreamCounts]]
) -> bool:
    for upstream_id, counts in unreported:
        add_counts(pool, 'v', upstream_id, counts, _GOOD_RATING, _SETTINGS)
    return bool(detect_regression(pool, 'v', _SETTINGS))


def _serve_request(
    rng: random.Random, fault: Fault, is_bad: bool
) -> UpstreamCounts:
    error_share = fault.error_share if is_bad else Fault().error_share
    mean = fault.rating if is_bad else _GOOD_RATING
    counts = UpstreamCounts(1, int(rng.random() < error_share))
    if not counts.n_errors and rng.random() < _RATED_SHARE:
        counts.n_ratings = 1
        rating = rng.gauss(mean, _RATING_DEVIATION)
        counts.rating_sum = min(100, max(0, rating))
    return counts
