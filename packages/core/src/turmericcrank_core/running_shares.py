"""Shares the slots of a brittle upstream between the nodes.

A brittle upstream falls over if it has to reject too many requests in a second.
It runs as many requests at a time as it has slots, and lets few wait. So the
nodes together keep to its slots and half as many more, which keep it busy
between two requests. Each node has a share that follows from its rank among
the nodes. Where there are more nodes than that, the shares go round once a
second, so that each node gets its turn. A node that is rejected nevertheless
waits so long that all nodes together cause few rejections.

Load pattern: more requests come than the upstreams of a service can run, while
they let fewer wait than usual.
"""

import math
from collections.abc import Collection

import xxhash

__all__ = ('plan_rejection_wait_s', 'plan_running_share')

_REQUESTS_PER_SLOT = 1.5
# Of the rejections that an upstream bears, the part that nodes may cause.
_REJECTION_FRACTION = 0.5
_LEAST_REJECTIONS_PER_S = 0.1


def plan_running_share(
    n_slots: int,
    node_ids: Collection[str],
    own_id: str,
    upstream_id: str,
    now_s: float,
) -> int:
    """Return how many requests this node may have at an upstream at a time.

    Args:
        n_slots: Requests that the upstream runs at a time.
        node_ids: Ids of all nodes, this one included.
        own_id: Id of this node.
        upstream_id: Name of the upstream; the shares that are larger by one
            go to other nodes for each upstream.
        now_s: Current time on the cluster clock, in seconds.

    Example:
        >>> nodes = ('a', 'b', 'c', 'd')
        >>> sum(plan_running_share(6, nodes, node, 'u', 0) for node in nodes)
        9
    """
    n_places = math.ceil(n_slots * _REQUESTS_PER_SLOT)
    n_nodes = len(node_ids)
    rank = sum(node_id < own_id for node_id in node_ids)
    turn = int(now_s) * n_places if n_nodes > n_places else 0
    first = (xxhash.xxh3_64_intdigest(upstream_id.encode()) + turn) % n_nodes
    n_rest = n_places % n_nodes
    return n_places // n_nodes + ((rank - first) % n_nodes < n_rest)


def plan_rejection_wait_s(max_rejections_per_s: float, n_nodes: int) -> float:
    """Return how long a node that was rejected sends nothing, in seconds.

    If all nodes keep to it, the upstream rejects few enough requests.

    Args:
        max_rejections_per_s: Rejections a second that the upstream bears.
        n_nodes: Number of nodes.
    """
    borne_per_s = max(max_rejections_per_s, _LEAST_REJECTIONS_PER_S)
    return n_nodes / (borne_per_s * _REJECTION_FRACTION)
