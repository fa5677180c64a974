"""Rate and concurrency limits, request priorities and the retry budget."""

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.admission import (
    AdmissionState,
    TeamLimits,
    admit_request,
    plan_capacity_share,
    plan_request_rank,
    record_shortage,
    record_upstream_end,
    record_upstream_start,
    release_request,
)
from turmericcrank_core.codes import CODES, ExecutionStatus, ResultCode
from turmericcrank_core.retry_budget import (
    RetryBudget,
    deposit_token,
    plan_backoff_s,
    withdraw_token,
)

_LIMITS = TeamLimits(rate_per_s=10, burst=5, concurrency=1000)


@given(st.lists(st.floats(0, 0.2), max_size=60))
def test_a_team_gets_no_more_than_burst_and_rate(pauses):
    state = AdmissionState()
    now_s, n_admitted = 0.0, 0
    for pause_s in pauses:
        now_s += pause_s
        n_admitted += admit_request(state, 'a', _LIMITS, now_s).is_ok()
    assert n_admitted <= _LIMITS.burst + _LIMITS.rate_per_s * now_s + 1e-6


def test_a_rejected_team_gets_a_retry_time_and_others_are_admitted():
    state = AdmissionState()
    for _ in range(5):
        assert admit_request(state, 'a', _LIMITS, 0).is_ok()
    refusal = admit_request(state, 'a', _LIMITS, 0).error
    assert refusal.code is ResultCode.team_rate
    assert admit_request(state, 'b', _LIMITS, 0).is_ok()
    assert admit_request(state, 'a', _LIMITS, refusal.retry_after_s).is_ok()


def test_concurrency_is_freed_by_the_end_of_a_request():
    state = AdmissionState()
    limits = TeamLimits(1000, 1000, concurrency=1)
    assert admit_request(state, 'a', limits, 0).is_ok()
    refusal = admit_request(state, 'a', limits, 1).error
    assert refusal.code is ResultCode.team_concurrency
    assert refusal.retry_after_s
    release_request(state, 'a')
    assert admit_request(state, 'a', limits, 2).is_ok()


@given(st.lists(st.booleans(), max_size=300))
def test_retries_are_bounded_in_proportion_to_first_attempts(is_retry):
    budget = RetryBudget(deposit_ratio=0.1, max_tokens=10, tokens=10)
    n_first = 0
    n_retries = 0
    for wants_retry in is_retry:
        if wants_retry:
            n_retries += withdraw_token(budget)
        else:
            n_first += 1
            deposit_token(budget)
    assert n_retries <= 10 + 0.1 * n_first + 1e-6


@given(st.integers(1, 50), st.floats(0, 0.99))
def test_the_backoff_grows_and_is_bounded(attempt, uniform):
    assert 0 <= plan_backoff_s(attempt, 0.05, 1, uniform) <= 1
    ceiling_s = plan_backoff_s(attempt, 0.05, 1, 1)
    assert ceiling_s <= plan_backoff_s(attempt + 1, 0.05, 1, 1)


def test_every_result_code_is_described():
    assert set(CODES) == set(ResultCode)
    for code, row in CODES.items():
        if row.http_status in {429, 410}:
            assert row.ran is ExecutionStatus.not_run, code


def _plan_share(state, team, priority, now_s=0):
    return plan_capacity_share(
        state, plan_request_rank(state, team, priority), now_s
    )


def test_high_priority_and_less_loaded_teams_get_more_capacity():
    state = AdmissionState()
    for _ in range(30):
        record_upstream_start(state, 'tills', 0)
        record_upstream_start(state, 'large', 5)
    record_upstream_start(state, 'small', 5)
    ranked = [('tills', 0), ('small', 5), ('large', 5), ('drafts', 9)]
    shares = [_plan_share(state, team, priority) for team, priority in ranked]
    assert shares == sorted(shares, reverse=True)
    assert len(set(shares)) == 4
    assert shares[0] == 1
    for _ in range(30):
        record_upstream_end(state, 'large', 5)
    assert _plan_share(state, 'large', 5) == shares[1]


def test_lower_ranks_get_no_capacity_after_a_higher_rank_found_none():
    state = AdmissionState()
    record_shortage(state, plan_request_rank(state, 'planners', 5), now_s=10)
    assert _plan_share(state, 'drafts', 9, 10.05) == 0
    assert _plan_share(state, 'planners', 5, 10.05) > 0
    assert _plan_share(state, 'tills', 0, 10.05) == 1
    assert _plan_share(state, 'drafts', 9, 10.2) > 0
