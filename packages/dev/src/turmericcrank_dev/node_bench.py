"""Benchmark of one node process: requests, stream events, rejections."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from turmericcrank_dev.experiments.results import (
    BenchLine,
    find_percentile,
    make_line,
)
from turmericcrank_dev.load import LoadPlan, run_load
from turmericcrank_dev.process_usage import read_usage
from turmericcrank_dev.site import Site
from turmericcrank_dev.site_data import (
    TEAM_KEYS,
    PoolSpec,
    build_pool,
    build_route,
    build_tables,
)

__all__ = ('run_node_costs',)

_MS = 1000
_RELAY = 'bare-relay'
_N_REQUESTS = 1500
_N_STREAMS = 40
_SHORT_TOKENS = 20
_LONG_TOKENS = 220
_P95 = 95


@dataclass(slots=True)
class _NodeBench:
    """A site with one engine behind one node and behind a bare relay."""

    site: Site
    relay_port: int

    def find_address(self, name: str) -> str:
        """Return the address of the node or the relay."""
        if name == _RELAY:
            return f'127.0.0.1:{self.relay_port}'
        return self.site.nodes_by_name[name].client_address

    def measure_cpu_s(self, name: str, **fields: Any) -> float:
        """Send a load and return the processor time used, in seconds."""
        plan = LoadPlan(
            self.find_address(name), TEAM_KEYS['planners'], **fields
        )
        before = read_usage(self.site.find_pid(name)).cpu_s
        load_result = run_load(plan)
        if set(load_result.statuses) != {200}:
            raise RuntimeError(
                f'load got unexpected HTTP statuses: {load_result.statuses}'
            )
        return read_usage(self.site.find_pid(name)).cpu_s - before

    def measure_event_ms(self, name: str) -> float:
        """Return the milliseconds of processor time per stream event.

        It is the difference between long and short streams, so that costs
        per request cancel out.
        """
        used_s = [
            self.measure_cpu_s(
                name,
                n_requests=_N_STREAMS,
                n_callers=_N_STREAMS,
                n_tokens=n_tokens,
                stream=True,
            )
            for n_tokens in (_SHORT_TOKENS, _LONG_TOKENS)
        ]
        n_extra_events = _N_STREAMS * (_LONG_TOKENS - _SHORT_TOKENS)
        return (used_s[1] - used_s[0]) / n_extra_events * _MS


def run_node_costs() -> Iterator[BenchLine]:
    """Measure processor time per request and event, and rejection time."""
    for token_ms in (5, 30):
        site = Site()
        try:
            bench = _start_bench(site, token_ms / _MS)
            yield _measure_events(bench, token_ms)
            if token_ms == 5:
                yield _measure_requests(bench)
                yield from _measure_rejections(bench)
        finally:
            site.stop()


def _start_bench(site: Site, token_delay_s: float) -> _NodeBench:
    site.start_platform()
    port = site.start_engine('engine', token_delay_s=token_delay_s, slots=256)
    site.add_node('n1', 'dc1')
    site.start_node('n1', poll_s=1, freshness_bound_s=4, bill_flush_s=0.5)
    site.wait_for_members()
    pool = build_pool(
        PoolSpec('small', '1', {'engine': port}, {'capacity': 256})
    )
    route = build_route('model', ['planners'], ['small'])
    site.apply_tables(build_tables({'quotes': route}, {'small': pool}))
    bench = _NodeBench(site, site.start_bare_relay(port))
    for name in ('n1', _RELAY):
        bench.measure_cpu_s(name, n_requests=50)
    return bench


def _measure_requests(bench: _NodeBench) -> BenchLine:
    cost_ms = {}
    for name in (_RELAY, 'n1'):
        cpu_s = bench.measure_cpu_s(
            name, n_requests=_N_REQUESTS, n_callers=8, n_tokens=2
        )
        cost_ms[name] = cpu_s / _N_REQUESTS * _MS
    return make_line(
        'node.cpu_per_whole_request',
        cost_ms['n1'],
        'ms',
        baseline=cost_ms[_RELAY],
        ratio_at_most=1.15,
    )


def _measure_events(bench: _NodeBench, token_ms: int) -> BenchLine:
    return make_line(
        f'node.cpu_per_streamed_event.{token_ms}_ms_between',
        bench.measure_event_ms('n1'),
        'ms',
        baseline=bench.measure_event_ms(_RELAY),
        ratio_at_most=0.5,
    )


def _measure_rejections(bench: _NodeBench) -> Iterator[BenchLine]:
    """Measure rejections by a pool without upstreams, for 8 clients."""
    tables = build_tables(
        {'quotes': build_route('model', ['planners'], ['small'])},
        {'small': build_pool(PoolSpec('small', '1', {}))},
    )
    bench.site.apply_tables(tables)
    plan = LoadPlan(
        bench.find_address('n1'),
        TEAM_KEYS['planners'],
        n_requests=400,
        n_callers=8,
    )
    load_result = run_load(plan)
    yield make_line(
        'overload.refusal.95th_percentile',
        find_percentile(load_result.rejection_s, _P95) * _MS,
        'ms',
        at_most=50,
    )
