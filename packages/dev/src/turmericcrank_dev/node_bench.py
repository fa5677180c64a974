"""Measures what one real node costs: requests, events, control, memory."""

import random
import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from turmericcrank_core.cells import make_home_test, plan_n_cells
from turmericcrank_core.requests import find_route
from turmericcrank_core.selection import (
    LoadBook,
    SelectionSettings,
    UpstreamLoad,
    Wish,
    build_ring,
    make_selector,
)
from turmericcrank_core.tables import Pool, PoolState, Upstream, check_tables

from turmericcrank_dev.experiments.results import (
    BenchLine,
    find_percentile,
    make_line,
)
from turmericcrank_dev.load import LoadPlan, run_load
from turmericcrank_dev.process_usage import Usage, read_usage
from turmericcrank_dev.site import Site, wait_until
from turmericcrank_dev.site_data import (
    TEAM_KEYS,
    PoolPlan,
    build_pool,
    build_route,
    build_tables,
)

__all__ = (
    'run_authorization',
    'run_decisions',
    'run_node_costs',
    'run_node_slopes',
)

_MS = 1000
_US = 1e6
_MEBIBYTE = 1024 * 1024
_RELAY = 'bare-relay'
_N_WHOLE = 1500
_N_STREAMS = 40
_SHORT_TOKENS = 20
_LONG_TOKENS = 220
_N_DECISIONS = 20000
_IDLE_S = 15
_EDITS = 6
_P95 = 95
_PERCENT = 100
_POOL_SIZES = (64, 512, 3500)
_NODE_COUNTS = (2, 8, 20, 40)


def run_decisions() -> Iterator[BenchLine]:
    """Measure one choice of an upstream against the size of the pool."""
    figures = []
    for n_upstreams in _POOL_SIZES:
        figures.append(_time_decision(n_upstreams))
        yield make_line(
            f'decision.{n_upstreams}_upstreams',
            figures[-1],
            'us',
            baseline=figures[0],
            at_most=100,
        )


