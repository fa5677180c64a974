"""Buffers bills until they are in the store, with replicas at one peer.

One task owns the batch state. While a peer is responsive, the response to a
request does not end before its bill has been sent to this peer, so the loss
of one node loses no bill that the peer has acknowledged.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import trio
from turmericcrank_core.billing import (
    Batch,
    BatchState,
    Bill,
    add_bill,
    apply_stored_row,
    plan_batch_row,
    seal_batch,
    serialize_bill,
    start_batch_write,
)
from turmericcrank_core.event_codes import EventCode

from turmericcrank_node.membership import peer_messages as messages
from turmericcrank_node.state.node_context import BillEntry, NodeContext
from turmericcrank_node.state.store import Operation

__all__ = ('BillQueue', 'BillReplicas', 'commit_bill', 'serve_bills')

_BILLS_TABLE = 'bills'
_MAX_BATCH_BILLS = 2000
_PEER_TIMEOUT_S = 0.3
_BATCHING_DELAY_S = 0.002
_N_NODES_AT_BASE_INTERVAL = 120


@dataclass(slots=True)
class BatchReplica:
    """Replica of one batch of another node.

    Attributes:
        origin: Node that the batch belongs to.
        batch: Replicated bills.
        replicated_s: Monotonic time of the last message with its bills.
    """

    origin: str
    batch: Batch
    replicated_s: float


@dataclass(slots=True)
class BillReplicas:
    """Replicas of other nodes' bills, by batch."""

    replicas_by_batch: dict[str, BatchReplica] = field(default_factory=dict)

    def store(
        self, origin: str, name: str, bills: Iterable[Bill], now_s: float
    ) -> None:
        """Store replicas of bills of one batch."""
        replica = self.replicas_by_batch.setdefault(
            name, BatchReplica(origin, Batch(name), now_s)
        )
        replica.replicated_s = now_s
        for bill in bills:
            replica.batch.bills_by_id[bill.bill_id] = bill

    def discard(self, names: Iterable[str]) -> None:
        """Discard the replicas of batches that are in the store."""
        for name in names:
            self.replicas_by_batch.pop(name, None)


@dataclass(slots=True)
class BillQueue:
    """State of the task that owns the bills of this node.

    Attributes:
        batch_state: Open and sealed batches.
        claim_batches_by_name: Single-bill batches whose row may also be
            written in the transaction that completes a claim.
        replica_peer: Peer that holds the replicas; empty when there is
            none.
    """

    batch_state: BatchState
    claim_batches_by_name: dict[str, Batch] = field(default_factory=dict)
    replica_peer: str = ''


async def commit_bill(ctx: NodeContext, bill: Bill, batch: str = '') -> None:
    """Queue a bill and wait for the attempt to replicate it to a peer.

    Also returns when no peer is responsive or the peer does not acknowledge
    the bill; the bill then exists only at this node until it is stored.

    Args:
        ctx: The node.
        bill: The bill.
        batch: Name of its single-bill batch; empty for the open batch.
    """
    entry = BillEntry(bill, batch, trio.Event())
    ctx.bill_sender.send_nowait(entry)
    await entry.replication_attempted.wait()


