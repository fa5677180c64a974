"""Parts the nodes into cells that share upstreams and news of load.

Every node finds the same cells from the same VM list, without a word to
the others. A cell is large enough that its upstreams even out, and small
enough that its news stay cheap.
"""

import math
from collections.abc import Callable, Iterable

import xxhash

from turmericcrank_core.tables import Upstream

__all__ = ('make_home_test', 'plan_cell', 'plan_n_cells')

_NODES_PER_CELL = 8
_MIN_UPSTREAMS = 16


def plan_n_cells(n_nodes: int, n_upstreams: int) -> int:
    """Plan the number of cells, a power of two so that it seldom changes.

    Args:
        n_nodes: Entry nodes on the VM list.
        n_upstreams: Upstreams of all pools.

    Example:
        >>> plan_n_cells(8, 6), plan_n_cells(490, 3500)
        (1, 32)
    """
    most = min(n_nodes // _NODES_PER_CELL, n_upstreams // _MIN_UPSTREAMS)
    return 2 ** int(math.log2(most)) if most > 1 else 1


def plan_cell(node_ids: Iterable[str], own_id: str, n_cells: int) -> set[str]:
    """List the other nodes of a node's cell."""
    cell = _find_cell(own_id, n_cells)
    return {
        node_id
        for node_id in node_ids
        if node_id != own_id and _find_cell(node_id, n_cells) == cell
    }


def make_home_test(own_id: str, n_cells: int) -> Callable[[Upstream], bool]:
    """Make the test whether an upstream belongs to a node's cell."""
    cell = _find_cell(own_id, n_cells)

    def is_home(upstream: Upstream) -> bool:
        return _find_cell(upstream.upstream_id, n_cells) == cell

    return is_home


def _find_cell(name: str, n_cells: int) -> int:
    return xxhash.xxh3_64_intdigest(name.encode()) % n_cells
