"""Builders of gossip messages."""

from turmericcrank_node.membership.gossip_message import GossipMessage

_NEVER_READ = (-1, 0, 0, -1)


def make_gossip_message(**fields):
    """Make a message of another node that has never read the store."""
    defaults = {
        'node_id': 'n2',
        'incarnation': 'a',
        'data_centre': 'dc1',
        'peer_address': '127.0.0.1:5',
        'client_address': '127.0.0.1:6',
        'is_ready': True,
        'sent_s': 3.0,
        'cluster_s': 3.0,
        'echo_s': -1.0,
        'echo_incarnation': '',
        'echo_held_s': 0.0,
        'proofs': [_NEVER_READ, _NEVER_READ],
    }
    return GossipMessage(**{**defaults, **fields})
