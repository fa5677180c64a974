"""Chooses the gossip peers of a node, so that gossip scales to many nodes.

A small number of nodes forms a single cell, in which every node sends to
every other. A larger number is partitioned into cells, each within one data
centre. Inside a cell every node sends to every other. Between two cells, one
node of each sends the state of its whole cell to the other and forwards what
it receives to its own cell. Every node computes the cells from the node
names that it knows; while nodes know different names, some messages are sent
twice.
"""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

import xxhash

from turmericcrank_core.cells import find_cell
from turmericcrank_core.membership import Membership, Peer, iter_alive

__all__ = ('GossipPlan', 'plan_digest_interval_s', 'plan_gossip')

_MIN_PEERS_FOR_CELLS = 15
_NODES_PER_CELL = 20
_DIGEST_INTERVAL_S = 0.8
_CELLS_PER_INTERVAL = 4


@dataclass(slots=True, frozen=True)
class GossipPlan:
    """Gossip peers of a node.

    Attributes:
        cell: Name of its cell; empty if all nodes form a single cell.
        cell_peers: The other nodes of the cell.
        bridge_peers: Nodes of other cells to which it sends the state of its
            own cell.
        n_cells: Number of cells in all data centres.
        is_reading_cell: Whether its cell is the first by name among the cells
            with a responsive node; that cell reads the store for all.
    """

    cell: str = ''
    cell_peers: tuple[Peer, ...] = ()
    bridge_peers: tuple[Peer, ...] = ()
    n_cells: int = 1
    is_reading_cell: bool = True


@dataclass(slots=True)
class _Cell:
    """Responsive and unresponsive nodes of one cell."""

    responsive: list[Peer] = field(default_factory=list)
    unresponsive: list[Peer] = field(default_factory=list)


def plan_gossip(members: Membership, own: Peer, now_s: float) -> GossipPlan:
    """Choose the gossip peers of a node.

    Args:
        members: The other nodes.
        own: This node.
        now_s: Current time, in seconds.
    """
    known = list(members.by_id.values())
    if len(known) < _MIN_PEERS_FOR_CELLS:
        return GossipPlan(cell_peers=tuple(known))
    cell_by_id = _assign_cells([own, *known])
    own_cell = cell_by_id[own.node_id]
    responsive_ids = {peer.node_id for peer in iter_alive(members, now_s)}
    cells = _group_cells(known, cell_by_id, responsive_ids)
    own_cell_nodes = cells.setdefault(own_cell, _Cell())
    cell_peers = (*own_cell_nodes.responsive, *own_cell_nodes.unresponsive)
    own_cell_nodes.responsive.append(own)
    return GossipPlan(
        own_cell,
        cell_peers,
        tuple(_iter_bridge_peers(cells, own_cell, own.node_id, now_s)),
        len(cells),
        own_cell
        == min(name for name, cell in cells.items() if cell.responsive),
    )


def plan_digest_interval_s(n_cells: int) -> float:
    """Return the interval between two digests sent to other cells, in seconds.

    With more than ``_CELLS_PER_INTERVAL`` cells it grows in proportion to
    their number.

    Example:
        >>> plan_digest_interval_s(4), plan_digest_interval_s(32)
        (0.8, 6.4)
    """
    return _DIGEST_INTERVAL_S * max(1, n_cells / _CELLS_PER_INTERVAL)


def _assign_cells(peers: Iterable[Peer]) -> dict[str, str]:
    """Map each node to its cell, a partition of the node's data centre."""
    peers = list(peers)
    n_by_data_centre = Counter(peer.data_centre for peer in peers)
    n_cells_by_data_centre = {
        data_centre: 2 ** math.ceil(math.log2(max(1, count / _NODES_PER_CELL)))
        for data_centre, count in n_by_data_centre.items()
    }
    return {
        peer.node_id: _format_cell_name(
            peer, n_cells_by_data_centre[peer.data_centre]
        )
        for peer in peers
    }


def _format_cell_name(peer: Peer, n_cells: int) -> str:
    return f'{peer.data_centre}/{n_cells}/{find_cell(peer.node_id, n_cells)}'


def _group_cells(
    peers: Iterable[Peer], cell_by_id: dict[str, str], responsive_ids: set[str]
) -> dict[str, _Cell]:
    cells: dict[str, _Cell] = {}
    for peer in peers:
        cell = cells.setdefault(cell_by_id[peer.node_id], _Cell())
        is_responsive = peer.node_id in responsive_ids
        (cell.responsive if is_responsive else cell.unresponsive).append(peer)
    return cells


def _iter_bridge_peers(
    cells: dict[str, _Cell], own_cell: str, own_id: str, now_s: float
) -> Iterable[Peer]:
    """Yield the peer in each other cell whose link this node maintains.

    A hash of the link chooses one responsive node of each of its two cells.
    If the other cell has no responsive node, the hash also depends on the
    current second, so that different nodes are tried.
    """
    for name, cell in cells.items():
        if name == own_cell:
            continue
        link = '-'.join(sorted((own_cell, name)))
        if (
            _choose_link_peer(cells[own_cell].responsive, link).node_id
            != own_id
        ):
            continue
        if cell.responsive:
            yield _choose_link_peer(cell.responsive, link)
        else:
            yield _choose_link_peer(cell.unresponsive, f'{link}/{int(now_s)}')


def _choose_link_peer(peers: list[Peer], link: str) -> Peer:
    return min(
        peers,
        key=lambda peer: xxhash.xxh3_64_intdigest(
            f'{link}/{peer.node_id}'.encode()
        ),
    )
