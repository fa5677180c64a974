"""Samples random peers: who lives, who saw the store, who has which tables."""

from typing import Any

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.freshness import PeerSample, note_sample
from turmericcrank_core.hybrid_clock import check_stamp
from turmericcrank_core.revisions import Snapshot, hear_revision
from turmericcrank_core.selection import forget_peer

from turmericcrank_node.membership import peer_messages as messages
from turmericcrank_node.membership.vm_list import note_vms
from turmericcrank_node.state.context import NodeContext, PeerView
from turmericcrank_node.state.table_patches import (
    adopt_patches,
    adopt_whole,
    check_patch,
)

__all__ = (
    'describe_self',
    'pull_patches',
    'sample_peer',
    'serve_sampling',
    'spread',
)

_SAMPLE_SIZE = 20
_FANOUT = 6
_ASK_S = 0.8
_MS = 1000
_PERCENT = 100


async def serve_sampling(ctx: NodeContext) -> None:
    """Ask random peers for ever, and spread each new revision at once."""
    spread_revision = 0
    while True:
        peers = sorted(ctx.window.listed)
        chosen = ctx.random_source.sample(peers, min(len(peers), _SAMPLE_SIZE))
        async with trio.open_nursery() as nursery:
            for peer_id in chosen:
                nursery.start_soon(sample_peer, ctx, peer_id)
            if ctx.revision.revision == 0 or not peers:
                nursery.start_soon(_ask_seeds, ctx)
        spread_revision = await _wait_or_spread(ctx, spread_revision)


async def sample_peer(ctx: NodeContext, peer_id: str) -> None:
    """Ask one peer and keep what it says."""
    asked_s = trio.current_time()
    ping = messages.Ping(
        ctx.settings.node_id, ctx.revision.revision, str(ctx.log.stamp())
    )
    answered = await ctx.ask_peer(peer_id, ping, _ASK_S)
    now_s = trio.current_time()
    if answered.is_error() or not isinstance(answered.ok, messages.Pong):
        known = ctx.window.samples_by_id.get(peer_id)
        if known is None or known.heard:
            ctx.log.write(EventCode.member_silent, member=peer_id)
        note_sample(ctx.window, peer_id, PeerSample(now_s, heard=False))
        if peer_id in ctx.loads.told_by_peer:
            forget_peer(ctx.loads, peer_id)
        return
    pong = answered.ok
    ctx.log.stamp(check_stamp(pong.stamp))
    ctx.views_by_peer[peer_id] = PeerView(
        pong.revision, pong.load_percent / _PERCENT, pong.leaving
    )
    store_seen_s = None
    if pong.store_age_ms >= 0:
        store_seen_s = asked_s - pong.store_age_ms / _MS
    hear_revision(ctx.revision, pong.revision, now_s)
    if pong.revision > ctx.revision.revision:
        await pull_patches(ctx, peer_id)
    if pong.revision > ctx.revision.revision:
        store_seen_s = None
    note_sample(ctx.window, peer_id, PeerSample(now_s, True, store_seen_s))


async def pull_patches(ctx: NodeContext, peer_id: str) -> None:
    """Fetch newer tables from a peer that has them in force."""
    wanted = messages.PatchesWanted(ctx.revision.revision)
    answered = await ctx.ask_peer(peer_id, wanted, _ASK_S)
    if answered.is_error() or not isinstance(answered.ok, messages.Patches):
        return
    if answered.ok.snapshot:
        revision, raw = answered.ok.snapshot
        adopt_whole(ctx, Snapshot(revision, raw), peer_id)
    patches = [check_patch(raw) for raw in answered.ok.patches]
    adopt_patches(ctx, patches, peer_id)


async def spread(ctx: NodeContext, message: Any, n_peers: int = 0) -> None:
    """Tell a message to random peers, to all of them when no number is given.

    Args:
        ctx: The node.
        message: What is told.
        n_peers: How many peers; 0 for all.
    """
    peers = sorted(ctx.window.listed)
    if n_peers:
        peers = ctx.random_source.sample(peers, min(n_peers, len(peers)))
    async with trio.open_nursery() as nursery:
        for peer_id in peers:
            nursery.start_soon(ctx.ask_peer, peer_id, message, _ASK_S)


def describe_self(ctx: NodeContext) -> messages.Pong:
    """Give the answer to a ping."""
    store_age_ms = -1
    if ctx.store_seen_s is not None:
        store_age_ms = int((trio.current_time() - ctx.store_seen_s) * _MS)
    load = ctx.n_running / ctx.settings.node_capacity
    return messages.Pong(
        ctx.settings.node_id,
        ctx.revision.revision,
        store_age_ms,
        int(load * _PERCENT),
        ctx.leaving,
        str(ctx.log.stamp()),
    )


async def _wait_or_spread(ctx: NodeContext, spread_revision: int) -> int:
    """Wait until the next sample; spread a revision the moment it is new."""
    pause_s = ctx.settings.poll_s / 10
    wake_s = trio.current_time() + ctx.settings.poll_s
    while trio.current_time() < wake_s:
        if ctx.revision.revision > spread_revision:
            spread_revision = ctx.revision.revision
            news = messages.RevisionNews(ctx.settings.node_id, spread_revision)
            await spread(ctx, news, _FANOUT)
        await trio.sleep(pause_s)
    return spread_revision


async def _ask_seeds(ctx: NodeContext) -> None:
    """Learn the VM list and tables from the seeds when the platform is down."""
    for address in ctx.settings.seed_peers:
        if address == ctx.settings.peer_address:
            continue
        wanted = messages.VmsWanted(ctx.settings.node_id)
        answered = await ctx.ask_peer(address, wanted, _ASK_S)
        if answered.is_ok() and isinstance(answered.ok, messages.VmRows):
            note_vms(ctx, answered.ok.sequence, answered.ok.vms)
            return
