"""Benchmark of the control plane of a node by number of nodes."""

import time
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from turmericcrank_dev.experiments.results import (
    BenchLine,
    make_line,
)
from turmericcrank_dev.process_usage import Usage, read_usage
from turmericcrank_dev.processes import wait_until
from turmericcrank_dev.site import Site
from turmericcrank_dev.site_data import (
    PoolSpec,
    build_pool,
    build_route,
    build_tables,
)

__all__ = ('run_node_slopes',)

_MEBIBYTE = 1024 * 1024
_MEASURED_S = 15
_N_EDITS = 6
_PERCENT = 100
_NODE_COUNTS = (2, 8, 20, 40)


@dataclass(slots=True, frozen=True)
class _IdleUsage:
    """Resource usage of one node without client requests.

    Attributes:
        cpu_share: Mean processor time of a node, as a share of one core.
        memory_mib: Highest resident memory of any node, in MiB.
        edit_s: Longest time until an edit was in force on all nodes, in
            seconds.
        peer_bytes_per_s: Bytes per second to and from the other nodes.
        store_calls_per_s: Requests per second and node to the platform.
    """

    cpu_share: float
    memory_mib: float
    edit_s: float
    peer_bytes_per_s: float
    store_calls_per_s: float


def run_node_slopes() -> Iterator[BenchLine]:
    """Measure idle sites of several sizes, with real node processes."""
    usages_by_n_nodes = {}
    for n_nodes in _NODE_COUNTS:
        usages_by_n_nodes[n_nodes] = _measure_idle(n_nodes)
        yield from _describe_idle(n_nodes, usages_by_n_nodes[n_nodes])
    low, high = _NODE_COUNTS[0], _NODE_COUNTS[2]
    extra_cpu_share = (
        usages_by_n_nodes[high].cpu_share - usages_by_n_nodes[low].cpu_share
    )
    yield make_line(
        'control.cpu_per_sampled_peer',
        extra_cpu_share * _PERCENT / (high - low),
        '% of a core',
    )


def _describe_idle(n_nodes: int, idle_usage: _IdleUsage) -> Iterator[BenchLine]:
    name = f'control.{n_nodes}_nodes'
    yield make_line(
        f'{name}.cpu',
        idle_usage.cpu_share * _PERCENT,
        '% of a core',
        at_most=3.2,
    )
    yield make_line(f'{name}.memory', idle_usage.memory_mib, 'MiB', at_most=256)
    yield make_line(f'{name}.edit_in_force', idle_usage.edit_s, 's', at_most=5)
    yield make_line(
        f'{name}.peer_bytes', idle_usage.peer_bytes_per_s, 'B/s', at_most=9000
    )
    yield make_line(
        f'{name}.store_calls', idle_usage.store_calls_per_s, 'calls/s per node'
    )


def _measure_idle(n_nodes: int) -> _IdleUsage:
    site = Site()
    try:
        return _measure_idle_site(site, n_nodes)
    finally:
        site.stop()


def _measure_idle_site(site: Site, n_nodes: int) -> _IdleUsage:
    tables = _start_idle_site(site, n_nodes)
    before = _read_usages(site)
    counts = [site.count_store_calls(), site.read_status()['peer_bytes']]
    time.sleep(_MEASURED_S)
    after = _read_usages(site)
    n_calls = site.count_store_calls() - counts[0]
    n_bytes = site.read_status()['peer_bytes'] - counts[1]
    used_s = sum(usage.cpu_s for usage in after)
    used_s -= sum(usage.cpu_s for usage in before)
    return _IdleUsage(
        used_s / n_nodes / _MEASURED_S,
        max(usage.memory_bytes for usage in after) / _MEBIBYTE,
        max(_time_edit(site, tables, step) for step in range(_N_EDITS)),
        n_bytes / _MEASURED_S,
        n_calls / n_nodes / _MEASURED_S,
    )


def _start_idle_site(site: Site, n_nodes: int) -> dict[str, Any]:
    site.start_platform()
    port = site.start_engine('engine')
    for number in range(n_nodes):
        site.add_node(f'n{number}', f'dc{number % 2}')
    for name in site.nodes_by_name:
        site.start_node(name, poll_s=1, freshness_bound_s=4)
    site.wait_for_members()
    pool = build_pool(PoolSpec('small', '1', {'engine': port}))
    route = build_route('model', ['planners'], ['small'])
    tables = build_tables({'quotes': route}, {'small': pool})
    site.apply_tables(tables)
    return tables


def _read_usages(site: Site) -> list[Usage]:
    return [read_usage(site.find_pid(name)) for name in site.nodes_by_name]


def _time_edit(site: Site, tables: dict[str, Any], step: int) -> float:
    """Return the seconds from an edit until all nodes report its revision."""
    route = {**tables['routes']['quotes'], 'deadline_s': 30 + step}
    started_s = time.monotonic()
    site.apply_tables({**tables, 'routes': {'quotes': route}})
    wait_until(
        lambda: _is_in_force(site), 10, 'all nodes report the new revision'
    )
    return time.monotonic() - started_s


def _is_in_force(site: Site) -> bool:
    status = site.read_status()
    return all(
        node['revision'] == status['revision'] for node in status['nodes']
    )
