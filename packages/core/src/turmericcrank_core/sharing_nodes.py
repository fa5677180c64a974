"""Nodes between which a limit of the whole site is shared.

A bound on a sum over all nodes is kept by giving each node a part. The parts
must not grow when nodes lose sight of each other, since those that are out of
sight may still use theirs. So a node that stops responding keeps its part for
as long as it is remembered, and a node that hears nobody keeps to the part
that it had.
"""

from collections.abc import Collection
from dataclasses import dataclass

from turmericcrank_core.hash_ring import HashRing, build_hash_ring

__all__ = (
    'SharingNodes',
    'find_sharing_ring',
    'is_refresh_due',
    'update_sharing_nodes',
)

_REFRESH_INTERVAL_S = 1
_POINTS_PER_NODE = 16


@dataclass(slots=True)
class SharingNodes:
    """The nodes that share the limits of the site.

    Attributes:
        node_ids: Ids of the nodes, this one included.
        ring: Assigns what can't be divided to one of ``ring_ids``.
        ring_ids: Nodes for which the ring was built.
        checked_s: When they were last compared with the known nodes, in
            seconds.
    """

    node_ids: frozenset[str] = frozenset()
    ring: HashRing = HashRing()
    ring_ids: frozenset[str] = frozenset()
    checked_s: float = 0


def update_sharing_nodes(
    sharing: SharingNodes,
    node_ids: Collection[str],
    *,
    is_isolated: bool,
    now_s: float,
) -> None:
    """Share the limits between the known nodes.

    Args:
        sharing: Changed in place.
        node_ids: Ids of all known nodes, this one included.
        is_isolated: Whether no other node responds.
        now_s: Current time, in seconds.
    """
    sharing.checked_s = now_s
    if sharing.node_ids == node_ids or (is_isolated and sharing.node_ids):
        return
    sharing.node_ids = frozenset(node_ids)


def is_refresh_due(sharing: SharingNodes, now_s: float) -> bool:
    """Return whether to look for other nodes, once a second.

    Requests ask for the nodes far more often than these change.
    """
    age_s = now_s - sharing.checked_s
    return not sharing.node_ids or age_s >= _REFRESH_INTERVAL_S


def find_sharing_ring(sharing: SharingNodes) -> HashRing:
    """Return the ring of the nodes, built when it is first needed."""
    if sharing.ring_ids != sharing.node_ids:
        sharing.ring_ids = sharing.node_ids
        sharing.ring = build_hash_ring(sharing.ring_ids, _POINTS_PER_NODE)
    return sharing.ring
