"""Tests of the health of upstreams, pooled over nodes."""

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.upstream_health import (
    UpstreamHealth,
    is_ejected,
    merge_peer_counts,
    recent_failure_rate,
    record_outcome,
    start_ejection,
)


@given(st.lists(st.booleans(), max_size=30))
def test_repeated_peer_counts_are_added_only_once(attempts):
    health = UpstreamHealth()
    for end in range(len(attempts) + 1):
        row = ('u1', end, sum(attempts[:end]))
        merge_peer_counts(health, 'n1/a', [row, row], 5)
    decayed = health.decayed_by_id.get('u1')
    n_counted = decayed.attempts if decayed else 0
    assert n_counted == len(attempts)


def test_the_counts_of_a_restarted_node_start_from_zero():
    health = UpstreamHealth()
    merge_peer_counts(health, 'n1/a', [('u1', 10, 10)], 5)
    merge_peer_counts(health, 'n1/b', [('u1', 2, 0)], 5)
    assert health.decayed_by_id['u1'].attempts == 12


def test_a_partial_failure_raises_the_failure_rate_within_seconds():
    """Simulates a partial failure that the health check does not show.

    The upstream fails 0.45 of its requests while its health check passes.
    """
    health = UpstreamHealth()
    for number in range(12):
        record_outcome(health, 'grey', number % 9 < 4, 5 + number / 4)
        record_outcome(health, 'good', is_bad=False, now_s=5 + number / 4)
    assert recent_failure_rate(health, 'grey', 8) > 0.25
    assert recent_failure_rate(health, 'good', 8) == 0
    assert recent_failure_rate(health, 'unknown', 8) == 0


def test_ejections_get_longer_and_a_success_ends_them():
    health = UpstreamHealth()
    start_ejection(health, 'u1', 0)
    assert is_ejected(health, 'u1', 0.4)
    assert not is_ejected(health, 'u1', 0.6)
    start_ejection(health, 'u1', 1)
    assert is_ejected(health, 'u1', 1.9)
    record_outcome(health, 'u1', is_bad=False, now_s=1.9)
    assert not is_ejected(health, 'u1', 1.9)


def test_an_ejection_in_effect_is_not_prolonged():
    health = UpstreamHealth()
    for _ in range(9):
        start_ejection(health, 'u1', 0.1)
    assert not is_ejected(health, 'u1', 0.7)
