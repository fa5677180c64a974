"""Starts the tasks of one node and shuts them down in order."""

import math
import random
import signal
import uuid

import httpx
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from turmericcrank_core.billing import BatchState
from turmericcrank_core.client_addresses import plan_refusal_start_s
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.selection import SelectionSettings, make_selector
from turmericcrank_core.sessions import make_signer

from turmericcrank_node.api.app import make_app
from turmericcrank_node.api.bill_writer import (
    BillQueue,
    BillReplicas,
    flush_bills,
    serve_bills,
)
from turmericcrank_node.api.dispatch import serve_load_reports
from turmericcrank_node.api.drafts import serve_drafts
from turmericcrank_node.control.crash_replication import serve_crash_blocks
from turmericcrank_node.control.evidence_replication import serve_evidence
from turmericcrank_node.control.rollout_leader import serve_rollout_leader
from turmericcrank_node.event_log import EventLog
from turmericcrank_node.http_transport import CheckedTransport
from turmericcrank_node.membership.load_exchange import serve_load_exchange
from turmericcrank_node.membership.peer_connections import (
    PeerConnections,
    make_peer_requester,
)
from turmericcrank_node.membership.peer_sampling import serve_sampling
from turmericcrank_node.membership.peer_server import serve_peers
from turmericcrank_node.metrics import make_metrics
from turmericcrank_node.settings import NodeSettings
from turmericcrank_node.state.node_context import NodeContext
from turmericcrank_node.state.store import StoreClient
from turmericcrank_node.state.store_poll import (
    serve_store_poll,
    serve_vm_list_poll,
)
from turmericcrank_node.tls import (
    make_client_context,
    make_peer_contexts,
    select_web_tls,
)

__all__ = ('run_node',)

_MAX_CONNECTIONS = 4096
_POOLED_LIMITS = httpx.Limits(
    max_connections=_MAX_CONNECTIONS,
    max_keepalive_connections=_MAX_CONNECTIONS,
)
_SINGLE_USE_LIMITS = httpx.Limits(
    max_connections=_MAX_CONNECTIONS, max_keepalive_connections=0
)
_MAX_STORE_CONNECTIONS = 100
_MAX_IDLE_STORE_CONNECTIONS = 20
_STORE_LIMITS = httpx.Limits(
    max_connections=_MAX_STORE_CONNECTIONS,
    max_keepalive_connections=_MAX_IDLE_STORE_CONNECTIONS,
)
_SHUTDOWN_GRACE_S = 2
_MAX_FINAL_FLUSHES = 10
_FINAL_FLUSH_DELAY_S = 0.2
_DRAIN_POLL_S = 0.05
_BACKGROUND_TASKS = (
    serve_store_poll,
    serve_vm_list_poll,
    serve_sampling,
    serve_load_reports,
    serve_crash_blocks,
    serve_evidence,
    serve_drafts,
    serve_rollout_leader,
    serve_load_exchange,
)


async def run_node(settings: NodeSettings) -> None:
    """Run one node until it is signalled to stop.

    The first SIGTERM or SIGINT starts a graceful drain. A second one skips
    the wait for cached addresses to expire; requests in progress are
    completed in any case.

    Args:
        settings: Validated settings.
    """
    ctx = _make_context(settings)
    bill_replicas = BillReplicas()
    queue = BillQueue(BatchState(ctx.incarnation))
    peer_connections = PeerConnections(
        tls=make_peer_contexts(settings.tls).client
    )
    bill_sender, bill_receiver = trio.open_memory_channel(math.inf)
    ctx.bill_sender = bill_sender
    async with trio.open_nursery() as nursery:
        ctx.nursery = nursery
        ctx.request_peer = make_peer_requester(ctx, peer_connections, nursery)
        await nursery.start(
            serve_peers,
            ctx,
            bill_replicas,
            make_peer_contexts(settings.tls).server,
        )
        nursery.start_soon(
            serve_bills, ctx, queue, bill_replicas, bill_receiver
        )
        for task in _BACKGROUND_TASKS:
            nursery.start_soon(task, ctx)
        stop = trio.Event()
        nursery.start_soon(_serve_signals, ctx, stop)
        ctx.log.write(EventCode.node_started, node=settings.node_id)
        await serve(
            make_app(ctx),
            _make_server_config(settings),
            shutdown_trigger=stop.wait,
        )
        await _flush_remaining_bills(ctx, queue)
        nursery.cancel_scope.cancel()
    ctx.log.write(EventCode.node_stopped, node=settings.node_id)


