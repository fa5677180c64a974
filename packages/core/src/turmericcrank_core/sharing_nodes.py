"""Nodes between which a limit of the whole site is shared.

A bound on a sum over all nodes is kept by giving each node a part. The parts
must not grow when nodes lose sight of each other, since those that are out of
sight may still use theirs. Two groups of nodes that are cut off from each other
may be so for an hour, so a node that stops responding keeps its part for longer
than that, and a node that hears nobody keeps to the part that it had. The part
of a node that is gone is lost meanwhile: nothing tells it from one that is cut
off and still sends.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from turmericcrank_core.hash_ring import HashRing, build_hash_ring

__all__ = (
    'SharingNodes',
    'find_sharing_ring',
    'is_refresh_due',
    'update_sharing_nodes',
)

_REFRESH_INTERVAL_S = 1
_POINTS_PER_NODE = 16
# Longer than regions lose each other.
_RECENT_S = 7200


@dataclass(slots=True)
class SharingNodes:
    """The nodes that share the limits of the site.

    Attributes:
        node_ids: Ids of the nodes known within two hours, this one included.
        ring: Assigns what can't be divided to one of ``ring_ids``.
        ring_ids: Nodes for which the ring was built.
        checked_s: When they were last compared with the known nodes, in
            seconds.
        known_s_by_id: When each node was last known, in seconds.
    """

    node_ids: frozenset[str] = frozenset()
    ring: HashRing = HashRing()
    ring_ids: frozenset[str] = frozenset()
    checked_s: float = 0
    known_s_by_id: dict[str, float] = field(default_factory=dict)


def update_sharing_nodes(
    sharing: SharingNodes,
    node_ids: Collection[str],
    *,
    is_isolated: bool,
    now_s: float,
) -> None:
    """Share the limits between the nodes that are, or were lately, known.

    Args:
        sharing: Changed in place.
        node_ids: Ids of all known nodes, this one included.
        is_isolated: Whether no other node responds.
        now_s: Current time, in seconds.
    """
    sharing.checked_s = now_s
    known = sharing.known_s_by_id
    if is_isolated:
        known.update(dict.fromkeys(known, now_s))
    known.update(dict.fromkeys(node_ids, now_s))
    _forget_nodes(known, now_s)
    if sharing.node_ids != known.keys():
        sharing.node_ids = frozenset(known)


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


def _forget_nodes(known_s_by_id: dict[str, float], now_s: float) -> None:
    expired = [
        node_id
        for node_id, known_s in known_s_by_id.items()
        if now_s - known_s > _RECENT_S
    ]
    for node_id in expired:
        known_s_by_id.pop(node_id)