def run_authorization() -> Iterator[BenchLine]:
    """Measure what deciding on a team's permission costs from the tables.

    Every node holds the tables, so every request is decided by a look-up,
    and no answer is left for an inference to add.
    """
    pool = build_pool(PoolPlan('m', '1', {'u': 1}))
    teams = [f'team {number}' for number in range(10)]
    raw = build_tables(
        {
            f'route {number}': build_route('model', teams, ['pool'])
            for number in range(60)
        },
        {'pool': pool},
    )
    tables = check_tables(raw).ok
    begun_s = time.perf_counter()
    n_decided = 0
    for number in range(_N_DECISIONS):
        found = find_route(tables, f'route {number % 60}', 'team 3')
        n_decided += found.is_ok()
    took_s = time.perf_counter() - begun_s
    yield make_line('authorization.lookup', took_s / _N_DECISIONS * _US, 'us')
    yield make_line(
        'authorization.decided_from_tables', n_decided / _N_DECISIONS, 'share'
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
    source = random.Random(1)
    n_cells = plan_n_cells(490, n_upstreams)
    ring = build_ring(pool, make_home_test('n1', n_cells))
    loads = {
        name: UpstreamLoad(n_own=source.randrange(8)) for name in upstreams
    }
    select = make_selector(LoadBook(loads), SelectionSettings(), source)
    begun_s = time.perf_counter()
    for number in range(_N_DECISIONS):
        select(ring, Wish(prefix_key=f'prefix {number}'), 0)
    return (time.perf_counter() - begun_s) / _N_DECISIONS * _US


@dataclass(slots=True)
class _Bench:
    """A site with one engine, one node and a bare relay before the engine."""

    site: Site
    relay_port: int

    def address(self, name: str) -> str:
        """Give the address of the node or of the relay."""
        if name == _RELAY:
            return f'127.0.0.1:{self.relay_port}'
        return self.site.nodes_by_name[name].caller_address

    def measure(self, name: str, **fields: Any) -> float:
        """Give the processor time for a load, in seconds."""
        plan = LoadPlan(self.address(name), TEAM_KEYS['planners'], **fields)
        before = read_usage(self.site.find_pid(name)).cpu_s
        done = run_load(plan)
        if set(done.statuses) != {200}:
            raise RuntimeError(f'the load was refused: {done.statuses}')
        return read_usage(self.site.find_pid(name)).cpu_s - before

    def find_event_ms(self, name: str) -> float:
        """Give the processor time of an event, from short and long streams."""
        used_s = [
            self.measure(
                name,
                n_requests=_N_STREAMS,
                n_callers=_N_STREAMS,
                n_tokens=n_tokens,
                stream=True,
            )
            for n_tokens in (_SHORT_TOKENS, _LONG_TOKENS)
        ]
        n_more = _N_STREAMS * (_LONG_TOKENS - _SHORT_TOKENS)
        return (used_s[1] - used_s[0]) / n_more * _MS


def run_node_costs() -> Iterator[BenchLine]:
    """Measure processor time per request and per event, and overload."""
    for token_ms in (5, 30):
        site = Site()
        try:
            bench = _start_bench(site, token_ms / _MS)
            yield _measure_events(bench, token_ms)
            if token_ms == 5:
                yield _measure_requests(bench)
                yield from _measure_refusals(bench)
        finally:
            site.stop()


def _start_bench(site: Site, token_delay_s: float) -> _Bench:
    site.start_platform()
    port = site.start_engine('engine', token_delay_s=token_delay_s, slots=256)
    site.add_node('n1', 'dc1')
    site.start_node('n1', poll_s=1, freshness_bound_s=4, bill_flush_s=0.5)
    site.wait_for_members()
    pool = build_pool(
        PoolPlan('small', '1', {'engine': port}, {'capacity': 256})
    )
    route = build_route('model', ['planners'], ['small'])
    site.apply_tables(build_tables({'quotes': route}, {'small': pool}))
    bench = _Bench(site, site.start_bare_relay(port))
    for name in ('n1', _RELAY):
        bench.measure(name, n_requests=50)
    return bench


def _measure_requests(bench: _Bench) -> BenchLine:
    cost_ms = {}
    for name in (_RELAY, 'n1'):
        cpu_s = bench.measure(
            name, n_requests=_N_WHOLE, n_callers=8, n_tokens=2
        )
        cost_ms[name] = cpu_s / _N_WHOLE * _MS
    return make_line(
        'node.cpu_per_whole_request',
        cost_ms['n1'],
        'ms',
        baseline=cost_ms[_RELAY],
        ratio_at_most=1.15,
    )


def _measure_events(bench: _Bench, token_ms: int) -> BenchLine:
    return make_line(
        f'node.cpu_per_streamed_event.{token_ms}_ms_between',
        bench.find_event_ms('n1'),
        'ms',
        baseline=bench.find_event_ms(_RELAY),
        ratio_at_most=0.5,
    )


def _measure_refusals(bench: _Bench) -> Iterator[BenchLine]:
    """Refuse everything: a pool without upstreams and 8 callers."""
    tables = build_tables(
        {'quotes': build_route('model', ['planners'], ['small'])},
        {'small': build_pool(PoolPlan('small', '1', {}))},
    )
    bench.site.apply_tables(tables)
    plan = LoadPlan(
        bench.address('n1'),
        TEAM_KEYS['planners'],
        n_requests=400,
        n_callers=8,
    )
    done = run_load(plan)
    yield make_line(
        'overload.refusal.95th_percentile',
        find_percentile(done.refused_s, _P95) * _MS,
        'ms',
        at_most=50,
    )


@dataclass(slots=True, frozen=True)
class _Idle:
    """What one node uses for control alone.

    Attributes:
        cpu_share: Share of a core.
        memory_mib: Resident memory.
        edit_s: Longest time until an edit was in force everywhere.
        peer_bytes_per_s: Bytes to and from the other nodes.
        store_calls_per_s: Calls to the platform.
    """

    cpu_share: float
    memory_mib: float
    edit_s: float
    peer_bytes_per_s: float
    store_calls_per_s: float


def run_node_slopes() -> Iterator[BenchLine]:
    """Measure control against the number of real nodes, without load."""
    idles = {}
    for n_nodes in _NODE_COUNTS:
        idles[n_nodes] = _measure_idle(n_nodes)
        yield from _describe_idle(n_nodes, idles[n_nodes])
    low, high = _NODE_COUNTS[0], _NODE_COUNTS[2]
    more = idles[high].cpu_share - idles[low].cpu_share
    yield make_line(
        'control.cpu_per_sampled_peer',
        more * _PERCENT / (high - low),
        '% of a core',
    )


def _describe_idle(n_nodes: int, idle: _Idle) -> Iterator[BenchLine]:
    name = f'control.{n_nodes}_nodes'
    yield make_line(
        f'{name}.cpu', idle.cpu_share * _PERCENT, '% of a core', at_most=3.2
    )
    yield make_line(f'{name}.memory', idle.memory_mib, 'MiB', at_most=256)
    yield make_line(f'{name}.edit_in_force', idle.edit_s, 's', at_most=5)
    yield make_line(
        f'{name}.peer_bytes', idle.peer_bytes_per_s, 'B/s', at_most=9000
    )
    yield make_line(
        f'{name}.store_calls', idle.store_calls_per_s, 'calls/s per node'
    )


def _measure_idle(n_nodes: int) -> _Idle:
    site = Site()
    try:
        return _measure_idle_site(site, n_nodes)
    finally:
        site.stop()


def _measure_idle_site(site: Site, n_nodes: int) -> _Idle:
    tables = _start_idle_site(site, n_nodes)
    before = _read_all(site)
    counts = [site.count_store_calls(), site.read_status()['peer_bytes']]
    time.sleep(_IDLE_S)
    after = _read_all(site)
    n_calls = site.count_store_calls() - counts[0]
    n_bytes = site.read_status()['peer_bytes'] - counts[1]
    used_s = sum(usage.cpu_s for usage in after)
    used_s -= sum(usage.cpu_s for usage in before)
    return _Idle(
        used_s / n_nodes / _IDLE_S,
        max(usage.memory_bytes for usage in after) / _MEBIBYTE,
        max(_time_edit(site, tables, step) for step in range(_EDITS)),
        n_bytes / _IDLE_S,
        n_calls / n_nodes / _IDLE_S,
    )


def _start_idle_site(site: Site, n_nodes: int) -> dict[str, Any]:
    site.start_platform()
    port = site.start_engine('engine')
    for number in range(n_nodes):
        site.add_node(f'n{number}', f'dc{number % 2}')
    for name in site.nodes_by_name:
        site.start_node(name, poll_s=1, freshness_bound_s=4)
    site.wait_for_members()
    pool = build_pool(PoolPlan('small', '1', {'engine': port}))
    route = build_route('model', ['planners'], ['small'])
    tables = build_tables({'quotes': route}, {'small': pool})
    site.apply_tables(tables)
    return tables


def _read_all(site: Site) -> list[Usage]:
    return [read_usage(site.find_pid(name)) for name in site.nodes_by_name]


def _time_edit(site: Site, tables: dict[str, Any], step: int) -> float:
    """Give the time from the call of the client until all nodes confirm."""
    route = {**tables['routes']['quotes'], 'deadline_s': 30 + step}
    begun_s = time.monotonic()
    site.apply_tables({**tables, 'routes': {'quotes': route}})
    wait_until(lambda: _is_in_force(site), 10, 'in force')
    return time.monotonic() - begun_s


def _is_in_force(site: Site) -> bool:
    status = site.read_status()
    return all(
        node['revision'] == status['revision'] for node in status['nodes']
    )
