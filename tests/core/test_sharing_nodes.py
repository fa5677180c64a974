"""Nodes that share a limit keep their parts while they are out of sight."""

from turmericcrank_core.hash_ring import find_owner
from turmericcrank_core.sharing_nodes import (
    SharingNodes,
    find_sharing_ring,
    update_sharing_nodes,
)

_HOUR_S = 3600
_MINUTE_S = 60
_NORTH = frozenset(f'north-{number}' for number in range(3))
_SOUTH = frozenset(f'south-{number}' for number in range(4))
_ALL = _NORTH | _SOUTH
_KEYS = tuple(f'u/{number}/0' for number in range(700))
# Of 490 nodes 240 are replaced by new ones each day.
_N_LARGE = 490
_REPLACEMENT_S = 360


def _update(sharing, node_ids, now_s):
    update_sharing_nodes(
        sharing, node_ids, is_isolated=len(node_ids) == 1, now_s=now_s
    )


def _owned(sharing, node_ids):
    ring = find_sharing_ring(sharing)
    return {key for key in _KEYS if find_owner(ring, key) in node_ids}


def test_limit_groups_that_are_cut_off_for_an_hour_own_nothing_twice():
    """Each group took what the other owned after a minute."""
    north, south = SharingNodes(), SharingNodes()
    _update(north, _ALL, 0)
    _update(south, _ALL, 0)
    for now_s in range(_MINUTE_S, _HOUR_S, _MINUTE_S):
        _update(north, _NORTH, now_s)
        _update(south, _SOUTH, now_s)
    owned = _owned(north, _NORTH), _owned(south, _SOUTH)
    assert not owned[0] & owned[1]
    assert owned[0] | owned[1] == set(_KEYS)


def test_limit_a_node_that_was_alone_for_hours_keeps_its_part():
    """It counted itself alone after two hours."""
    sharing = SharingNodes()
    _update(sharing, _ALL, 0)
    for now_s in range(_MINUTE_S, 3 * _HOUR_S, _MINUTE_S):
        _update(sharing, {'north-0'}, now_s)
    _update(sharing, {'north-0', 'north-1'}, 3 * _HOUR_S)
    assert sharing.node_ids == _ALL


def test_what_a_node_owned_that_is_gone_is_used_again_after_two_hours():
    sharing = SharingNodes()
    _update(sharing, _ALL, 0)
    _update(sharing, _NORTH, 2 * _HOUR_S + 1)
    assert sharing.node_ids == _NORTH


def test_little_is_lost_to_nodes_that_were_replaced():
    """Each that was replaced is remembered beside those that are there."""
    sharing = SharingNodes()
    for number in range(3 * 2 * _HOUR_S // _REPLACEMENT_S):
        node_ids = {f'n{index}' for index in range(number, number + _N_LARGE)}
        _update(sharing, node_ids, number * _REPLACEMENT_S)
    assert _N_LARGE / len(sharing.node_ids) >= 0.95
