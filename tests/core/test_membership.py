"""Who is heard and where clients may connect."""

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.membership import (
    Members,
    Peer,
    expire_peers,
    iter_newcomers,
    list_client_addresses,
    list_strangers,
    note_peer,
    plan_rank,
)


def _peer(name, data_centre='dc1', is_ready=True, heard_s=10.0):
    return Peer(
        name, 'a', data_centre, f'{name}:1', f'{name}:80', is_ready, heard_s
    )


def _members(*peers):
    members = Members()
    for peer in peers:
        note_peer(members, peer)
    return members


def test_ranks_are_counted_among_the_nodes_that_are_heard():
    members = _members(_peer('a', heard_s=1), _peer('b'), _peer('d'))
    assert plan_rank(members, 'c', 10.5) == 1


def test_enough_nodes_of_the_data_centre_come_alone():
    members = _members(_peer('b'), _peer('c', 'dc2'))
    own = _peer('a')
    assert list_client_addresses(members, own, 'dc1', 10.5) == ['a:80', 'b:80']


def test_a_data_centre_with_one_node_is_helped_by_the_others():
    members = _members(_peer('b', 'dc2'), _peer('c', 'dc2'))
    found = list_client_addresses(members, _peer('a'), 'dc1', 10.5)
    assert found == ['a:80', 'b:80', 'c:80']


def test_a_node_that_stops_names_the_others_at_once():
    members = _members(_peer('b'), _peer('c', is_ready=False))
    own = _peer('a', is_ready=False)
    assert list_client_addresses(members, own, 'dc1', 10.5) == ['b:80']


def test_silent_nodes_are_named_only_when_nobody_else_is_known():
    members = _members(_peer('b', heard_s=1))
    assert list_client_addresses(members, _peer('a'), '', 10.5) == ['a:80']
    own = _peer('a', is_ready=False)
    assert list_client_addresses(members, own, '', 10.5) == ['b:80']


def test_a_restart_and_a_return_are_told_from_news_of_a_known_node():
    members = Members()
    assert note_peer(members, _peer('b'))
    assert not note_peer(members, _peer('b', heard_s=10.4))
    assert note_peer(members, _peer('b', heard_s=30))
    assert [peer.node_id for peer in expire_peers(members, 100)] == ['b']


@given(
    st.integers(2, 12),
    st.lists(st.integers(0, 11), min_size=1, max_size=3, unique=True),
)
def test_nodes_that_share_a_seed_all_hear_each_other(n_nodes, seeds):
    """Replays a start: nodes greet their seeds, which know only them."""
    nodes = {f'n{number}': Members() for number in range(n_nodes)}
    seed_names = [f'n{seed % n_nodes}' for seed in seeds]
    seed_names.append('n0')
    greetings = [
        (name, seed) for name in nodes for seed in seed_names if name != seed
    ]
    for _ in range(4):
        _deliver(nodes, greetings)
        greetings = list(_tell(nodes))
    for name, members in nodes.items():
        assert set(members.by_id) == set(nodes) - {name}


def _deliver(nodes, greetings):
    for sender, receiver in greetings:
        note_peer(nodes[receiver], _peer(sender))


def _tell(nodes):
    """Each node tells its peers of newcomers, whom they greet."""
    for name, members in nodes.items():
        told = [
            (peer.node_id, peer.node_id) for peer in iter_newcomers(members, 10)
        ]
        for peer_id in members.by_id:
            yield name, peer_id
            strangers = list_strangers(nodes[peer_id], peer_id, told)
            for stranger in strangers:
                yield peer_id, stranger
