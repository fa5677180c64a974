"""Samples random peers: liveness, age of store reads, table revisions."""

from typing import Any

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.freshness import PeerSample, record_sample
from turmericcrank_core.hybrid_logical_clock import check_stamp
from turmericcrank_core.revisions import Snapshot, record_known_revision
from turmericcrank_core.selection import remove_peer_counts

from turmericcrank_node.membership import peer_messages as messages
from turmericcrank_node.membership.vm_list import merge_vm_rows
from turmericcrank_node.state.node_context import NodeContext, PeerStatus
from turmericcrank_node.state.table_revisions import (
    adopt_complete_tables,
    adopt_patches,
    parse_patch,
)

__all__ = (
    'make_pong',
    'ping_peer',
    'pull_patches',
    'send_to_peers',
    'serve_sampling',
)

_SAMPLE_SIZE = 20
_FANOUT = 6
_REQUEST_TIMEOUT_S = 0.8
_MS = 1000
_PERCENT = 100


async def serve_sampling(ctx: NodeContext) -> None:
    """Sample random peers periodically, and announce each new revision."""
    announced_revision = 0
    while True:
        peers = sorted(ctx.window.listed)
        chosen = ctx.random_source.sample(peers, min(len(peers), _SAMPLE_SIZE))
        async with trio.open_nursery() as nursery:
            for peer_id in chosen:
                nursery.start_soon(ping_peer, ctx, peer_id)
            if ctx.revision.revision == 0 or not peers:
                nursery.start_soon(_query_seeds, ctx)
        announced_revision = await _wait_and_announce(ctx, announced_revision)


async def ping_peer(ctx: NodeContext, peer_id: str) -> None:
    """Ping one peer and record its response."""
    sent_s = trio.current_time()
    ping = messages.Ping(
        ctx.settings.node_id, ctx.revision.revision, str(ctx.log.stamp())
    )
    response = await ctx.request_peer(peer_id, ping, _REQUEST_TIMEOUT_S)
    now_s = trio.current_time()
    if response.is_error() or not isinstance(response.ok, messages.Pong):
        previous = ctx.window.samples_by_id.get(peer_id)
        if previous is None or previous.has_responded:
            ctx.log.write(EventCode.member_silent, member=peer_id)
        record_sample(
            ctx.window, peer_id, PeerSample(now_s, has_responded=False)
        )
        if peer_id in ctx.loads.counts_by_peer:
            remove_peer_counts(ctx.loads, peer_id)
        return
    pong = response.ok
    ctx.log.stamp(check_stamp(pong.stamp))
    ctx.statuses_by_peer[peer_id] = PeerStatus(
        pong.revision, pong.load_percent / _PERCENT, pong.leaving
    )
    store_seen_s = None
    if pong.store_age_ms >= 0:
        store_seen_s = sent_s - pong.store_age_ms / _MS
    record_known_revision(ctx.revision, pong.revision, now_s)
    if pong.revision > ctx.revision.revision:
        await pull_patches(ctx, peer_id)
    # Without the peer's revision, its read does not prove these tables fresh.
    if pong.revision > ctx.revision.revision:
        store_seen_s = None
    record_sample(ctx.window, peer_id, PeerSample(now_s, True, store_seen_s))


async def pull_patches(ctx: NodeContext, peer_id: str) -> None:
    """Fetch the patches that this node lacks, or a snapshot, from a peer."""
    request = messages.PatchesRequest(ctx.revision.revision)
    response = await ctx.request_peer(peer_id, request, _REQUEST_TIMEOUT_S)
    if response.is_error() or not isinstance(
        response.ok, messages.PatchesResponse
    ):
        return
    if response.ok.snapshot:
        revision, raw = response.ok.snapshot
        adopt_complete_tables(ctx, Snapshot(revision, raw), peer_id)
    patches = [parse_patch(raw) for raw in response.ok.patches]
    adopt_patches(ctx, patches, peer_id)


async def send_to_peers(
    ctx: NodeContext, message: Any, n_peers: int = 0
) -> None:
    """Send a message to random peers, or to all of them.

    Args:
        ctx: Context of this node.
        message: Message to send.
        n_peers: Number of peers; 0 for all.
    """
    peers = sorted(ctx.window.listed)
    if n_peers:
        peers = ctx.random_source.sample(peers, min(n_peers, len(peers)))
    async with trio.open_nursery() as nursery:
        for peer_id in peers:
            nursery.start_soon(
                ctx.request_peer, peer_id, message, _REQUEST_TIMEOUT_S
            )


def make_pong(ctx: NodeContext) -> messages.Pong:
    """Return the response to a ping."""
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


async def _wait_and_announce(ctx: NodeContext, announced_revision: int) -> int:
    """Wait until the next sample is due; announce new revisions meanwhile.

    Returns:
        The last announced revision.
    """
    check_interval_s = ctx.settings.poll_s / 10
    wake_s = trio.current_time() + ctx.settings.poll_s
    while trio.current_time() < wake_s:
        if ctx.revision.revision > announced_revision:
            announced_revision = ctx.revision.revision
            notice = messages.RevisionNotice(
                ctx.settings.node_id, announced_revision
            )
            await send_to_peers(ctx, notice, _FANOUT)
        await trio.sleep(check_interval_s)
    return announced_revision


async def _query_seeds(ctx: NodeContext) -> None:
    """Fetch the VM list from a seed, as the platform may be unavailable.

    The tables follow when the listed peers are sampled.
    """
    for address in ctx.settings.seed_peers:
        if address == ctx.settings.peer_address:
            continue
        request = messages.VmListRequest(ctx.settings.node_id)
        response = await ctx.request_peer(address, request, _REQUEST_TIMEOUT_S)
        if response.is_ok() and isinstance(
            response.ok, messages.VmListResponse
        ):
            merge_vm_rows(ctx, response.ok.sequence, response.ok.vms)
            return
