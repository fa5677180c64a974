"""Partitions the nodes into cells that share upstreams and load counts.

Every node computes the same cells from the same VM list, without any
coordination. A cell has enough upstreams to balance its load, and few
enough nodes to keep the exchange of load counts cheap.
"""

import math
from collections.abc import Callable, Iterable

import xxhash

from turmericcrank_core.tables import Upstream

__all__ = (
    'find_cell',
    'make_cell_filter',
    'plan_cell_peers',
    'plan_interval_s',
    'plan_n_cells',
)

_NODES_PER_CELL = 8
_MIN_UPSTREAMS = 16


def plan_n_cells(n_nodes: int, n_upstreams: int) -> int:
    """Return the number of cells, a power of two so that it seldom changes.

    Args:
        n_nodes: Entry nodes on the VM list.
        n_upstreams: Upstreams of all pools.

    Example:
        >>> plan_n_cells(8, 6), plan_n_cells(490, 3500)
        (1, 32)
    """
    max_cells = min(n_nodes // _NODES_PER_CELL, n_upstreams // _MIN_UPSTREAMS)
    return 2 ** int(math.log2(max_cells)) if max_cells > 1 else 1


def plan_interval_s(
    base_s: float, n_nodes: int, max_unscaled_nodes: int
) -> float:
    """Scale an interval so that the total rate of all nodes is bounded.

    Args:
        base_s: Interval of a small site, in seconds.
        n_nodes: Entry nodes on the VM list.
        max_unscaled_nodes: Number of nodes up to which the interval is not
            scaled.

    Example:
        >>> plan_interval_s(1, 8, 250), plan_interval_s(1, 500, 250)
        (1, 2.0)
    """
    return base_s * max(1, n_nodes / max_unscaled_nodes)


def plan_cell_peers(
    node_ids: Iterable[str], own_id: str, n_cells: int
) -> set[str]:
    """Return the other nodes of a node's cell."""
    cell = find_cell(own_id, n_cells)
    return {
        node_id
        for node_id in node_ids
        if node_id != own_id and find_cell(node_id, n_cells) == cell
    }


def make_cell_filter(own_id: str, n_cells: int) -> Callable[[Upstream], bool]:
    """Make the predicate for the upstreams of a node's cell."""
    cell = find_cell(own_id, n_cells)

    def is_home(upstream: Upstream) -> bool:
        return find_cell(upstream.upstream_id, n_cells) == cell

    return is_home


def find_cell(name: str, n_cells: int) -> int:
    """Return the cell of a node or an upstream, from a hash of its id."""
    return xxhash.xxh3_64_intdigest(name.encode()) % n_cells
