"""Sends counters, timings and gauges to a statsd server."""

from collections.abc import Callable
from dataclasses import dataclass

import statsd
from turmericcrank_core.network_address import split_address

__all__ = ('Metrics', 'make_metrics')


@dataclass(slots=True, frozen=True)
class Metrics:
    """Functions that record the three kinds of metric.

    Attributes:
        count: Increments a counter by one.
        time_ms: Records a duration in milliseconds.
        gauge: Sets a gauge.
    """

    count: Callable[[str], None]
    time_ms: Callable[[str, float], None]
    gauge: Callable[[str, float], None]


def make_metrics(address: str, node_id: str) -> Metrics:
    """Create the functions that record the metrics of a node.

    Args:
        address: ``IP:port`` of the statsd server, or ``none``.
        node_id: Id of the node; the prefix is ``turmericcrank.<node_id>``.
    """
    if address == 'none':
        return Metrics(_ignore, _ignore, _ignore)
    host, port = split_address(address)
    client = statsd.StatsClient(host, port, prefix=f'turmericcrank.{node_id}')
    return Metrics(client.incr, client.timing, client.gauge)


def _ignore(*_args: object) -> None:
    """Discard a metric when no statsd server is configured."""