def _make_context(settings: NodeSettings) -> NodeContext:
    random_source = random.Random()
    # Shared, as each new context loads all CA certificates of the system.
    verify = make_client_context(settings.tls) or httpx.create_ssl_context(
        trust_env=False
    )
    store_http = httpx.AsyncClient(
        base_url=settings.platform_url,
        timeout=settings.store_timeout_s,
        transport=CheckedTransport(verify, _STORE_LIMITS),
        trust_env=False,
    )
    timeout = httpx.Timeout(
        settings.read_timeout_s, connect=settings.connect_timeout_s
    )
    ctx = NodeContext(
        settings=settings,
        log=EventLog(settings.node_id, settings.log_path),
        metrics=make_metrics(settings.statsd_address, settings.node_id),
        store=StoreClient(store_http),
        upstream_http=httpx.AsyncClient(
            timeout=timeout,
            transport=CheckedTransport(verify, _POOLED_LIMITS),
            trust_env=False,
        ),
        single_use_http=httpx.AsyncClient(
            timeout=timeout,
            transport=CheckedTransport(verify, _SINGLE_USE_LIMITS),
            trust_env=False,
        ),
        random_source=random_source,
        incarnation=f'{settings.node_id}-{uuid.uuid4().hex}',
        signer=make_signer(settings.session_keys),
    )
    ctx.select = make_selector(ctx.loads, SelectionSettings(), random_source)
    return ctx


def _make_server_config(settings: NodeSettings) -> Config:
    config = Config()
    config.bind = [settings.caller_address]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = _SHUTDOWN_GRACE_S
    config.shutdown_timeout = _SHUTDOWN_GRACE_S
    config.keep_alive_timeout = settings.read_timeout_s
    config.backlog = 1024
    web_tls = select_web_tls(settings.tls)
    if web_tls is not None:
        config.certfile = web_tls.certificate_path
        config.keyfile = web_tls.key_path
    return config


async def _serve_signals(ctx: NodeContext, stop: trio.Event) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _signal in signals:
            break
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_drain, ctx, stop)
            async for _second in signals:
                ctx.log.write(EventCode.drain_started, hurried=True)
                ctx.is_rejecting_requests = True


async def _drain(ctx: NodeContext, stop: trio.Event) -> None:
    """Drain the node, then set ``stop``.

    The node is no longer listed as an address for clients. It waits until
    cached address lists have expired, then rejects new requests and waits
    for those in progress.
    """
    ctx.log.write(EventCode.drain_started, hurried=False)
    ctx.leaving = True
    reject_from_s = plan_refusal_start_s(
        trio.current_time(),
        ctx.settings.keep_s,
        ctx.settings.settle_s,
        hurried=False,
    )
    while trio.current_time() < reject_from_s and not ctx.is_rejecting_requests:
        await trio.sleep(_DRAIN_POLL_S)
    ctx.log.write(EventCode.drain_left_addresses)
    ctx.is_rejecting_requests = True
    while ctx.n_running > 0:
        await trio.sleep(_DRAIN_POLL_S)
    stop.set()


async def _flush_remaining_bills(ctx: NodeContext, queue: BillQueue) -> None:
    """Write the remaining bills; if that fails, the peer's replicas remain."""
    for _attempt in range(_MAX_FINAL_FLUSHES):
        if (
            await flush_bills(ctx, queue)
            and not queue.batch_state.open.bills_by_id
        ):
            return
        await trio.sleep(_FINAL_FLUSH_DELAY_S)
