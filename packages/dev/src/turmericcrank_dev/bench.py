"""Benchmarks; ``make bench`` prints one JSON object per line."""

import sys
from collections.abc import Callable, Iterator

import fire

from turmericcrank_dev.control_bench import run_node_slopes
from turmericcrank_dev.decision_bench import run_authorization, run_decisions
from turmericcrank_dev.experiments.cost import run_cost
from turmericcrank_dev.experiments.exposure import run_exposure
from turmericcrank_dev.experiments.latency import run_latency
from turmericcrank_dev.experiments.overload import run_overload
from turmericcrank_dev.experiments.results import BenchLine, format_line
from turmericcrank_dev.memory_bench import run_memory
from turmericcrank_dev.news_bench import run_news
from turmericcrank_dev.node_bench import run_node_costs

__all__ = ('main',)

_PARTS: dict[str, Callable[[], Iterator[BenchLine]]] = {
    'cost': run_cost,
    'latency': run_latency,
    'exposure': run_exposure,
    'overload': run_overload,
    'decisions': run_decisions,
    'authorization': run_authorization,
    'memory': run_memory,
    'node': run_node_costs,
    'slopes': run_node_slopes,
    'news': run_news,
}


def main(*parts: str) -> None:
    """Run benchmarks.

    Args:
        parts: Names of the benchmarks to run; none means all.
    """
    for part in parts or _PARTS:
        for line in _PARTS[part]():
            sys.stdout.write(f'{format_line(line)}\n')
            sys.stdout.flush()


if __name__ == '__main__':
    fire.Fire(main)
