"""Polls the platform: head of the tables, VM list, rollouts."""

from collections.abc import Iterator

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.revisions import record_known_revision
from turmericcrank_core.rollouts import check_progress, make_rollout_key

from turmericcrank_node.control.evidence_replication import record_rollout_stop
from turmericcrank_node.membership.vm_list import merge_vm_rows
from turmericcrank_node.state.node_context import NodeContext
from turmericcrank_node.state.table_revisions import (
    build_hash_rings,
    fetch_patches,
)

__all__ = ('serve_store_poll', 'serve_vm_list_poll')

_ROLLOUTS = 'rollouts'
_STOPS = 'stops'
_MAX_UNSCALED_NODES = 250


async def serve_store_poll(ctx: NodeContext) -> None:
    """Poll the head of the tables and adopt new revisions."""
    while True:
        await _poll_once(ctx)
        await trio.sleep(
            ctx.scale_interval_s(ctx.settings.poll_s, _MAX_UNSCALED_NODES)
        )


async def serve_vm_list_poll(ctx: NodeContext) -> None:
    """Poll the changes of the VM list."""
    while True:
        listed = await ctx.store.list_vms(ctx.vm_sequence)
        if listed.is_ok():
            merge_vm_rows(ctx, listed.ok['sequence'], listed.ok['vms'])
            if listed.ok['vms']:
                build_hash_rings(ctx)
        await trio.sleep(
            ctx.scale_interval_s(ctx.settings.poll_s, _MAX_UNSCALED_NODES)
        )


async def _poll_once(ctx: NodeContext) -> None:
    sent_s = trio.current_time()
    watched = list(_iter_watched_keys(ctx))
    found = await ctx.store.read([('tables', 'head'), *watched])
    if found.is_error():
        if ctx.store.seems_down and not ctx.is_store_lost:
            ctx.is_store_lost = True
            ctx.log.write(EventCode.store_lost, detail=found.error.detail)
        return
    if ctx.is_store_lost:
        ctx.is_store_lost = False
        ctx.log.write(EventCode.store_found)
    head, *watched_rows = found.ok
    if head.body is not None:
        await _follow_head(ctx, head.body['revision'])
    for (table, key), row in zip(watched, watched_rows, strict=True):
        if row.body is not None and table == _ROLLOUTS:
            ctx.progress_by_key[key] = check_progress(row.body)
        elif row.body is not None:
            record_rollout_stop(ctx, key, row.body['reason'])
    if ctx.revision.revision >= ctx.revision.known_revision:
        ctx.store_seen_s = sent_s


async def _follow_head(ctx: NodeContext, revision: int) -> None:
    record_known_revision(ctx.revision, revision, trio.current_time())
    if revision > ctx.revision.revision:
        await fetch_patches(ctx)


def _iter_watched_keys(ctx: NodeContext) -> Iterator[tuple[str, str]]:
    """Yield the keys of rollouts and stops that these tables refer to."""
    for route in ctx.revision.tables.routes_by_name.values():
        if route.rollout is not None:
            yield _ROLLOUTS, make_rollout_key(route.name, route.rollout)
    for pool in ctx.revision.tables.pools_by_name.values():
        if pool.stop_key not in ctx.reasons_by_stop:
            yield _STOPS, pool.stop_key
