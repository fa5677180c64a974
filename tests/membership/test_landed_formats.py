"""Messages and rows of landed builds, whose nodes run beside those of today.

A field is added after the others, with a default. One that changes its meaning
gets a new position, since nodes of the landed build read the old one.
"""

import msgpack
import pytest
from turmericcrank_core.rollout_phases import RolloutOrder, RolloutPhase
from turmericcrank_node.membership.gossip_message import (
    GossipMessage,
    pack_gossip,
    unpack_gossip,
    unpack_rows,
    unpack_summary,
)
from turmericcrank_node.platform_port import ChangedRow, RolloutRow
from turmericcrank_platform.rollout_rows import decode_rollout, encode_rollout
from turmericcrank_platform.row_values import encode_put

from tests.landed_messages import read_gossip, read_store_rows

_FORMAT = 9
_FIELDS, _RAW = read_gossip(_FORMAT)
_EXPECTED = {
    'node_id': 'n2',
    'incarnation': 'a',
    'data_centre': 'dc1',
    'peer_address': '127.0.0.2:5',
    'client_address': '127.0.0.2:6',
    'is_ready': True,
    'sent_s': 3.5,
    'cluster_s': 4.5,
    'echo_s': 2.5,
    'echo_incarnation': 'b',
    'echo_held_s': 0.25,
    'proofs': [(40, 38, 30, 1.5), (41, 0, 41, -1.0)],
    'running_by_id': {'u1': 3},
    'sessions': [('s1', 'v2', 1200)],
    'tallies': [('u1', 9, 2)],
    'evidence': [('engine/5/', 'u1', 9, 2, 1)],
    'rollouts': [('engine', 'v2', 20.0, 5, 1, 7.5)],
    'members': [('n3', 'dc2', '127.0.0.3:5', '127.0.0.3:6', False, 250)],
    'crashes': [('u1', 4.25, [('f1', ['p1', 'p2'], True)])],
    'outputs': [('f1', 4.0)],
    'blocks': [(['p1'], 4.0, 3.75, 1, 0.0, 2.0)],
    'leavers': [('u4', 1000)],
    'limits': [('u1', 12.5, False, 1.0, 4.0)],
    'cell': 'dc1/0',
    'format_number': _FORMAT,
}


@pytest.mark.parametrize('name', _FIELDS)
def test_a_field_of_the_landed_format_keeps_its_position(name):
    position = _FIELDS.index(name)
    assert GossipMessage.__struct_fields__[position] == name


@pytest.mark.parametrize('name', _EXPECTED)
def test_a_field_of_the_landed_format_keeps_its_meaning(name):
    assert getattr(unpack_gossip(_RAW), name) == _EXPECTED[name]


def test_packed_fields_of_the_landed_format_keep_their_meaning():
    message = unpack_gossip(_RAW)
    number, after, version, packed = message.pages[0]
    assert (number, after, version) == (1, 30, 40)
    assert unpack_rows(packed) == [('u1', 38, b'{}'), ('u2', 40, None)]
    digest = message.digests[0]
    assert (digest.cell, digest.age_s) == ('dc2/0', 0.5)
    summary = unpack_summary(digest.packed)
    assert summary.members[0][0] == 'n3'
    assert summary.running_by_id == {'u1': 2}
    assert summary.evidence == [('engine/5/', 'u1', 9, 2, 1)]


def test_a_message_is_encoded_as_nodes_of_the_landed_build_read_it():
    """Fields may follow; what the landed build knows is the same."""
    encoded = msgpack.unpackb(pack_gossip(unpack_gossip(_RAW)))
    assert encoded[: len(_FIELDS)] == msgpack.unpackb(_RAW)


@pytest.mark.parametrize('format_number', [8, 9])
def test_a_message_of_a_landed_format_is_understood(format_number):
    """Else an upgrade splits the nodes: each build takes the other for dead."""
    message = unpack_gossip(read_gossip(format_number)[1])
    assert message is not None
    assert message.node_id == 'n2'


def test_rows_of_the_landed_build_are_read_and_written_alike():
    landed = read_store_rows()
    row = RolloutRow(
        RolloutOrder('engine', 'v2', 20.0, 33), RolloutPhase.full, 5.5, 8
    )
    assert encode_rollout(row) == landed['transaction']
    stored = encode_put('turmericcrank-nodes', 'n1', {'address': '127.0.0.1:5'})
    assert stored == landed['node']
    body = (
        b'{"version":"v2","duration_s":20,"number":33,"phase":2,"began_ms":5.5}'
    )
    assert decode_rollout('engine', ChangedRow('engine', 8, body)) == row
