"""Adopts, stores and accepts table revisions."""

import json
import time
from typing import Any

import trio
from expression import Error, Ok, Result
from turmericcrank_core.cells import make_cell_filter, plan_n_cells
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.errors import Refusal
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.freshness import has_majority
from turmericcrank_core.revisions import (
    Patch,
    Snapshot,
    adopt_patch,
    adopt_snapshot,
    is_own_patch,
    record_known_revision,
)
from turmericcrank_core.selection import build_ring
from turmericcrank_core.tables import plan_patch

from turmericcrank_node.state.node_context import NodeContext
from turmericcrank_node.state.store import Operation, StoreFault

__all__ = (
    'accept_edit',
    'adopt_complete_tables',
    'adopt_patches',
    'build_hash_rings',
    'encode_patch',
    'fetch_patches',
    'parse_patch',
    'read_history',
)

_TABLE = 'tables'
_HEAD = 'head'
_SNAPSHOT_OBJECT = 'tables/snapshot'
_SNAPSHOT_INTERVAL = 16
_MAX_KEPT_PATCHES = 256
_MAX_PATCHES_READ = 64
_MAX_ACCEPT_ATTEMPTS = 3


def adopt_patches(ctx: NodeContext, patches: list[Patch], source: str) -> bool:
    """Adopt the patches that come next in order; return whether any did."""
    adopted = False
    for patch in patches:
        if adopt_patch(ctx.revision, patch):
            adopted = True
            ctx.patches_by_revision[patch.revision] = patch
            ctx.patches_by_revision.pop(
                patch.revision - _MAX_KEPT_PATCHES, None
            )
            ctx.log.write(
                EventCode.revision_adopted,
                revision=patch.revision,
                source=source,
            )
    if adopted:
        build_hash_rings(ctx)
    return adopted


def adopt_complete_tables(
    ctx: NodeContext, snapshot: Snapshot, source: str
) -> bool:
    """Adopt a complete snapshot of the tables if it is newer."""
    if not adopt_snapshot(ctx.revision, snapshot):
        return False
    ctx.log.write(
        EventCode.revision_adopted, revision=snapshot.revision, source=source
    )
    build_hash_rings(ctx)
    return True


async def fetch_patches(ctx: NodeContext) -> None:
    """Fetch patches from the store up to the newest known revision."""
    if ctx.revision.revision == 0:
        await _fetch_snapshot(ctx)
    first = ctx.revision.revision + 1
    last = min(ctx.revision.known_revision, first + _MAX_PATCHES_READ)
    keys = [(_TABLE, _patch_key(number)) for number in range(first, last + 1)]
    if not keys:
        return
    found = await ctx.store.read(keys)
    if found.is_ok():
        patches = [parse_patch(row.body) for row in found.ok if row.body]
        adopt_patches(ctx, patches, 'store')


async def accept_edit(
    ctx: NodeContext,
    base_revision: int,
    raw: dict[str, Any],
    token: str,
    operator: str,
) -> Result[Patch, Refusal]:
    """Accept an edit if no other edit was accepted first.

    Args:
        ctx: Context of this node.
        base_revision: Revision on which the operator based the edit.
        raw: Complete tables after the edit, already validated.
        token: Unique token of the operator's attempt.
        operator: Name of the operator who makes the edit.

    Returns:
        The accepted patch, or a refusal such as conflict, no majority or
        acceptance unknown. Retrying with the same token is idempotent.
    """
    if not has_majority(
        ctx.window, trio.current_time(), ctx.settings.freshness
    ):
        return Error(Refusal(ResultCode.no_majority, retry_after_s=2))
    if ctx.revision.revision < base_revision:
        return Error(Refusal(ResultCode.no_tables, retry_after_s=1))
    base = await read_raw_at(ctx, base_revision)
    if base is None:
        return Error(Refusal(ResultCode.store_down, retry_after_s=2))
    patch = Patch(
        base_revision + 1, token, operator, time.time(), plan_patch(base, raw)
    )
    for _attempt in range(_MAX_ACCEPT_ATTEMPTS):
        outcome = await _write_acceptance(ctx, patch)
        if outcome.is_ok():
            return await _finish_acceptance(ctx, patch, outcome.ok)
    return Error(Refusal(ResultCode.acceptance_unknown, retry_after_s=2))


async def read_history(
    ctx: NodeContext, before: int, limit: int
) -> Result[list[Patch], StoreFault]:
    """Read accepted patches, newest first.

    Args:
        ctx: Context of this node.
        before: Only read patches of revisions below this one.
        limit: Maximum number of patches to read.
    """
    first = max(1, before - limit)
    keys = [(_TABLE, _patch_key(number)) for number in range(first, before)]
    if not keys:
        return Ok([])
    found = await ctx.store.read(keys)
    return found.map(
        lambda rows: [
            parse_patch(row.body) for row in reversed(rows) if row.body
        ]
    )


