"""Rollouts, detection of bad versions, pool states and the cascade."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.cascade import (
    CascadePolicy,
    CascadeSettings,
    choose_plan,
    record_cost,
    record_final_rating,
    record_rating,
)
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.requests import (
    check_model_request,
    find_route,
    fingerprint_request,
    list_allowed_pools,
)
from turmericcrank_core.rollouts import (
    RolloutProgress,
    apply_rollout,
    check_progress,
    plan_next_progress,
    serialize_progress,
)
from turmericcrank_core.tables import Rollout, check_tables
from turmericcrank_core.version_health import (
    ExposureSettings,
    FirstTokenLatencies,
    UpstreamCounts,
    VersionEvidenceSet,
    add_counts,
    detect_regression,
    is_first_token_slow,
    mean_rating,
)

from tests.builders import make_model_request, make_raw_tables, make_tables

_SETTINGS = ExposureSettings()
_ROLLOUT = Rollout('best', 'cheap', (5, 50, 100), 60, 1000)


def test_a_rollout_advances_only_with_time_and_evidence():
    first = plan_next_progress(_ROLLOUT, None, has_evidence=False, now_s=1000)
    assert first == RolloutProgress(0, 1000)
    assert plan_next_progress(_ROLLOUT, None, True, 999) is None
    assert plan_next_progress(_ROLLOUT, first, True, 1059) is None
    assert plan_next_progress(_ROLLOUT, first, False, 2000) is None
    second = plan_next_progress(_ROLLOUT, first, True, 1060)
    assert second == RolloutProgress(1, 1060)
    last = RolloutProgress(2, 1200)
    assert plan_next_progress(_ROLLOUT, last, True, 9999) is None
    assert check_progress(serialize_progress(second)) == second


def test_a_stopped_rollout_stays_stopped():
    stopped = RolloutProgress(1, 1060, 'errors')
    assert plan_next_progress(_ROLLOUT, stopped, True, 99999) is None
    route = make_tables().routes_by_name['quotes']
    assert apply_rollout(route, 'cheap', stopped, 0.0) == 'cheap'


@given(st.floats(0, 0.999))
def test_the_share_of_a_step_goes_to_the_new_pool(uniform):
    raw = make_raw_tables()
    raw['routes']['quotes']['rollout'] = {
        'pool': 'best',
        'replaces': 'cheap',
        'percents': [5, 50],
        'step_s': 60,
        'started_s': 0,
    }
    route = check_tables(raw).ok.routes_by_name['quotes']
    chosen = apply_rollout(route, 'cheap', RolloutProgress(1, 0), uniform)
    expected = 'best' if uniform < 0.5 else 'cheap'
    assert chosen == expected
    assert apply_rollout(route, 'cheap', None, uniform) == 'cheap'


def _detect_regression_in(answers):
    evidence_set = VersionEvidenceSet()
    for upstream_id, counts, baseline in answers:
        add_counts(evidence_set, 'v', upstream_id, counts, baseline, _SETTINGS)
    return detect_regression(evidence_set, 'v', _SETTINGS)


def _errors(upstream_id, is_error):
    return upstream_id, UpstreamCounts(1, int(is_error)), None


def _ratings(upstream_id, rating, baseline=80.0):
    counts = UpstreamCounts(n_ratings=1, rating_sum=rating)
    return upstream_id, counts, baseline


def test_errors_on_several_upstreams_stop_a_version():
    answers = [_errors(f'u{number % 4}', is_error=True) for number in range(16)]
    assert _detect_regression_in(answers) == 'errors'


def test_one_bad_upstream_does_not_stop_a_version():
    answers = [
        _errors(f'u{number % 4}', number % 4 == 0) for number in range(400)
    ]
    assert _detect_regression_in(answers) == ''


def test_low_ratings_stop_a_version_only_with_a_known_baseline():
    low_ratings = [_ratings(f'u{number % 4}', 60) for number in range(60)]
    assert _detect_regression_in(low_ratings) == 'ratings'
    assert (
        _detect_regression_in(
            [_ratings('u1', 10, None), _ratings('u2', 10, None)]
        )
        == ''
    )


def test_the_baseline_needs_enough_ratings():
    evidence_set = VersionEvidenceSet()
    for number in range(40):
        assert (mean_rating(evidence_set, 'v', _SETTINGS) is None) == (
            number < 30
        )
        add_counts(
            evidence_set, 'v', 'u', _ratings('u', 70)[1], None, _SETTINGS
        )
    assert mean_rating(evidence_set, 'v', _SETTINGS) == 70


def test_a_queue_that_delays_all_versions_marks_none_as_slow():
    latencies = FirstTokenLatencies()
    for _ in range(200):
        is_first_token_slow(latencies, 'old', ['new'], 2.0, 0.58)
        assert not is_first_token_slow(latencies, 'new', ['old'], 2.1, 0.58)
    assert is_first_token_slow(latencies, 'new', ['old'], 9.0, 0.58)
    assert not is_first_token_slow(FirstTokenLatencies(), 'new', [], 0.5, 0.58)


def test_a_team_gets_only_routes_and_versions_it_may_use():
    tables = make_tables()
    denied = find_route(tables, 'quotes', 'tills').error
    assert denied.code is ResultCode.team_not_allowed
    denied = find_route(tables, 'large@1', 'planners').error
    assert denied.code is ResultCode.team_not_allowed
    assert find_route(tables, 'no', 'tills').error.code is (
        ResultCode.unknown_route
    )
    assert find_route(tables, 'small@1', 'planners').is_ok()


@pytest.mark.parametrize(
    ('state', 'in_session', 'is_allowed'),
    [
        ('active', False, True),
        ('active', True, True),
        ('retiring', False, False),
        ('retiring', True, True),
        ('withdrawn', False, False),
        ('withdrawn', True, False),
    ],
)
def test_the_state_of_a_pool_limits_which_requests_may_use_it(
    state, in_session, is_allowed
):
    raw = make_raw_tables()
    raw['pools']['cheap']['state'] = state
    tables = check_tables(raw).ok
    route = tables.routes_by_name['quotes']
    allowed = list_allowed_pools(tables, route, 'small@1', in_session)
    assert allowed.is_ok() == is_allowed


@given(st.recursive(st.none() | st.integers() | st.text(), st.lists))
def test_arbitrary_payloads_are_rejected(payload):
    assert check_model_request(payload).is_error()


def test_the_fingerprint_depends_on_the_prompt_and_not_the_model():
    one, other = make_model_request('a'), make_model_request('b')
    assert fingerprint_request('t', one) == fingerprint_request(
        't', make_model_request('a', model='another')
    )
    assert fingerprint_request('t', one) != fingerprint_request('t', other)


def _simulate(policy, qualities, n_requests, seed):
    """Simulate one class of requests whose tiers have fixed mean ratings."""
    random_source = random.Random(seed)
    costs, ratings = [], []
    for _ in range(n_requests):
        plan = choose_plan(policy, 'class', random_source)
        rating = min(100, random_source.gauss(qualities[plan.tier], 5))
        record_rating(policy, 'class', plan.tier, rating)
        record_cost(policy, 'class', plan.tier, [10, 100][plan.tier])
        record_final_rating(policy, rating)
        costs.append([10, 100][plan.tier])
        ratings.append(rating)
    half = n_requests // 2
    return sum(costs[half:]) / half, sum(ratings[half:]) / half


def _make_policy(target):
    settings = CascadeSettings(target=target, n_tiers=2, may_verify=False)
    return CascadePolicy(settings)


def test_a_good_cheap_tier_is_used_and_a_poor_one_is_not():
    cost, _ = _simulate(_make_policy(80), (90, 95), 2000, 1)
    assert cost < 20
    cost, rating = _simulate(_make_policy(80), (40, 95), 2000, 1)
    assert rating >= 80
    cost, rating = _simulate(_make_policy(94), (40, 95), 2000, 1)
    assert cost > 90


def test_without_statistics_the_best_tier_answers():
    settings = CascadeSettings(target=80, n_tiers=3, max_exploration_rate=0)
    policy = CascadePolicy(settings)
    assert choose_plan(policy, 'c', random.Random(1)).tier == 2


def test_a_slow_version_is_distinguished_from_occasional_stalls():
    """A slow version has 98 ms to the first token, the other one 25 ms.

    One answer in ten of either version stalls for 600 ms.
    """
    latencies = FirstTokenLatencies()
    random_source = random.Random(4)
    flagged = {'old': 0, 'new': 0}
    for _ in range(200):
        for version, mean_s in (('old', 0.025), ('new', 0.098)):
            is_stalled = random_source.random() < 0.1
            first_token_s = 0.6 if is_stalled else mean_s
            other = 'new' if version == 'old' else 'old'
            flagged[version] += is_first_token_slow(
                latencies, version, [other], first_token_s, 0.01
            )
    assert flagged['new'] > 180
    assert flagged['old'] < 30
