"""Serves requests from the other nodes."""

import ssl
from typing import Any

import trio
from turmericcrank_core.billing import check_bill
from turmericcrank_core.hybrid_logical_clock import check_stamp
from turmericcrank_core.network_address import split_address
from turmericcrank_core.revisions import record_known_revision
from turmericcrank_core.selection import record_peer_counts

from turmericcrank_node.api.bill_writer import BillReplicas
from turmericcrank_node.control.crash_replication import merge_crash_report
from turmericcrank_node.control.evidence_replication import (
    merge_evidence,
    record_rollout_stop,
)
from turmericcrank_node.membership import peer_messages as messages
from turmericcrank_node.membership.peer_sampling import (
    make_pong,
    pull_patches,
)
from turmericcrank_node.membership.peer_stream import (
    PeerStream,
    PeerStreamError,
    authenticate_as_server,
)
from turmericcrank_node.membership.vm_list import dump_vms
from turmericcrank_node.state.node_context import NodeContext
from turmericcrank_node.state.table_revisions import encode_patch

__all__ = ('handle_message', 'serve_peers')

_MAX_PATCHES_SENT = 64
_AUTHENTICATION_TIMEOUT_S = 2


async def serve_peers(
    ctx: NodeContext,
    replicas: BillReplicas,
    tls: ssl.SSLContext | None,
    task_status: Any = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept connections from the other nodes.

    Args:
        ctx: Context of this node.
        replicas: Replicas of other nodes' bills.
        tls: TLS context; None if the nodes connect without TLS.
        task_status: Notified when the port is open.
    """
    host, port = split_address(ctx.settings.peer_address)

    async def handle_connection(stream: Any) -> None:
        if tls is not None:
            stream = trio.SSLStream(stream, tls, server_side=True)
        peer = PeerStream(stream)
        try:
            await _serve_peer(ctx, replicas, peer)
        except (PeerStreamError, trio.TooSlowError):
            await peer.close()

    await trio.serve_tcp(
        handle_connection, port, host=host, task_status=task_status
    )


async def _serve_peer(
    ctx: NodeContext, replicas: BillReplicas, peer: PeerStream
) -> None:
    with trio.fail_after(_AUTHENTICATION_TIMEOUT_S):
        await authenticate_as_server(peer, ctx.settings.node_secret)
    while True:
        bytes_before = peer.n_bytes
        message = await peer.receive()
        if message is None:
            return
        await peer.send(handle_message(ctx, replicas, message))
        ctx.n_peer_bytes += peer.n_bytes - bytes_before


def handle_message(
    ctx: NodeContext, replicas: BillReplicas, message: Any
) -> Any:
    """Process one message from a peer and return the response."""
    handle_one = _HANDLERS_BY_TYPE.get(type(message))
    if handle_one is not None:
        return handle_one(ctx, message)
    if isinstance(message, messages.ReplicateBills):
        bills = [check_bill(raw) for raw in message.bills]
        replicas.store(
            message.origin, message.batch, bills, trio.current_time()
        )
    elif isinstance(message, messages.ReleaseBillReplicas):
        replicas.discard(message.batches)
    return messages.Ack(ctx.settings.node_id)


def _handle_ping(ctx: NodeContext, ping: messages.Ping) -> Any:
    ctx.log.stamp(check_stamp(ping.stamp))
    _record_revision(ctx, ping.node_id, ping.revision)
    return make_pong(ctx)


def _handle_revision_notice(
    ctx: NodeContext, notice: messages.RevisionNotice
) -> Any:
    _record_revision(ctx, notice.node_id, notice.revision)
    return messages.Ack(ctx.settings.node_id)


def _record_revision(ctx: NodeContext, node_id: str, revision: int) -> None:
    if revision > ctx.revision.revision:
        record_known_revision(ctx.revision, revision, trio.current_time())
        ctx.start_soon(pull_patches, node_id)
    elif revision < ctx.revision.revision:
        ctx.metrics.count('older_revision_heard')


def _handle_patches_request(
    ctx: NodeContext, request: messages.PatchesRequest
) -> Any:
    first = request.after + 1
    last = min(ctx.revision.revision, request.after + _MAX_PATCHES_SENT)
    numbers = range(first, last + 1)
    if all(number in ctx.patches_by_revision for number in numbers):
        patches = [
            encode_patch(ctx.patches_by_revision[number]) for number in numbers
        ]
        return messages.PatchesResponse(patches, [])
    return messages.PatchesResponse(
        [], [ctx.revision.revision, ctx.revision.raw]
    )


def _handle_crash(ctx: NodeContext, crash: messages.CrashReport) -> Any:
    merge_crash_report(ctx, crash)
    return messages.Ack(ctx.settings.node_id)


def _handle_evidence(ctx: NodeContext, report: messages.EvidenceReport) -> Any:
    merge_evidence(ctx, report.node_id, report.rows)
    return messages.Ack(ctx.settings.node_id)


def _handle_vm_list_request(
    ctx: NodeContext, _request: messages.VmListRequest
) -> Any:
    return messages.VmListResponse(ctx.vm_sequence, dump_vms(ctx))


def _handle_stop(ctx: NodeContext, stop: messages.StopReport) -> Any:
    record_rollout_stop(ctx, stop.stop_key, stop.reason)
    return messages.Ack(ctx.settings.node_id)


def _handle_load(ctx: NodeContext, report: messages.LoadReport) -> Any:
    record_peer_counts(
        ctx.loads, report.node_id, report.in_progress_by_upstream
    )
    return messages.Ack(ctx.settings.node_id)


_HANDLERS_BY_TYPE = {
    messages.Ping: _handle_ping,
    messages.RevisionNotice: _handle_revision_notice,
    messages.PatchesRequest: _handle_patches_request,
    messages.CrashReport: _handle_crash,
    messages.EvidenceReport: _handle_evidence,
    messages.VmListRequest: _handle_vm_list_request,
    messages.StopReport: _handle_stop,
    messages.LoadReport: _handle_load,
}
