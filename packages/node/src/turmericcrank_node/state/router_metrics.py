"""Counters and latency histograms of one node, exported to Prometheus.

Every log event is counted here as well, so counts are complete even when the
log drops lines.
"""

from dataclasses import dataclass

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

__all__ = ('RouterMetrics', 'make_metrics', 'write_metrics')

_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.5, 1, 2, 4, 8, 15)


@dataclass(slots=True, frozen=True)
class RouterMetrics:
    """The metrics of one node.

    Attributes:
        registry: Registry that contains all metrics.
        events: Number of log events, by name.
        request_s: Time from the head of a request to the end of its
            response, by kind of route and result code, in seconds.
        head_s: Time to the response head of an upstream, by service and
            version, in seconds.
        store_s: Duration of calls to the store, by outcome, in seconds.
        gossip_bytes: Bytes of gossip messages sent to other nodes.
        retries_left: Retries that this node may still start in the window,
            by service, as of the last retry.
    """

    registry: CollectorRegistry
    events: Counter
    request_s: Histogram
    head_s: Histogram
    store_s: Histogram
    gossip_bytes: Counter
    retries_left: Gauge


def make_metrics() -> RouterMetrics:
    """Create the metrics of a node, all at zero."""
    registry = CollectorRegistry()

    def make_histogram(name: str, help_text: str, *labels: str) -> Histogram:
        return Histogram(
            name, help_text, labels, buckets=_BUCKETS_S, registry=registry
        )

    return RouterMetrics(
        registry,
        Counter(
            'turmericcrank_events', 'Log events.', ('event',), registry=registry
        ),
        make_histogram(
            'turmericcrank_request_seconds', 'Requests.', 'kind', 'code'
        ),
        make_histogram(
            'turmericcrank_head_seconds', 'Heads.', 'service', 'version'
        ),
        make_histogram(
            'turmericcrank_store_seconds', 'Calls to the store.', 'outcome'
        ),
        Counter(
            'turmericcrank_news_sent_bytes',
            'Messages to other nodes.',
            registry=registry,
        ),
        Gauge(
            'turmericcrank_retries_left',
            'Retries left to this node.',
            ('service',),
            registry=registry,
        ),
    )


def write_metrics(metrics: RouterMetrics) -> bytes:
    """Encode all metrics in the Prometheus text format."""
    return bytes(generate_latest(metrics.registry))
