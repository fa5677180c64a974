"""Which nodes may serve without the store, and which must stop."""

import random

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.freshness import (
    Freshness,
    FreshnessSettings,
    PeerSample,
    SampleWindow,
    has_majority,
    plan_freshness,
    record_sample,
)

_SETTINGS = FreshnessSettings(bound_s=4, window_s=4)


def _make_window(n_nodes, own, responding, store_seen_s=None, at_s=100.0):
    others = [node for node in range(n_nodes) if node != own]
    window = SampleWindow(frozenset(map(str, others)), is_list_known=True)
    for node in others:
        responds = node in responding
        seen_s = store_seen_s if responds else None
        record_sample(window, str(node), PeerSample(at_s, responds, seen_s))
    return window


@given(st.integers(1, 9), st.data())
def test_one_partition_side_never_accepts_edits_while_the_other_serves(
    n_nodes, drawn
):
    """The two sides of a partition never both find a majority."""
    side = drawn.draw(st.sets(st.integers(0, n_nodes - 1)))
    other = set(range(n_nodes)) - side
    accepts = [
        has_majority(_make_window(n_nodes, node, side), 100, _SETTINGS)
        for node in side
    ]
    serves = [
        plan_freshness(
            _make_window(n_nodes, node, other), None, None, 100, _SETTINGS
        )
        is not Freshness.cut_off
        for node in other
    ]
    assert not (any(accepts) and any(serves))


@given(st.integers(1, 9))
def test_all_nodes_serve_while_the_store_is_down(n_nodes):
    all_nodes = set(range(n_nodes))
    for node in all_nodes:
        window = _make_window(n_nodes, node, all_nodes)
        planned = plan_freshness(window, 0, None, 100, _SETTINGS)
        assert planned is Freshness.store_down


def test_a_node_without_the_store_is_fresh_through_its_peers():
    window = _make_window(3, 0, {1, 2}, store_seen_s=99)
    planned = plan_freshness(window, 0, None, 100, _SETTINGS)
    assert planned is Freshness.fresh


def test_a_node_without_store_and_peers_is_cut_off():
    window = _make_window(3, 0, set())
    planned = plan_freshness(window, 95, None, 100, _SETTINGS)
    assert planned is Freshness.cut_off


@given(st.floats(4.1, 1e6))
def test_a_node_is_cut_off_after_a_pause_over_the_bound(pause_s):
    window = _make_window(3, 0, {1, 2}, store_seen_s=100)
    planned = plan_freshness(window, 100, None, 100 + pause_s, _SETTINGS)
    assert planned is Freshness.cut_off


def test_a_node_that_lacks_a_known_revision_is_cut_off_after_the_bound():
    window = _make_window(3, 0, {1, 2}, store_seen_s=100)
    assert plan_freshness(window, 100, 99, 100, _SETTINGS) is Freshness.fresh
    planned = plan_freshness(window, 100, 95, 100, _SETTINGS)
    assert planned is Freshness.cut_off


def test_unlisted_peers_do_not_count_towards_a_majority():
    window = _make_window(3, 0, {1, 2})
    window.listed = frozenset({'5', '6', '7'})
    assert not has_majority(window, 100, _SETTINGS)


def _estimate_majority_share(
    response_rate, n_trials=300, n_nodes=490, n_samples=80
):
    random_source = random.Random(7)
    n_majorities = 0
    for _trial in range(n_trials):
        window = SampleWindow(
            frozenset(map(str, range(1, n_nodes))), is_list_known=True
        )
        for node in random_source.sample(range(1, n_nodes), n_samples):
            responding = random_source.random() < response_rate
            record_sample(window, str(node), PeerSample(100, responding))
        n_majorities += has_majority(window, 100, _SETTINGS)
    return n_majorities / n_trials


def test_sampling_490_nodes_tells_a_majority_from_a_minority():
    assert _estimate_majority_share(1 / 3) == 0
    assert _estimate_majority_share(0.5) < 0.12
    assert _estimate_majority_share(5 / 6) == 1


def test_a_node_that_never_read_the_vm_list_has_no_majority():
    window = SampleWindow()
    assert not has_majority(window, 100, _SETTINGS)
    planned = plan_freshness(window, None, None, 100, _SETTINGS)
    assert planned is Freshness.cut_off
