"""Tests of the permits by which nodes share a request limit."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.hash_ring import build_hash_ring, find_owner
from turmericcrank_core.send_permits import (
    SendPermits,
    drop_permits,
    refresh_permits,
    take_permit,
)

_WINDOW_S = 4
_PLAY_S = 12
_START_S = 1000


def _make_owner_check(node_ids, own_id):
    ring = build_hash_ring(node_ids, 16)
    return lambda key: find_owner(ring, key) == own_id


def _play_requests(rate_per_s, known_ids_by_node, n_requests, seed):
    """Let random nodes send whenever they have a permit; return the times."""
    rng = random.Random(seed)
    permits_by_node = {node: SendPermits() for node in known_ids_by_node}
    checks_by_node = {
        node: _make_owner_check(known, node)
        for node, known in known_ids_by_node.items()
    }
    sent_s = []
    for at_s in sorted(rng.uniform(0, _PLAY_S) for _ in range(n_requests)):
        node = rng.choice(sorted(permits_by_node))
        permits = permits_by_node[node]
        n_left = refresh_permits(
            permits, 'u1', rate_per_s, checks_by_node[node], _START_S + at_s
        )
        if n_left:
            take_permit(permits, 'u1')
            sent_s.append(at_s)
    return sent_s


def _most_in_window(times_s):
    return max(
        (
            sum(first_s <= at_s < first_s + _WINDOW_S for at_s in times_s)
            for first_s in times_s
        ),
        default=0,
    )


@given(
    st.floats(0.05, 300),
    st.sampled_from([1, 7, 75, 195]),
    st.integers(0, 2000),
    st.integers(0, 1000),
)
def test_nodes_that_know_each_other_never_exceed_the_limit(
    rate_per_s, n_nodes, n_requests, seed
):
    """Holds for any number of nodes, any limit and any times of requests."""
    node_ids = [f'n{number}' for number in range(n_nodes)]
    known_by_node = dict.fromkeys(node_ids, node_ids)
    sent_s = _play_requests(rate_per_s, known_by_node, n_requests, seed)
    assert _most_in_window(sent_s) <= 1.5 * _WINDOW_S * rate_per_s + 5


@pytest.mark.parametrize('rate_per_s', [0.5, 1, 4])
def test_nodes_that_know_different_nodes_exceed_it_little(rate_per_s):
    """Each node misses another fifth of the nodes."""
    node_ids = [f'n{number}' for number in range(75)]
    rng = random.Random(3)
    known_by_node = {
        node: {node, *rng.sample(node_ids, 60)} for node in node_ids
    }
    sent_s = _play_requests(rate_per_s, known_by_node, 4000, 5)
    assert _most_in_window(sent_s) <= 1.5 * _WINDOW_S * rate_per_s + 5


def test_a_permit_that_is_not_used_is_lost():
    permits = SendPermits()
    for now_s in range(5):
        refresh_permits(permits, 'u1', 1, lambda _key: True, now_s)
    assert refresh_permits(permits, 'u1', 1, lambda _key: True, 500) <= 2


def test_a_changed_limit_does_not_use_permits_of_the_limit_before():
    permits = SendPermits()
    for now_s in range(5):
        n_left = refresh_permits(permits, 'u1', 40, lambda _key: True, now_s)
    assert n_left >= 40
    drop_permits(permits, 'u1')
    assert not refresh_permits(permits, 'u1', 0.5, lambda _key: True, 5)
