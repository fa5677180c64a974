"""Tests of the placement of requests on upstreams."""

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.placement import (
    Candidate,
    PlacementSettings,
    choose_upstream,
)

from tests.router_builders import make_upstream

_SETTINGS = PlacementSettings()


def _make_candidate(
    number, n_running=0, failure_rate=0.0, is_row_missing=False, **fields
):
    upstream = make_upstream(f'u{number}', slots=64, **fields)
    return Candidate(upstream, n_running, failure_rate, is_row_missing)


def _no_jitter():
    return 0


def _choose(candidates, prefix='', data_centre='dc1'):
    chosen = choose_upstream(
        candidates, prefix, data_centre, _no_jitter, _SETTINGS
    )
    return chosen.upstream.upstream_id if chosen else None


def test_no_upstream_is_chosen_without_candidates():
    assert _choose([]) is None


@given(st.permutations(range(6)), st.text('abc', min_size=1))
def test_the_order_of_the_candidates_does_not_change_the_choice(order, prefix):
    candidates = [_make_candidate(number) for number in range(6)]
    shuffled = [candidates[number] for number in order]
    assert _choose(candidates, prefix) == _choose(shuffled, prefix)


@given(st.integers(0, 5))
def test_removing_an_upstream_moves_only_its_own_prefixes(removed):
    candidates = [_make_candidate(number) for number in range(6)]
    remaining = [
        one for number, one in enumerate(candidates) if number != removed
    ]
    for number in range(60):
        before = _choose(candidates, f'p{number}')
        if before != f'u{removed}':
            assert _choose(remaining, f'p{number}') == before


def test_a_hot_prefix_spreads_when_its_upstream_is_busy():
    """Simulates a hot key: many requests share one prompt prefix.

    Their preferred upstream must not receive all of them.
    """
    running = dict.fromkeys(range(6), 0)
    for _ in range(48):
        candidates = [
            _make_candidate(number, count) for number, count in running.items()
        ]
        chosen = _choose(candidates, 'hot')
        running[int(chosen[1:])] += 1
    assert max(running.values()) <= 24
    assert sum(count > 0 for count in running.values()) >= 3


@given(st.floats(0.3, 1))
def test_a_busy_upstream_is_preferred_to_a_failing_one(failure_rate):
    failing = _make_candidate(0, failure_rate=failure_rate)
    assert _choose([failing, _make_candidate(1, n_running=3)]) == 'u1'


def test_an_upstream_with_a_missing_row_is_chosen_last():
    unlisted = _make_candidate(0, is_row_missing=True)
    assert _choose([unlisted, _make_candidate(1, n_running=10)]) == 'u1'
    assert _choose([unlisted]) == 'u0'


def test_the_own_data_centre_is_preferred_at_equal_load():
    remote = _make_candidate(0, data_centre='dc2')
    assert _choose([remote, _make_candidate(1)]) == 'u1'
