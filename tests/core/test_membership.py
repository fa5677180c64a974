"""Tests of node liveness, ranks and the addresses for clients."""

from turmericcrank_core.membership import (
    Membership,
    Peer,
    expire_peers,
    iter_alive,
    list_client_addresses,
    plan_member_rank,
    record_peer,
    record_relayed_peer,
)


def _make_peer(name, data_centre='dc1', is_ready=True, last_seen_s=10.0):
    return Peer(
        name, 'a', data_centre, f'{name}:1', f'{name}:80', is_ready, last_seen_s
    )


def _make_members(*peers):
    members = Membership()
    for peer in peers:
        record_peer(members, peer)
    return members


def test_ranks_are_counted_among_the_nodes_that_are_heard():
    members = _make_members(
        _make_peer('a', last_seen_s=1), _make_peer('b'), _make_peer('d')
    )
    assert plan_member_rank(members, 'c', 10.5) == 1


def test_enough_nodes_of_the_data_centre_come_alone():
    members = _make_members(_make_peer('b'), _make_peer('c', 'dc2'))
    own = _make_peer('a')
    assert list_client_addresses(members, own, 'dc1', 10.5) == ['a:80', 'b:80']


def test_a_data_centre_with_one_node_is_helped_by_the_others():
    members = _make_members(_make_peer('b', 'dc2'), _make_peer('c', 'dc2'))
    addresses = list_client_addresses(members, _make_peer('a'), 'dc1', 10.5)
    assert addresses == ['a:80', 'b:80', 'c:80']


def test_a_node_that_stops_names_the_others_at_once():
    members = _make_members(_make_peer('b'), _make_peer('c', is_ready=False))
    own = _make_peer('a', is_ready=False)
    assert list_client_addresses(members, own, 'dc1', 10.5) == ['b:80']


def test_silent_nodes_are_named_only_when_nobody_else_is_known():
    members = _make_members(_make_peer('b', last_seen_s=1))
    assert list_client_addresses(members, _make_peer('a'), '', 10.5) == ['a:80']
    own = _make_peer('a', is_ready=False)
    assert list_client_addresses(members, own, '', 10.5) == ['b:80']


def test_a_restart_and_a_return_are_told_from_news_of_a_known_node():
    members = Membership()
    assert record_peer(members, _make_peer('b'))
    assert not record_peer(members, _make_peer('b', last_seen_s=10.4))
    assert record_peer(members, _make_peer('b', last_seen_s=30))
    assert [peer.node_id for peer in expire_peers(members, 100)] == ['b']


def test_a_peer_that_others_tell_of_fades_with_its_last_sign_of_life():
    members = Membership(cell_peer_ids=frozenset(), gossip_interval_s=0.8)
    for _ in range(9):
        record_relayed_peer(members, _make_peer('b', last_seen_s=10))
    assert [peer.node_id for peer in iter_alive(members, 12.6)] == ['b']
    assert not list(iter_alive(members, 12.8))


def test_a_mate_that_is_silent_here_is_not_believed_to_live():
    """Simulates an asymmetric partition.

    The heartbeats of the peer reach other nodes but not this one.
    """
    members = Membership()
    record_peer(members, _make_peer('b', last_seen_s=10))
    record_relayed_peer(members, _make_peer('b', last_seen_s=13))
    assert not list(iter_alive(members, 13))


def test_only_mates_count_for_the_rank():
    members = Membership(cell_peer_ids=frozenset({'b'}))
    for peer in (_make_peer('a'), _make_peer('b')):
        record_peer(members, peer)
    assert plan_member_rank(members, 'c', 10.5) == 1
