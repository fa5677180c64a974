"""Deciding whether a node is cut off, and which peers help it."""

import random

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.membership import Peer
from turmericcrank_core.upstream_path import (
    UpstreamPath,
    avoid_peer,
    is_check_due,
    plan_probe_peers,
    plan_tunnel_peers,
    record_check,
    record_probe,
    record_reached,
)

_NOW_S = 100.0


def _make_peers(n_ready, n_cut_off, data_centre):
    return [
        Peer(
            f'{data_centre}-{number}',
            'i',
            data_centre,
            'p:1',
            'c:1',
            number < n_ready,
            _NOW_S,
        )
        for number in range(n_ready + n_cut_off)
    ]


def _plan(peers, path=None, seed=1):
    return plan_tunnel_peers(
        path or UpstreamPath(), peers, 'dc1', random.Random(seed), _NOW_S
    )


def test_a_connection_that_succeeded_meanwhile_makes_a_check_needless():
    path = UpstreamPath()
    assert is_check_due(path, _NOW_S - 1, _NOW_S)
    record_reached(path, _NOW_S - 0.5)
    assert not is_check_due(path, _NOW_S - 1, _NOW_S)


def test_checks_that_find_nothing_keep_a_minimum_interval():
    path = UpstreamPath()
    record_check(path, False, _NOW_S)
    assert not is_check_due(path, _NOW_S, _NOW_S + 0.2)
    assert is_check_due(path, _NOW_S, _NOW_S + 0.6)


def test_a_single_success_does_not_end_a_cut():
    path = UpstreamPath()
    record_check(path, True, _NOW_S)
    for is_reached in (True, False, True):
        record_probe(path, is_reached, _NOW_S)
        assert path.is_cut_off
    record_probe(path, True, _NOW_S)
    assert not path.is_cut_off


def test_peers_of_the_data_centre_help_unless_most_of_them_are_cut_off():
    others = _make_peers(6, 0, 'dc2')
    few_cut_off = _plan(_make_peers(4, 1, 'dc1') + others)
    assert {peer.data_centre for peer in few_cut_off} == {'dc1'}
    chosen = {
        helper.node_id
        for seed in range(40)
        for helper in _plan(_make_peers(1, 4, 'dc1') + others, seed=seed)
    }
    assert len(chosen) == 7


@given(
    n_ready=st.integers(0, 60),
    n_cut_off=st.integers(0, 60),
    n_avoided=st.integers(0, 60),
)
def test_only_peers_that_can_help_are_asked(n_ready, n_cut_off, n_avoided):
    peers = _make_peers(n_ready, n_cut_off, 'dc1')
    path = UpstreamPath()
    for avoided in peers[:n_avoided]:
        avoid_peer(path, avoided.node_id, _NOW_S)
    able_ids = {peer.node_id for peer in peers[n_avoided:n_ready]}
    chosen = _plan(peers, path)
    assert {peer.node_id for peer in chosen} <= able_ids
    assert len(chosen) == min(3, len(able_ids))


def test_a_probe_asks_peers_of_all_data_centres():
    """All nodes of a data centre may be cut off without knowing it yet."""
    peers = _make_peers(3, 0, 'dc1') + _make_peers(3, 0, 'dc2')
    first = {
        plan_probe_peers(UpstreamPath(), peers, random.Random(seed), _NOW_S)[
            0
        ].data_centre
        for seed in range(20)
    }
    assert first == {'dc1', 'dc2'}
