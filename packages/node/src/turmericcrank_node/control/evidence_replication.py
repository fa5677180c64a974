"""Counts the responses of each version at all nodes; stops bad versions."""

from collections.abc import Iterable, Iterator
from typing import Any

import trio
import xxhash
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.tables import Pool
from turmericcrank_core.version_health import (
    ExposureSettings,
    UpstreamCounts,
    add_counts,
    detect_regression,
    mean_rating,
)

from turmericcrank_node.membership import peer_messages as messages
from turmericcrank_node.membership.peer_sampling import send_to_peers
from turmericcrank_node.state.node_context import NodeContext
from turmericcrank_node.state.store import Operation

__all__ = (
    'count_rating',
    'merge_evidence',
    'record_rollout_stop',
    'record_version_response_counts',
    'serve_evidence',
)

_SEND_INTERVAL_S = 0.25
_MAX_BROADCAST_PEERS = 32
_N_AGGREGATORS = 3
_FANOUT = 6
_MAX_SOURCES = 2000
_PEER_TIMEOUT_S = 0.8
_STOPS = 'stops'
_SETTINGS = ExposureSettings()


def record_version_response_counts(
    ctx: NodeContext, pool: Pool, upstream_id: str, failed: bool, slow: bool
) -> None:
    """Count one response of an upstream, with its error and slowness."""
    counts = _find_counts(ctx, pool, upstream_id)
    counts.n_responses += 1
    counts.n_errors += failed
    counts.n_slow += slow


def count_rating(
    ctx: NodeContext, pool: Pool, upstream_id: str, rating: float
) -> None:
    """Count one rating of an answer, from 0 to 100."""
    counts = _find_counts(ctx, pool, upstream_id)
    counts.n_ratings += 1
    counts.rating_sum += rating


def merge_evidence(
    ctx: NodeContext, node_id: str, rows: Iterable[list[Any]]
) -> None:
    """Merge the counts that a node reports.

    They are totals that only grow: a lower total is outdated and ignored, and
    a duplicate message changes nothing.
    """
    reported = _find_reported(ctx, node_id)
    for version, upstream_id, *numbers in rows:
        counts = UpstreamCounts(*numbers)
        before = reported.get((version, upstream_id), UpstreamCounts())
        if counts.n_responses + counts.n_ratings < (
            before.n_responses + before.n_ratings
        ):
            continue
        reported[version, upstream_id] = counts
        add_counts(
            ctx.evidence,
            version,
            upstream_id,
            _subtract(counts, before),
            _find_baseline(ctx, version),
            _SETTINGS,
        )
        _check_version(ctx, version)


def _find_reported(
    ctx: NodeContext, node_id: str
) -> dict[tuple[str, str], UpstreamCounts]:
    """Return the counts reported so far by one incarnation of a node.

    Beyond ``_MAX_SOURCES`` the least recently used incarnation is evicted.
    """
    reported_by_node = ctx.counts.reported_by_node
    reported = reported_by_node.pop(node_id, {})
    reported_by_node[node_id] = reported
    while len(reported_by_node) > _MAX_SOURCES:
        reported_by_node.pop(next(iter(reported_by_node)))
    return reported


def record_rollout_stop(ctx: NodeContext, stop_key: str, reason: str) -> None:
    """Record that a version was stopped, and gossip it once.

    The store, a peer or this node may be the source of the stop.
    """
    if stop_key in ctx.reasons_by_stop:
        return
    ctx.reasons_by_stop[stop_key] = reason
    ctx.log.write(EventCode.rollout_stopped, version=stop_key, reason=reason)
    ctx.start_soon(
        send_to_peers, messages.StopReport(stop_key, reason), _FANOUT
    )


async def serve_evidence(ctx: NodeContext) -> None:
    """Report changed counts to the peers periodically, without end."""
    reported: dict[tuple[str, str], UpstreamCounts] = {}
    while True:
        await trio.sleep(_SEND_INTERVAL_S)
        rows = list(_iter_changed(ctx, reported))
        if not rows:
            continue
        merge_evidence(ctx, ctx.incarnation, rows)
        report = messages.EvidenceReport(ctx.incarnation, rows)
        if len(ctx.window.listed) <= _MAX_BROADCAST_PEERS:
            await send_to_peers(ctx, report)
        else:
            await _send_to_aggregators(ctx, report)


def _iter_changed(
    ctx: NodeContext, reported: dict[tuple[str, str], UpstreamCounts]
) -> Iterator[list[Any]]:
    for key, counts in ctx.counts.own_by_key.items():
        if reported.get(key) != counts:
            reported[key] = _subtract(counts, UpstreamCounts())
            yield [
                *key,
                counts.n_responses,
                counts.n_errors,
                counts.n_slow,
                counts.n_ratings,
                counts.rating_sum,
            ]


async def _send_to_aggregators(
    ctx: NodeContext, report: messages.EvidenceReport
) -> None:
    """Send counts only to the aggregators of a version.

    This is used if there are too many nodes to report to all of them.
    """
    rows_by_version: dict[str, list[Any]] = {}
    for row in report.rows:
        rows_by_version.setdefault(row[0], []).append(row)
    for version, rows in rows_by_version.items():
        reported = messages.EvidenceReport(report.node_id, rows)
        for aggregator in choose_aggregators(ctx.window.listed, version):
            await ctx.request_peer(aggregator, reported, _PEER_TIMEOUT_S)


def choose_aggregators(peer_ids: Iterable[str], version: str) -> list[str]:
    """Choose the nodes that aggregate the evidence of a version.

    Every node chooses the same nodes, by rendezvous hashing (highest
    random weight). Source:
    Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6 (1998).
    """
    ranked = sorted(
        peer_ids,
        key=lambda peer_id: xxhash.xxh3_64_intdigest(
            f'{version}/{peer_id}'.encode()
        ),
    )
    return ranked[:_N_AGGREGATORS]


def _find_counts(
    ctx: NodeContext, pool: Pool, upstream_id: str
) -> UpstreamCounts:
    key = (pool.stop_key, upstream_id)
    return ctx.counts.own_by_key.setdefault(key, UpstreamCounts())


def _subtract(counts: UpstreamCounts, before: UpstreamCounts) -> UpstreamCounts:
    return UpstreamCounts(
        counts.n_responses - before.n_responses,
        counts.n_errors - before.n_errors,
        counts.n_slow - before.n_slow,
        counts.n_ratings - before.n_ratings,
        counts.rating_sum - before.rating_sum,
    )


def _find_baseline(ctx: NodeContext, version: str) -> float | None:
    """Return the mean rating of the replaced version, or else its own."""
    tables = ctx.revision.tables
    for route in tables.routes_by_name.values():
        rollout = route.rollout
        if rollout is None:
            continue
        if tables.pools_by_name[rollout.pool].stop_key == version:
            replaced = tables.pools_by_name[rollout.replaces]
            return mean_rating(ctx.evidence, replaced.stop_key, _SETTINGS)
    return mean_rating(ctx.evidence, version, _SETTINGS)


def _check_version(ctx: NodeContext, version: str) -> None:
    if version in ctx.reasons_by_stop:
        return
    reason = detect_regression(ctx.evidence, version, _SETTINGS)
    if reason:
        record_rollout_stop(ctx, version, reason)
        ctx.start_soon(_persist_stop, version, reason)


async def _persist_stop(ctx: NodeContext, version: str, reason: str) -> None:
    operation = Operation(_STOPS, version, 0, {'reason': reason})
    while True:
        outcome = await ctx.store.transact([operation])
        if outcome.is_ok():
            return
        await trio.sleep(1)
