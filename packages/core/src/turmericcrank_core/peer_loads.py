"""Sums the numbers of requests in progress that other nodes report."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ('PeerLoads', 'record_peer_loads', 'remove_peer_loads')


@dataclass(slots=True)
class PeerLoads:
    """Requests in progress at other nodes.

    Attributes:
        running_by_source: Requests in progress by upstream, as last reported
            by each node or cell.
        total_by_id: Sums over all nodes and cells, by upstream.
    """

    running_by_source: dict[str, Mapping[str, int]] = field(
        default_factory=dict
    )
    total_by_id: Counter[str] = field(default_factory=Counter)


def record_peer_loads(
    loads: PeerLoads, source: str, running_by_id: Mapping[str, int]
) -> None:
    """Replace the loads last reported by a node or cell with new ones."""
    remove_peer_loads(loads, source)
    loads.running_by_source[source] = running_by_id
    loads.total_by_id.update(running_by_id)


def remove_peer_loads(loads: PeerLoads, source: str) -> None:
    """Remove the loads reported by a node or cell."""
    previous = loads.running_by_source.pop(source, None)
    if previous:
        loads.total_by_id.subtract(previous)