async def read_raw_at(ctx: NodeContext, revision: int) -> dict[str, Any] | None:
    """Rebuild the raw tables of an earlier revision; None on failure."""
    if revision == ctx.revision.revision:
        return ctx.revision.raw
    state = type(ctx.revision)()
    for first in range(1, revision + 1, _MAX_PATCHES_READ):
        last = min(revision, first + _MAX_PATCHES_READ - 1)
        keys = [
            (_TABLE, _patch_key(number)) for number in range(first, last + 1)
        ]
        found = await ctx.store.read(keys)
        if found.is_error():
            return None
        for row in found.ok:
            adopt_patch(state, parse_patch(row.body))
    return state.raw


def parse_patch(raw: dict[str, Any]) -> Patch:
    """Convert the stored form to a patch."""
    return Patch(
        raw['revision'],
        raw['token'],
        raw['operator'],
        raw['accepted_s'],
        raw['changes'],
    )


def encode_patch(patch: Patch) -> dict[str, Any]:
    """Convert a patch to its stored form."""
    return {
        'revision': patch.revision,
        'token': patch.token,
        'operator': patch.operator,
        'accepted_s': patch.accepted_s,
        'changes': patch.changes,
    }


def build_hash_rings(ctx: NodeContext) -> None:
    """Build the rings of all pools, after new tables or a change of cells.

    The ring of an unchanged pool is reused while the cells are the same.
    """
    pools = ctx.revision.tables.pools_by_name
    n_upstreams = sum(len(pool.upstreams_by_id) for pool in pools.values())
    n_cells = plan_n_cells(len(ctx.window.listed) + 1, n_upstreams)
    has_same_n_cells = n_cells == ctx.n_cells
    ctx.n_cells = n_cells
    is_home = make_cell_filter(ctx.settings.node_id, n_cells)
    previous_rings = ctx.rings_by_pool
    ctx.rings_by_pool = {
        name: previous_rings[name]
        if has_same_n_cells
        and name in previous_rings
        and previous_rings[name].pool == pool
        else build_ring(pool, is_home)
        for name, pool in pools.items()
    }


async def _fetch_snapshot(ctx: NodeContext) -> None:
    found = await ctx.store.read_object(_SNAPSHOT_OBJECT)
    if found.is_ok() and found.ok:
        raw = json.loads(found.ok)
        adopt_complete_tables(
            ctx, Snapshot(raw['revision'], raw['raw']), 'snapshot'
        )


async def _write_acceptance(
    ctx: NodeContext, patch: Patch
) -> Result[bool, StoreFault]:
    """Write head and patch in one transaction; False on a conflict."""
    outcome = await ctx.store.transact(
        [
            Operation(
                _TABLE, _HEAD, patch.revision - 1, {'revision': patch.revision}
            ),
            Operation(
                _TABLE, _patch_key(patch.revision), 0, encode_patch(patch)
            ),
        ]
    )
    return outcome.map(lambda rows: all(row.condition_met for row in rows))


async def _finish_acceptance(
    ctx: NodeContext, patch: Patch, is_applied: bool
) -> Result[Patch, Refusal]:
    if not is_applied:
        found = await ctx.store.read([(_TABLE, _patch_key(patch.revision))])
        if found.is_error():
            return Error(Refusal(ResultCode.acceptance_unknown, '', 2))
        body = found.ok[0].body
        stored = parse_patch(body) if body else None
        if not is_own_patch(stored, patch.token):
            ctx.log.write(EventCode.revision_conflict, revision=patch.revision)
            return Error(Refusal(ResultCode.conflict))
        patch = stored
    ctx.log.write(
        EventCode.revision_accepted,
        revision=patch.revision,
        operator=patch.operator,
    )
    record_known_revision(ctx.revision, patch.revision, trio.current_time())
    adopt_patches(ctx, [patch], 'operator')
    if patch.revision % _SNAPSHOT_INTERVAL == 0:
        await _write_snapshot(ctx)
    return Ok(patch)


async def _write_snapshot(ctx: NodeContext) -> None:
    snapshot = {'revision': ctx.revision.revision, 'raw': ctx.revision.raw}
    await ctx.store.write_object(
        _SNAPSHOT_OBJECT, json.dumps(snapshot).encode()
    )


def _patch_key(revision: int) -> str:
    return f'patch/{revision:012d}'
