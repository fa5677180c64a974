"""Benchmark of the memory of a node's state, by traced allocations."""

import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

import msgpack
from turmericcrank_core.billing import (
    BatchState,
    Bill,
    add_bill,
    serialize_bill,
)
from turmericcrank_core.cells import make_cell_filter
from turmericcrank_core.revisions import (
    RevisionState,
    Snapshot,
    adopt_snapshot,
)
from turmericcrank_core.selection import UpstreamLoad, build_ring

from turmericcrank_dev.experiments.results import BenchLine, make_line
from turmericcrank_dev.site_data import (
    PoolSpec,
    build_pool,
    build_route,
    build_tables,
)

__all__ = ('run_memory',)

_KIBIBYTE = 1024
_N_POOLS = 14
_N_UPSTREAMS = 3500
_N_BILLS = 20000


def run_memory() -> Iterator[BenchLine]:
    """Measure state sizes in memory, and tables and a bill as msgpack."""
    raw = _make_raw_tables()
    state = RevisionState()
    sizes_by_name = {
        'tables': _measure_bytes(lambda: _adopt(state, raw)) / _N_UPSTREAMS,
        'rings': _measure_bytes(lambda: _build_rings(state)) / _N_UPSTREAMS,
        'loads': _measure_bytes(_make_loads) / _N_UPSTREAMS,
        'waiting_bill': _measure_bytes(_make_bills) / _N_BILLS,
    }
    for name, size in sizes_by_name.items():
        yield make_line(f'memory.{name}', size, 'B each')
    packed = msgpack.packb(serialize_bill(_make_bill(1)))
    yield make_line('bytes.bill_copy', len(packed), 'B')
    yield make_line('bytes.tables', len(msgpack.packb(raw)) / _KIBIBYTE, 'KiB')


def _measure_bytes(build: Callable[[], Any]) -> int:
    tracemalloc.start()
    kept = [build()]
    size, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    kept.clear()
    return size


def _make_raw_tables() -> dict[str, Any]:
    pools = {
        f'pool {pool}': build_pool(
            PoolSpec(
                f'model {pool}',
                '1',
                {
                    f'upstream-{number}': number
                    for number in range(pool, _N_UPSTREAMS, _N_POOLS)
                },
            )
        )
        for pool in range(_N_POOLS)
    }
    teams = [f'team {number}' for number in range(10)]
    routes = {
        f'route {number}': build_route(
            'model', teams, [f'pool {number % _N_POOLS}']
        )
        for number in range(60)
    }
    return build_tables(routes, pools)


def _adopt(state: RevisionState, raw: dict[str, Any]) -> RevisionState:
    adopt_snapshot(state, Snapshot(1, raw))
    return state


def _build_rings(state: RevisionState) -> list[Any]:
    is_home = make_cell_filter('n1', 32)
    return [
        build_ring(pool, is_home)
        for pool in state.tables.pools_by_name.values()
    ]


def _make_loads() -> dict[str, UpstreamLoad]:
    return {
        f'upstream-{number}': UpstreamLoad() for number in range(_N_UPSTREAMS)
    }


def _make_bills() -> BatchState:
    batches = BatchState('n1-0123456789abcdef')
    for number in range(_N_BILLS):
        add_bill(batches, _make_bill(number))
    return batches


def _make_bill(number: int) -> Bill:
    return Bill(
        f'{number:032x}', 'planners', 'quotes', 'small@1', 300, 337, 1234.5
    )
