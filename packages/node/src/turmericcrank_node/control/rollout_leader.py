"""Advances rollouts and sends orders to engines while holding a lease.

Any node may hold the lease. With many nodes each cell has one lease, for its
own upstreams, and the holder in the first cell advances the rollouts. A
holder that fails to renew its lease stops, by its own clock, before the lease
expires. Orders carry the fencing token of the lease. Some upstreams do not
check it; a late order to one of them states the version of an earlier table,
and the next holder corrects it by an order from the current table.
"""

import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import islice

import httpx
import trio
from turmericcrank_core.cells import find_cell
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.leases import (
    LeaseObservation,
    LeaseRow,
    check_lease,
    is_held,
    plan_lease,
    record_lease,
    serialize_lease,
)
from turmericcrank_core.rollouts import (
    RolloutProgress,
    check_progress,
    make_rollout_key,
    plan_next_progress,
    serialize_progress,
)
from turmericcrank_core.tables import Pool, PoolState, Route, Upstream

from turmericcrank_node.state.node_context import NodeContext
from turmericcrank_node.state.store import Operation

__all__ = ('RolloutLeaderState', 'serve_rollout_leader')

_LEASES = 'leases'
_ROLLOUTS = 'rollouts'
_TICKS_PER_LEASE = 4
_ORDER_TIMEOUT_S = 1
_MIN_RATINGS = 10
_N_NODES_AT_FULL_RATE = 120
_MAX_ORDERS_PER_TICK = 4


@dataclass(slots=True)
class RolloutLeaderState:
    """State of the rollout leader task.

    Attributes:
        observation: Observations of the lease.
        version: Not used.
        renewed_s: Monotonic time at which this node last renewed the lease,
            taken before the write.
        row: Lease of this node; None while it does not hold it.
        n_ratings_by_rollout: Number of rated answers of the new version when
            this node last advanced the rollout.
    """

    observation: LeaseObservation = field(default_factory=LeaseObservation)
    version: int = 0
    renewed_s: float | None = None
    row: LeaseRow | None = None
    n_ratings_by_rollout: dict[str, int] = field(default_factory=dict)


async def serve_rollout_leader(ctx: NodeContext) -> None:
    """Acquire or watch the lease without end, and act while holding it."""
    state = RolloutLeaderState()
    while True:
        interval_s = ctx.settings.order_lease_s / _TICKS_PER_LEASE
        if state.row is None:
            interval_s = ctx.scale_interval_s(interval_s, _N_NODES_AT_FULL_RATE)
        await trio.sleep(interval_s)
        if ctx.leaving or ctx.revision.revision == 0:
            continue
        await _acquire_or_watch_lease(ctx, state)
        if _holds_lease(ctx, state) and _find_own_cell(ctx) == 0:
            await _advance_rollouts(ctx, state)
        if _holds_lease(ctx, state):
            await _order_versions(ctx, state)


def _find_own_cell(ctx: NodeContext) -> int:
    return find_cell(ctx.settings.node_id, ctx.n_cells)


async def _acquire_or_watch_lease(
    ctx: NodeContext, state: RolloutLeaderState
) -> None:
    key = f'rollout-leader-{_find_own_cell(ctx)}'
    found = await ctx.store.read([(_LEASES, key)])
    if found.is_error():
        return
    stored = found.ok[0]
    now_s = trio.current_time()
    record_lease(state.observation, check_lease(stored.body), now_s)
    length_s = ctx.settings.order_lease_s
    row = plan_lease(state.observation, ctx.incarnation, length_s, now_s)
    if row is None:
        state.row = None
        return
    outcome = await ctx.store.transact(
        [Operation(_LEASES, key, stored.version, serialize_lease(row))]
    )
    if outcome.is_ok() and outcome.ok[0].condition_met:
        state.row = row
        state.renewed_s = now_s


def _holds_lease(ctx: NodeContext, state: RolloutLeaderState) -> bool:
    length_s = ctx.settings.order_lease_s
    return state.row is not None and is_held(
        state.renewed_s,
        trio.current_time(),
        length_s,
        _ORDER_TIMEOUT_S + length_s / _TICKS_PER_LEASE,
    )


