"""Decides whether a node is cut off from all upstreams, and who helps it.

Load pattern: some VMs, at times most or all of a data centre, lose their
links to all upstreams, while clients, the store and the other nodes still
reach them.

A failed connection alone does not tell this apart from an upstream that is
down, or from the loss of all upstreams. A node is cut off if it reaches
neither that upstream nor several others, while a peer reaches one of them.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from turmericcrank_core.membership import Peer

__all__ = (
    'UpstreamPath',
    'avoid_peer',
    'is_check_due',
    'plan_probe_peers',
    'plan_tunnel_peers',
    'record_check',
    'record_probe',
    'record_reached',
)

_NEVER_S = float('-inf')
_MIN_CHECK_INTERVAL_S = 0.5
# A single connection may succeed by chance while a link is failing.
_N_REACHED_TO_HEAL = 2
_AVOID_PEER_S = 1
_MAX_PEERS = 3


@dataclass(slots=True)
class UpstreamPath:
    """Whether this node reaches upstreams by itself.

    Attributes:
        is_cut_off: Whether it reaches none, while its peers do.
        reached_s: When a direct connection last succeeded, in seconds.
        checked_s: When the last check ended, in seconds.
        n_reached: Probes in a row that succeeded while cut off.
        avoided_until_s_by_id: Time until which a peer is not asked for a
            tunnel, in seconds, by node id.
    """

    is_cut_off: bool = False
    reached_s: float = _NEVER_S
    checked_s: float = _NEVER_S
    n_reached: int = 0
    avoided_until_s_by_id: dict[str, float] = field(default_factory=dict)


def record_reached(path: UpstreamPath, now_s: float) -> None:
    """Record that a direct connection to an upstream succeeded."""
    path.reached_s = now_s


def is_check_due(path: UpstreamPath, failed_s: float, now_s: float) -> bool:
    """Return whether a failed connection needs a check of other upstreams.

    Args:
        path: The path to the upstreams.
        failed_s: When the failed connection was begun, in seconds.
        now_s: Current time, in seconds.
    """
    if path.is_cut_off or path.reached_s >= failed_s:
        return False
    return now_s - path.checked_s >= _MIN_CHECK_INTERVAL_S


def record_check(path: UpstreamPath, is_cut_off: bool, now_s: float) -> None:
    """Record the result of a check."""
    path.is_cut_off = is_cut_off
    path.checked_s = now_s
    path.n_reached = 0


def record_probe(path: UpstreamPath, is_reached: bool, now_s: float) -> None:
    """Record a direct probe while cut off; enough successes end the cut."""
    if not is_reached:
        path.n_reached = 0
        return
    record_reached(path, now_s)
    path.n_reached += 1
    if path.n_reached >= _N_REACHED_TO_HEAL:
        path.is_cut_off = False


def avoid_peer(path: UpstreamPath, node_id: str, now_s: float) -> None:
    """Ask a peer that could not help for no further tunnel for a while."""
    path.avoided_until_s_by_id[node_id] = now_s + _AVOID_PEER_S


def plan_probe_peers(
    path: UpstreamPath,
    alive: Iterable[Peer],
    random_source: random.Random,
    now_s: float,
    max_peers: int = _MAX_PEERS,
) -> list[Peer]:
    """Choose the peers to ask whether they reach an upstream.

    They are of any data centre, since all nodes of one may be cut off without
    knowing it yet.

    Args:
        path: The path to the upstreams.
        alive: Responsive peers.
        random_source: Random generator for the order.
        now_s: Current time, in seconds.
        max_peers: Number of peers at most.
    """
    able = [peer for peer in alive if _can_help(path, peer, now_s)]
    random_source.shuffle(able)
    return able[:max_peers]


def plan_tunnel_peers(
    path: UpstreamPath,
    alive: Iterable[Peer],
    data_centre: str,
    random_source: random.Random,
    now_s: float,
) -> list[Peer]:
    """Choose the peers to ask for a tunnel, the first one first.

    Peers of the same data centre are preferred if there are at least as many
    that can help as nodes that need help, so that a few nodes of it do not
    carry the requests of all the others. Among equals the order is random.

    Args:
        path: The path to the upstreams.
        alive: Responsive peers; one that is cut off itself is not ready.
        data_centre: Data centre of this node.
        random_source: Random generator for the order.
        now_s: Current time, in seconds.
    """
    peers = list(alive)
    able = plan_probe_peers(path, peers, random_source, now_s, len(peers))
    n_local_ready = _count_local(peers, data_centre, is_ready=True)
    n_local_cut_off = 1 + _count_local(peers, data_centre, is_ready=False)
    if n_local_ready >= n_local_cut_off:
        able.sort(key=lambda peer: peer.data_centre != data_centre)
    return able[:_MAX_PEERS]


def _can_help(path: UpstreamPath, peer: Peer, now_s: float) -> bool:
    avoided_until_s = path.avoided_until_s_by_id.get(peer.node_id, _NEVER_S)
    return peer.is_ready and avoided_until_s <= now_s


def _count_local(peers: list[Peer], data_centre: str, is_ready: bool) -> int:
    return sum(
        peer.data_centre == data_centre and peer.is_ready is is_ready
        for peer in peers
    )
