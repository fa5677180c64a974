"""Benchmark of upstream selection and authorization in the core."""

import random
import time
from collections.abc import Iterator

from turmericcrank_core.cells import make_cell_filter, plan_n_cells
from turmericcrank_core.requests import find_route
from turmericcrank_core.selection import (
    LoadTracker,
    SelectionCriteria,
    SelectionSettings,
    UpstreamLoad,
    build_ring,
    make_selector,
)
from turmericcrank_core.tables import Pool, PoolState, Upstream, check_tables

from turmericcrank_dev.experiments.results import (
    BenchLine,
    make_line,
)
from turmericcrank_dev.site_data import (
    PoolSpec,
    build_pool,
    build_route,
    build_tables,
)

__all__ = ('run_authorization', 'run_decisions')

_US = 1e6
_N_DECISIONS = 20000
_POOL_SIZES = (64, 512, 3500)


def run_decisions() -> Iterator[BenchLine]:
    """Measure the selection of an upstream by pool size."""
    times_us = []
    for n_upstreams in _POOL_SIZES:
        times_us.append(_time_decision(n_upstreams))
        yield make_line(
            f'decision.{n_upstreams}_upstreams',
            times_us[-1],
            'us',
            baseline=times_us[0],
            at_most=100,
        )


def run_authorization() -> Iterator[BenchLine]:
    """Measure authorization of a team by a lookup in the tables.

    Every node holds a copy of the tables, so a lookup decides every request
    and no case is left that would need inference.
    """
    pool = build_pool(PoolSpec('m', '1', {'u': 1}))
    teams = [f'team {number}' for number in range(10)]
    raw = build_tables(
        {
            f'route {number}': build_route('model', teams, ['pool'])
            for number in range(60)
        },
        {'pool': pool},
    )
    tables = check_tables(raw).ok
    started_s = time.perf_counter()
    n_allowed = 0
    for number in range(_N_DECISIONS):
        found = find_route(tables, f'route {number % 60}', 'team 3')
        n_allowed += found.is_ok()
    elapsed_s = time.perf_counter() - started_s
    yield make_line(
        'authorization.lookup', elapsed_s / _N_DECISIONS * _US, 'us'
    )
    yield make_line(
        'authorization.decided_from_tables', n_allowed / _N_DECISIONS, 'share'
    )


def _time_decision(n_upstreams: int) -> float:
    upstreams = {
        f'u{index}': Upstream(f'u{index}', 'x:1', 'dc1')
        for index in range(n_upstreams)
    }
    pool = Pool(
        'p',
        'm',
        '1',
        upstreams,
        0,
        0,
        8,
        PoolState.active,
        checks_fencing=True,
        generation=1,
    )
    rng = random.Random(1)
    n_cells = plan_n_cells(490, n_upstreams)
    ring = build_ring(pool, make_cell_filter('n1', n_cells))
    loads = {name: UpstreamLoad(n_own=rng.randrange(8)) for name in upstreams}
    select = make_selector(LoadTracker(loads), SelectionSettings(), rng)
    started_s = time.perf_counter()
    for number in range(_N_DECISIONS):
        select(ring, SelectionCriteria(prefix_key=f'prefix {number}'), 0)
    return (time.perf_counter() - started_s) / _N_DECISIONS * _US
