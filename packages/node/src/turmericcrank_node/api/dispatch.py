"""Selects an upstream per request and tracks requests in progress."""

from collections.abc import Iterator
from dataclasses import dataclass

import httpx
import trio
from expression import Error, Ok, Result
from turmericcrank_core.admission import (
    AdmissionRank,
    plan_capacity_share,
    record_shortage,
    record_upstream_end,
    record_upstream_start,
)
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.crash_evidence import Suspect, is_suspect
from turmericcrank_core.errors import Refusal
from turmericcrank_core.freshness import Freshness
from turmericcrank_core.retry_budget import RetryBudget
from turmericcrank_core.selection import (
    PoolHashRing,
    SelectionCriteria,
    UpstreamLoad,
    record_end,
    record_load_report,
    record_start,
)
from turmericcrank_core.tables import PoolState, RouteKind, Upstream

from turmericcrank_node.state.in_flight_attempt import InFlightAttempt
from turmericcrank_node.state.node_context import NodeContext

__all__ = (
    'Dispatch',
    'DispatchRequest',
    'check_pool',
    'eject_upstream',
    'end_dispatch',
    'get_retry_budget',
    'has_crashed',
    'serve_load_reports',
    'start_dispatch',
)

_REPORT_INTERVAL_S = 1
_MAX_REPORTS_PER_INTERVAL = 4
_EJECTION_S = 2
_RETRY_AFTER_S = 1
_REPORT_TIMEOUT_S = 0.5


@dataclass(slots=True, frozen=True)
class DispatchRequest:
    """Properties of a request that determine the choice of upstream.

    Attributes:
        request_id: Id of the request.
        suspect: What it is blamed by if it crashes an upstream; empty for
            requests that cannot.
        prefix_key: Start of the prompt; empty for a service.
        recent_upstream_ids: Upstreams that served its session, the last one
            first.
        team: Team of the client.
        rank: Order in which requests get capacity.
    """

    request_id: str
    suspect: Suspect
    prefix_key: str
    recent_upstream_ids: tuple[str, ...] = ()
    team: str = ''
    rank: AdmissionRank = AdmissionRank(0, is_over=False)


@dataclass(slots=True, frozen=True)
class Dispatch:
    """A request in progress at an upstream."""

    upstream: Upstream
    dispatch_request: DispatchRequest


def start_dispatch(
    ctx: NodeContext,
    ring: PoolHashRing,
    dispatch_request: DispatchRequest,
    tried: frozenset[str],
) -> Result[Dispatch, Refusal]:
    """Choose an upstream and count the request as in progress there.

    Args:
        ctx: The node.
        ring: Pool to choose from.
        dispatch_request: Properties of the request.
        tried: Upstreams that earlier attempts used.

    Returns:
        The upstream chosen. When none has capacity, the refusal is
        ``overloaded`` on the first attempt and ``no_upstream`` on a retry.
    """
    pool_check = check_pool(ctx, ring)
    if pool_check.is_error():
        return Error(pool_check.error)
    now_s = trio.current_time()
    capacity_share = plan_capacity_share(
        ctx.admission, dispatch_request.rank, now_s
    )
    upstream_id = None
    for excluded in _iter_exclusions(ctx, dispatch_request, tried):
        criteria = SelectionCriteria(
            dispatch_request.recent_upstream_ids,
            dispatch_request.prefix_key,
            excluded,
            capacity_share,
        )
        upstream_id = ctx.select(ring, criteria, now_s)
        if upstream_id is not None:
            break
    if upstream_id is None:
        record_shortage(ctx.admission, dispatch_request.rank, now_s)
        code = ResultCode.no_upstream if tried else ResultCode.overloaded
        return Error(Refusal(code, retry_after_s=_RETRY_AFTER_S))
    record_start(ctx.loads, upstream_id)
    ctx.load_changed.set()
    requests_at_upstream = ctx.in_flight.setdefault(upstream_id, {})
    requests_at_upstream[dispatch_request.request_id] = InFlightAttempt(
        dispatch_request.suspect
    )
    upstream = ring.pool.upstreams_by_id[upstream_id]
    record_upstream_start(
        ctx.admission, dispatch_request.team, dispatch_request.rank.priority
    )
    return Ok(Dispatch(upstream, dispatch_request))


def check_pool(ctx: NodeContext, ring: PoolHashRing) -> Result[None, Refusal]:
    """Check just before each attempt that the pool still accepts requests.

    Since the request was admitted, its model version may have been
    withdrawn, or this node may have been cut off from the store and most
    of its peers. The node's process may also have been suspended in the
    meantime, so that its tables are out of date.
    """
    pool = ctx.revision.tables.pools_by_name.get(ring.pool.name)
    if pool is None or pool.state is PoolState.withdrawn:
        return Error(Refusal(ResultCode.version_withdrawn))
    if ctx.freshness() is Freshness.cut_off:
        return Error(Refusal(ResultCode.cut_off, retry_after_s=_RETRY_AFTER_S))
    return Ok(None)


