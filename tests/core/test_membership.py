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


def test_ranks_count_only_live_nodes():
    members = _make_members(
        _make_peer('a', last_seen_s=1), _make_peer('b'), _make_peer('d')
    )
    assert plan_member_rank(members, 'c', 10.5) == 1


def test_only_local_nodes_are_listed_if_there_are_enough():
    members = _make_members(_make_peer('b'), _make_peer('c', 'dc2'))
    own = _make_peer('a')
    assert list_client_addresses(members, own, 'dc1', 10.5) == ['a:80', 'b:80']


def test_remote_nodes_are_listed_too_if_there_is_one_local_node():
    members = _make_members(_make_peer('b', 'dc2'), _make_peer('c', 'dc2'))
    addresses = list_client_addresses(members, _make_peer('a'), 'dc1', 10.5)
    assert addresses == ['a:80', 'b:80', 'c:80']


def test_a_node_that_does_not_accept_clients_lists_the_others():
    members = _make_members(_make_peer('b'), _make_peer('c', is_ready=False))
    own = _make_peer('a', is_ready=False)
    assert list_client_addresses(members, own, 'dc1', 10.5) == ['b:80']


def test_unresponsive_nodes_are_listed_only_as_a_last_resort():
    members = _make_members(_make_peer('b', last_seen_s=1))
    assert list_client_addresses(members, _make_peer('a'), '', 10.5) == ['a:80']
    own = _make_peer('a', is_ready=False)
    assert list_client_addresses(members, own, '', 10.5) == ['b:80']


def test_a_peer_joins_at_its_first_heartbeat_and_after_a_gap():
    members = Membership()
    assert record_peer(members, _make_peer('b'))
    assert not record_peer(members, _make_peer('b', last_seen_s=10.4))
    assert record_peer(members, _make_peer('b', last_seen_s=30))
    assert [peer.node_id for peer in expire_peers(members, 100)] == ['b']


def test_gossip_without_a_newer_heartbeat_does_not_keep_a_peer_alive():
    members = Membership(cell_peer_ids=frozenset(), gossip_interval_s=0.8)
    for _ in range(9):
        record_relayed_peer(members, _make_peer('b', last_seen_s=10))
    assert [peer.node_id for peer in iter_alive(members, 12.6)] == ['b']
    assert not list(iter_alive(members, 12.8))


def test_gossip_does_not_keep_an_unresponsive_cell_peer_alive():
    """Simulates an asymmetric partition.

    The heartbeats of the peer reach other nodes but not this one.
    """
    members = Membership()
    record_peer(members, _make_peer('b', last_seen_s=10))
    record_relayed_peer(members, _make_peer('b', last_seen_s=13))
    assert not list(iter_alive(members, 13))


def test_only_cell_peers_count_for_the_rank():
    members = Membership(cell_peer_ids=frozenset({'b'}))
    for peer in (_make_peer('a'), _make_peer('b')):
        record_peer(members, peer)
    assert plan_member_rank(members, 'c', 10.5) == 1