async def serve_bills(
    ctx: NodeContext, queue: BillQueue, replicas: BillReplicas, entries: Any
) -> None:
    """Replicate new bills and write batches to the store until cancelled.

    Args:
        ctx: The node.
        queue: State of this task.
        replicas: Replicas of other nodes' bills.
        entries: Channel of bill entries.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_flush_periodically, ctx, queue, replicas)
        while True:
            first = await entries.receive()
            await trio.sleep(_BATCHING_DELAY_S)
            await _replicate_entries(
                ctx, queue, [first, *_receive_pending(entries)]
            )


async def flush_bills(ctx: NodeContext, queue: BillQueue) -> bool:
    """Write the pending batches and return whether all were written.

    Seals the open batch first, unless it is not full and an earlier batch
    still has to be written. Then writes the sealed batches and the
    single-bill batches and releases the replicas of those written.
    """
    _seal_when_due(queue)
    written = []
    for name, batch in list(queue.batch_state.sealed_by_name.items()):
        if await write_batch(ctx, batch):
            queue.batch_state.sealed_by_name.pop(name)
            written.append(name)
    for name, batch in list(queue.claim_batches_by_name.items()):
        if await write_batch(ctx, batch):
            queue.claim_batches_by_name.pop(name)
            written.append(name)
    if written and queue.replica_peer:
        message = messages.ReleaseBillReplicas(written)
        await ctx.request_peer(queue.replica_peer, message, _PEER_TIMEOUT_S)
    return not (queue.batch_state.sealed_by_name or queue.claim_batches_by_name)


async def write_batch(ctx: NodeContext, batch: Batch) -> bool:
    """Write one batch as a sequence of rows; False when the store failed."""
    chain = start_batch_write(batch)
    while True:
        planned = plan_batch_row(chain)
        if planned is None:
            ctx.log.write(EventCode.bill_batch_written, batch=batch.name)
            return True
        operation = Operation(_BILLS_TABLE, planned.key, 0, planned.bills)
        outcome = await ctx.store.transact([operation])
        if outcome.is_error():
            ctx.log.write(
                EventCode.bill_batch_failed,
                batch=batch.name,
                detail=outcome.error.detail,
            )
            return False
        row = outcome.ok[0]
        apply_stored_row(
            chain, planned.bills if row.condition_met else row.body
        )


def _receive_pending(entries: Any) -> list[BillEntry]:
    waiting = []
    while True:
        try:
            waiting.append(entries.receive_nowait())
        except trio.WouldBlock:
            return waiting


async def _replicate_entries(
    ctx: NodeContext, queue: BillQueue, entries: list[BillEntry]
) -> None:
    bills_by_batch: dict[str, list[Bill]] = {}
    for entry in entries:
        name = entry.batch
        if name:
            queue.claim_batches_by_name[name] = Batch(
                name, {entry.bill.bill_id: entry.bill}
            )
        else:
            name = add_bill(queue.batch_state, entry.bill)
        bills_by_batch.setdefault(name, []).append(entry.bill)
    await _replicate_to_peer(ctx, queue, bills_by_batch)
    for entry in entries:
        entry.replication_attempted.set()


async def _replicate_to_peer(
    ctx: NodeContext, queue: BillQueue, bills_by_batch: dict[str, list[Bill]]
) -> None:
    replica_peer = choose_replica_peer(ctx, queue.replica_peer)
    if replica_peer != queue.replica_peer:
        queue.replica_peer = replica_peer
        bills_by_batch = _list_unwritten_bills(queue)
    if not replica_peer:
        return
    for name, bills in bills_by_batch.items():
        message = messages.ReplicateBills(
            ctx.settings.node_id, name, [serialize_bill(bill) for bill in bills]
        )
        acknowledged = await ctx.request_peer(
            replica_peer, message, _PEER_TIMEOUT_S
        )
        if acknowledged.is_error():
            queue.replica_peer = ''


def choose_replica_peer(ctx: NodeContext, current: str) -> str:
    """Choose the peer that holds the replicas; empty when there is none.

    The current peer is kept while it is responsive. Otherwise a random
    responsive peer is chosen, preferably in another data centre.
    """
    responsive = [
        peer_id
        for peer_id, sample in ctx.window.samples_by_id.items()
        if sample.has_responded and peer_id in ctx.window.listed
    ]
    if current in responsive:
        return current
    in_other_data_centres = [
        peer_id
        for peer_id in responsive
        if ctx.vms_by_id[peer_id].data_centre != ctx.settings.data_centre
    ]
    return ctx.random_source.choice(in_other_data_centres or responsive or [''])


def _list_unwritten_bills(queue: BillQueue) -> dict[str, list[Bill]]:
    batches = [
        queue.batch_state.open,
        *queue.batch_state.sealed_by_name.values(),
        *queue.claim_batches_by_name.values(),
    ]
    return {
        batch.name: list(batch.bills_by_id.values())
        for batch in batches
        if batch.bills_by_id
    }


def _seal_when_due(queue: BillQueue) -> None:
    is_full = len(queue.batch_state.open.bills_by_id) >= _MAX_BATCH_BILLS
    if is_full or not queue.batch_state.sealed_by_name:
        seal_batch(queue.batch_state)


async def _flush_periodically(
    ctx: NodeContext, queue: BillQueue, replicas: BillReplicas
) -> None:
    while True:
        await trio.sleep(
            ctx.scale_interval_s(
                ctx.settings.bill_flush_s, _N_NODES_AT_BASE_INTERVAL
            )
        )
        await flush_bills(ctx, queue)
        await _write_orphaned_batches(ctx, replicas)


async def _write_orphaned_batches(
    ctx: NodeContext, replicas: BillReplicas
) -> None:
    cutoff_s = trio.current_time() - ctx.settings.bill_takeover_s
    for name, replica in list(replicas.replicas_by_batch.items()):
        if replica.replicated_s > cutoff_s or ctx.store.seems_down:
            continue
        if await write_batch(ctx, replica.batch):
            replicas.discard([name])
            ctx.log.write(
                EventCode.bill_batch_taken_over,
                batch=name,
                origin=replica.origin,
            )
