"""Tests of the request limits that upstreams name."""

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.cluster_clock import (
    ClusterClock,
    advance_cluster_clock,
    read_cluster_clock_s,
)
from turmericcrank_core.upstream_limits import (
    NamedLimit,
    UpstreamLimits,
    active_limit_per_s,
    expire_limits,
    is_urgent_change,
    iter_limits_to_gossip,
    merge_limit,
    plan_rate_per_s,
    record_limit,
)

_STATEMENTS = st.lists(
    st.builds(
        NamedLimit,
        per_s=st.floats(0, 10),
        is_ended=st.booleans(),
        since_s=st.just(0.0),
        observed_s=st.floats(1, 100),
    ),
    min_size=1,
    max_size=4,
    unique_by=lambda limit: limit.observed_s,
)


def test_a_limit_holds_until_a_response_no_longer_names_it():
    limits = UpstreamLimits()
    assert not record_limit(limits, 'u1', None, 0)
    assert record_limit(limits, 'u1', 2.5, 1)
    assert not record_limit(limits, 'u1', 2.5, 2)
    assert active_limit_per_s(limits, 'u1') == 2.5
    assert record_limit(limits, 'u1', 1, 3)
    assert active_limit_per_s(limits, 'u1') == 1
    assert record_limit(limits, 'u1', None, 4)
    assert active_limit_per_s(limits, 'u1') is None
    assert not record_limit(limits, 'u1', None, 5)
    assert record_limit(limits, 'u1', 1, 6)


@given(_STATEMENTS)
def test_the_newest_statement_wins_in_any_order(statements):
    newest = max(statements, key=lambda limit: limit.observed_s)
    for order in itertools.permutations(statements):
        limits = UpstreamLimits()
        for statement in order:
            merge_limit(limits, 'u1', statement, 100)
        known = limits.by_id['u1']
        assert known.is_ended == newest.is_ended
        assert known.observed_s == newest.observed_s
        if not newest.is_ended:
            assert known.per_s == newest.per_s


def test_a_node_with_an_older_statement_is_told_the_newer_one():
    limits = UpstreamLimits()
    record_limit(limits, 'u1', 1, 10)
    record_limit(limits, 'u1', 1, 50)
    assert not list(iter_limits_to_gossip(limits, 40, ()))
    older = NamedLimit(1, is_ended=True, since_s=30, observed_s=30)
    assert not merge_limit(limits, 'u1', older, 51)
    assert [name for name, _ in iter_limits_to_gossip(limits, 40, ())] == ['u1']


def test_an_upstream_gets_more_requests_step_by_step_after_its_limit():
    limits = UpstreamLimits()
    record_limit(limits, 'u1', 2, 0)
    record_limit(limits, 'u1', None, 10)
    rates = [plan_rate_per_s(limits, 'u1', 10 + second) for second in range(6)]
    assert rates == [2, 4, 8, 16, 32, None]


def test_an_upstream_with_a_limit_of_zero_still_gets_a_request_now_and_then():
    limits = UpstreamLimits()
    record_limit(limits, 'u1', 0, 0)
    assert 0 < plan_rate_per_s(limits, 'u1', 1) <= 1
    assert plan_rate_per_s(limits, 'other', 1) is None


def test_any_finite_limit_yields_a_finite_rate():
    limits = UpstreamLimits()
    record_limit(limits, 'u1', 1e308, 0)
    record_limit(limits, 'u1', None, 1)
    assert plan_rate_per_s(limits, 'u1', 5) < 1e9


@pytest.mark.parametrize(
    ('before_per_s', 'after_per_s', 'is_urgent'),
    [(1, 1.1, False), (1, 0.9, False), (1, 0.5, True), (4, 1, True)],
)
def test_small_changes_of_a_limit_wait_for_the_next_gossip_round(
    before_per_s, after_per_s, is_urgent
):
    before = NamedLimit(before_per_s, False, 0, 0)
    after = NamedLimit(after_per_s, False, 1, 1)
    assert is_urgent_change(before, after) == is_urgent
    assert is_urgent_change(None, after)
    assert is_urgent_change(before, NamedLimit(1, True, 1, 1))


def test_limits_are_forgotten_a_while_after_they_ended():
    limits = UpstreamLimits()
    record_limit(limits, 'u1', 1, 0)
    record_limit(limits, 'u2', 1, 0)
    record_limit(limits, 'u1', None, 5)
    expire_limits(limits, {'u1', 'u2'}, 60)
    assert set(limits.by_id) == {'u1', 'u2'}
    expire_limits(limits, {'u1', 'u2'}, 200)
    assert set(limits.by_id) == {'u2'}
    expire_limits(limits, {}, 200)
    assert not limits.by_id


@given(st.lists(st.tuples(st.floats(0, 1e6), st.floats(0, 1e3))))
def test_the_cluster_clock_never_runs_backwards(messages):
    clock = ClusterClock()
    before_s = 0
    for received_s, local_s in sorted(messages, key=lambda pair: pair[1]):
        advance_cluster_clock(clock, received_s, local_s)
        now_s = read_cluster_clock_s(clock, local_s)
        assert now_s >= before_s
        assert now_s >= received_s * (1 - 1e-12)
        before_s = now_s * (1 - 1e-12)