def end_dispatch(ctx: NodeContext, dispatch: Dispatch) -> None:
    """Remove a request from those in progress at its upstream."""
    upstream_id = dispatch.upstream.upstream_id
    dispatch_request = dispatch.dispatch_request
    if (
        ctx.in_flight[upstream_id].pop(dispatch_request.request_id, None)
        is not None
    ):
        record_end(ctx.loads, upstream_id)
        record_upstream_end(
            ctx.admission, dispatch_request.team, dispatch_request.rank.priority
        )
        ctx.load_changed.set()


def eject_upstream(ctx: NodeContext, upstream_id: str) -> None:
    """Exclude an upstream from selection for a short time."""
    load = ctx.loads.loads_by_id.setdefault(upstream_id, UpstreamLoad())
    load.ejected_until_s = trio.current_time() + _EJECTION_S


def get_retry_budget(ctx: NodeContext, pool_name: str) -> RetryBudget:
    """Return the retry budget of a pool, created on first use."""
    return ctx.budgets_by_pool.setdefault(pool_name, RetryBudget())


async def has_crashed(ctx: NodeContext, upstream: Upstream) -> bool:
    """Return whether the upstream process ended, not just one stream."""
    known_instance = ctx.instances_by_upstream.get(upstream.upstream_id)
    report = await _fetch_report(ctx, upstream)
    return report is None or known_instance not in {None, report['instance']}


async def serve_load_reports(ctx: NodeContext) -> None:
    """Periodically fetch load reports of random upstreams of this cell."""
    while True:
        rings = list(_iter_model_rings(ctx))
        candidates = [
            (ring, upstream)
            for ring in rings
            for upstream in _list_cell_upstreams(ring)
        ]
        n_chosen = min(len(candidates), _MAX_REPORTS_PER_INTERVAL)
        async with trio.open_nursery() as nursery:
            for ring, upstream in ctx.random_source.sample(
                candidates, n_chosen
            ):
                nursery.start_soon(_refresh_report, ctx, ring, upstream)
        await trio.sleep(_REPORT_INTERVAL_S)


def _iter_exclusions(
    ctx: NodeContext, dispatch_request: DispatchRequest, tried: frozenset[str]
) -> Iterator[frozenset[str]]:
    """Yield the sets of upstreams to exclude, the preferred set first.

    Upstreams that run a suspect are excluded at first. A request that is no
    suspect itself may fall back to them; a suspect never runs beside
    another one at the same upstream.
    """
    if not ctx.crash_guard.history.crashes:
        yield tried
        return
    upstreams_with_suspects = frozenset(
        upstream_id
        for upstream_id, requests_at_upstream in tuple(ctx.in_flight.items())
        if any(
            _is_unproven_suspect(ctx, attempt)
            for attempt in requests_at_upstream.values()
        )
    )
    yield tried | upstreams_with_suspects
    fingerprint = dispatch_request.suspect.fingerprint
    if not is_suspect(ctx.crash_guard.history, fingerprint):
        yield tried


def _is_unproven_suspect(ctx: NodeContext, attempt: InFlightAttempt) -> bool:
    return not attempt.is_proven and is_suspect(
        ctx.crash_guard.history, attempt.suspect.fingerprint
    )


def _iter_model_rings(ctx: NodeContext) -> Iterator[PoolHashRing]:
    names = {
        name
        for route in ctx.revision.tables.routes_by_name.values()
        if route.kind in {RouteKind.model, RouteKind.long_draft}
        for name in route.session_pool_names
    }
    for name in sorted(names):
        if name in ctx.rings_by_pool:
            yield ctx.rings_by_pool[name]


def _list_cell_upstreams(ring: PoolHashRing) -> list[Upstream]:
    upstreams = ring.pool.upstreams_by_id
    return [upstreams[upstream_id] for upstream_id in ring.preferred_ids]


async def _refresh_report(
    ctx: NodeContext, ring: PoolHashRing, upstream: Upstream
) -> None:
    report = await _fetch_report(ctx, upstream)
    if report is None:
        eject_upstream(ctx, upstream.upstream_id)
        return
    record_load_report(ctx.loads, upstream.upstream_id, report['running'])
    load = ctx.loads.loads_by_id[upstream.upstream_id]
    load.wrong_version = report['model_version'] != ring.pool.model_version
    ctx.instances_by_upstream[upstream.upstream_id] = report['instance']


async def _fetch_report(
    ctx: NodeContext, upstream: Upstream
) -> dict[str, object] | None:
    try:
        response = await ctx.upstream_http.get(
            ctx.url_of(upstream.address, '/load'), timeout=_REPORT_TIMEOUT_S
        )
        report = response.json()
    except (httpx.HTTPError, ValueError):
        return None
    return report if response.is_success else None