async def _advance_rollouts(
    ctx: NodeContext, state: RolloutLeaderState
) -> None:
    for route in list(ctx.revision.tables.routes_by_name.values()):
        if route.rollout is not None:
            await _advance_rollout(ctx, state, route)


async def _advance_rollout(
    ctx: NodeContext, state: RolloutLeaderState, route: Route
) -> None:
    rollout = route.rollout
    key = make_rollout_key(route.name, rollout)
    found = await ctx.store.read([(_ROLLOUTS, key)])
    if found.is_error():
        return
    stored = found.ok[0]
    progress = check_progress(stored.body)
    pool = ctx.revision.tables.pools_by_name[rollout.pool]
    reason = ctx.reasons_by_stop.get(pool.stop_key)
    planned = None
    if reason and progress is not None and not progress.stopped:
        planned = RolloutProgress(progress.step, time.time(), reason)
    elif not reason:
        planned = plan_next_progress(
            rollout,
            progress,
            _has_enough_ratings(ctx, state, key, pool.stop_key),
            time.time(),
        )
    if planned is None:
        return
    outcome = await ctx.store.transact(
        [Operation(_ROLLOUTS, key, stored.version, serialize_progress(planned))]
    )
    if outcome.is_ok() and outcome.ok[0].condition_met:
        state.n_ratings_by_rollout[key] = _count_ratings(ctx, pool.stop_key)
        ctx.log.write(
            EventCode.rollout_step,
            rollout=key,
            step=planned.step,
            stopped=planned.stopped,
        )


def _has_enough_ratings(
    ctx: NodeContext, state: RolloutLeaderState, key: str, version: str
) -> bool:
    """Return whether enough answers were rated since the last step.

    A node that has not advanced the rollout itself counts from its start.
    """
    before = state.n_ratings_by_rollout.setdefault(key, 0)
    return _count_ratings(ctx, version) - before >= _MIN_RATINGS


def _count_ratings(ctx: NodeContext, version: str) -> int:
    evidence = ctx.evidence.evidence_by_version.get(version)
    return evidence.total.n_ratings if evidence else 0


async def _order_versions(ctx: NodeContext, state: RolloutLeaderState) -> None:
    """Order engines that report another version than their pool's to load it.

    At most ``_MAX_ORDERS_PER_TICK`` are sent, each granted by the store.
    """
    for pool, upstream in list(
        islice(_iter_mismatched(ctx), _MAX_ORDERS_PER_TICK)
    ):
        if not _holds_lease(ctx, state):
            return
        granted = await ctx.store.grant_weights()
        if granted.is_error() or not _holds_lease(ctx, state):
            return
        await _send_order(ctx, state, upstream, pool.model_version)


def _iter_mismatched(ctx: NodeContext) -> Iterator[tuple[Pool, Upstream]]:
    """Yield the upstreams whose reported version is not their pool's."""
    for ring in ctx.rings_by_pool.values():
        if ring.pool.state is PoolState.withdrawn:
            continue
        for upstream_id in ring.preferred_ids:
            load = ctx.loads.loads_by_id.get(upstream_id)
            if load is not None and load.wrong_version and not load.leaving:
                yield ring.pool, ring.pool.upstreams_by_id[upstream_id]


async def _send_order(
    ctx: NodeContext,
    state: RolloutLeaderState,
    upstream: Upstream,
    model_version: str,
) -> None:
    model, _, version = model_version.rpartition('@')
    order = {
        'action': 'load',
        'model': model,
        'version': version,
        'fence': state.row.fence,
    }
    try:
        response = await ctx.upstream_http.post(
            ctx.url_of(upstream.address, '/orders'),
            json=order,
            timeout=_ORDER_TIMEOUT_S,
        )
    except httpx.HTTPError:
        return
    code = EventCode.order_given
    if response.is_error:
        code = EventCode.order_refused
    ctx.log.write(
        code,
        upstream=upstream.upstream_id,
        version=model_version,
        fence=state.row.fence,
    )
