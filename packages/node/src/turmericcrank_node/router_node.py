"""Starts the tasks of one node and shuts them down in order."""

import random
import signal
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from functools import partial
from types import FrameType

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.inbound import make_body_budget
from turmericcrank_core.network_address import split_address

from turmericcrank_node.control.rollout_control import run_rollout_control
from turmericcrank_node.event_log import EventLog, serve_log
from turmericcrank_node.membership.gossip_server import serve_gossip
from turmericcrank_node.platform_port import Platform, RouterSettings
from turmericcrank_node.serving.client_connection import (
    serve_client_connection,
)
from turmericcrank_node.serving.connection_state import ConnectionHandlers
from turmericcrank_node.serving.node_endpoints import (
    handle_address_query,
    handle_health_check,
    handle_metrics_scrape,
)
from turmericcrank_node.serving.router import handle_request, reject_body
from turmericcrank_node.serving.socket_waits import cancel_on, has_arrived
from turmericcrank_node.state.node_state import NodeState
from turmericcrank_node.state.router_metrics import make_metrics
from turmericcrank_node.state.table_watch import serve_table_watch
from turmericcrank_node.tunnel.tunnel_server import serve_tunnels
from turmericcrank_node.upstreams.block_storage import serve_block_storage
from turmericcrank_node.upstreams.upstream_access import serve_path_probes

__all__ = ('make_state', 'run_router_node')

_BACKLOG = 1024
_INCARNATION_DIGITS = 12
_REJECT_DELAY_S = 2.9
_KILL_MARGIN_S = 0.4
_DRAIN_POLL_S = 0.05
_SETTINGS_POLL_S = 2
_ACCEPT_WAITING_S = 0.2
_LAST_RESPONSES_S = 0.3
# Time to answer the requests that are still in flight.
_FINAL_RESPONSES_S = 0.15
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def make_state(settings: RouterSettings, platform: Platform) -> NodeState:
    """Create the initial state of a node, before it has read any table."""
    metrics = make_metrics()

    def count(event: str) -> None:
        metrics.events.labels(event).inc()

    return NodeState(
        settings=settings,
        platform=platform,
        log=EventLog(settings.node_id, '-', count),
        metrics=metrics,
        incarnation=uuid.uuid4().hex[:_INCARNATION_DIGITS],
        random_source=random.Random(),
        body_budget=make_body_budget(settings.memory_bytes),
    )


async def run_router_node(settings: RouterSettings, platform: Platform) -> None:
    """Run one node until it receives a termination signal.

    Args:
        settings: Validated settings.
        platform: Interface to the platform, from the adapter.
    """
    state = make_state(settings, platform)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_log, state.log)
        state.log.write(EventCode.node_started, incarnation=state.incarnation)
        for task in (
            serve_table_watch,
            serve_gossip,
            serve_path_probes,
            serve_tunnels,
            run_rollout_control,
            serve_block_storage,
            _watch_settings,
        ):
            nursery.start_soon(task, state)
        for address, endpoint in (
            (settings.addresses.client, handle_request),
            (settings.addresses.health, handle_health_check),
            (settings.addresses.directory, handle_address_query),
            (settings.addresses.metrics, handle_metrics_scrape),
        ):
            if address:
                nursery.start_soon(_serve_clients, state, address, endpoint)
        await _drain_on_signal(state)
        nursery.cancel_scope.cancel()
    state.log.write(EventCode.node_stopped, n_requests=state.n_requests)
    state.log.flush()


async def _serve_clients(
    state: NodeState, address: str, endpoint: partial
) -> None:
    """Listen on one address and serve each connection in its own task."""
    host, port = split_address(address)
    handlers = ConnectionHandlers(
        partial(endpoint, state),
        partial(reject_body, state),
        lambda: state.limits,
        lambda: state.is_stopping,
        state.closing,
        state.body_budget,
        state.connections,
        partial(_log_discarded, state),
    )
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(
            port, host=host, backlog=_BACKLOG
        )
        serve = partial(_serve_connection, state, handlers)
        # The listening sockets stay open when the accepting task ends.
        kept = [trio.SocketListener(one.socket.dup()) for one in listeners]
        async with trio.open_nursery() as accepting:
            accepting.start_soon(
                cancel_on, state.must_stop_listening, accepting.cancel_scope
            )
            await trio.serve_listeners(
                serve, listeners, handler_nursery=nursery
            )
        for listener in kept:
            await _accept_waiting(state, serve, listener, nursery)


async def _accept_waiting(
    state: NodeState,
    serve: Callable[[trio.SocketStream], Awaitable[None]],
    listener: trio.SocketListener,
    nursery: trio.Nursery,
) -> None:
    """Accept the connections that wait, then stop listening.

    Closing a listening socket resets the connections that wait on it.
    """
    with listener.socket, trio.move_on_after(_ACCEPT_WAITING_S):
        while has_arrived(listener.socket):
            try:
                stream = await listener.accept()
            except OSError as error:
                state.log.write(EventCode.internal_fault, detail=repr(error))
                return
            nursery.start_soon(serve, stream)


async def _serve_connection(
    state: NodeState, handlers: ConnectionHandlers, stream: trio.SocketStream
) -> None:
    """Serve one connection; an error in it does not affect the others."""
    try:
        await serve_client_connection(handlers, stream)
    except Exception as error:
        state.log.write(EventCode.internal_fault, detail=repr(error))
        stream.socket.close()


def _log_discarded(state: NodeState, cause: str, n_bytes: int) -> None:
    state.log.write(
        EventCode.connection_discarded, cause=cause, n_bytes=n_bytes
    )


async def _drain_on_signal(state: NodeState) -> None:
    """Wait for a termination signal, then drain the node."""
    with trio.open_signal_receiver(*_STOP_SIGNALS, signal.SIGHUP) as signals:
        for number in _STOP_SIGNALS:
            notify = partial(_plan_rejections, state, signal.getsignal(number))
            signal.signal(number, notify)
        await _handle_signals(state, signals)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_ignore_signals, state, signals)
            await _drain(state)
            nursery.cancel_scope.cancel()


def _plan_rejections(
    state: NodeState,
    notify: Callable[[int, FrameType | None], None],
    number: int,
    frame: FrameType | None,
) -> None:
    """Handle the first termination signal, even if no task can run now."""
    if state.rejects_from_s is None:
        state.rejects_from_s = trio.current_time() + _REJECT_DELAY_S
    notify(number, frame)


async def _handle_signals(
    state: NodeState, signals: AsyncIterator[int]
) -> None:
    """Reload the settings on each SIGHUP, until a termination signal."""
    async for number in signals:
        if number != signal.SIGHUP:
            return
        state.log.write(
            EventCode.settings_reloaded, changed=_reload_settings(state)
        )


async def _ignore_signals(
    state: NodeState, signals: AsyncIterator[int]
) -> None:
    """Log and ignore further signals, so that they do not cut it short."""
    async for number in signals:
        state.log.write(EventCode.drain_started, repeated=int(number))


async def _watch_settings(state: NodeState) -> None:
    """Poll for changes of the settings that no signal announces."""
    while True:
        await trio.sleep(_SETTINGS_POLL_S)
        if _reload_settings(state):
            state.log.write(EventCode.settings_reloaded, changed=True)


def _reload_settings(state: NodeState) -> bool:
    """Reload the settings; return whether any of them changed.

    The listening addresses stay as they were when the process started.
    """
    loaded = state.platform.reload_settings()
    if loaded.is_error():
        field_errors = [str(field_error) for field_error in loaded.error]
        state.log.write(EventCode.settings_rejected, errors=field_errors)
        return False
    reloaded = replace(loaded.ok, addresses=state.settings.addresses)
    is_changed = reloaded != state.settings
    state.settings = reloaded
    return is_changed


async def _drain(state: NodeState) -> None:
    """Drain the node in steps.

    First the node is no longer ready, so clients stop getting its address,
    but it still serves requests; after a delay it rejects requests and closes
    idle connections. Once no request has been in flight for a second, it stops
    listening; the drain ends with the last connection, or shortly before the
    process would be killed. Requests that are still in flight then, as their
    upstreams are silent, are answered with an error.
    """
    state.is_stopping = True
    state.request_gossip()
    if state.rejects_from_s is None:
        # The signal came before its handler was replaced.
        state.rejects_from_s = trio.current_time() + _REJECT_DELAY_S
    drain_began_s = state.rejects_from_s - _REJECT_DELAY_S
    state.log.write(
        EventCode.drain_started,
        n_requests=state.n_requests,
        late_s=_late_s(drain_began_s),
    )
    await trio.sleep_until(state.rejects_from_s)
    state.closing.set()
    state.log.write(
        EventCode.drain_left_addresses,
        n_requests=state.n_requests,
        late_s=_late_s(state.rejects_from_s),
    )
    deadline_s = drain_began_s + state.settings.bounds.grace_s - _KILL_MARGIN_S
    with trio.move_on_at(deadline_s - _LAST_RESPONSES_S):
        await _wait_until_idle(state)
    state.must_stop_listening.set()
    with trio.move_on_at(deadline_s - _FINAL_RESPONSES_S):
        await _wait_until_closed(state)
    n_stopped = len(state.request_scopes)
    for scope in tuple(state.request_scopes):
        scope.cancel()
    with trio.move_on_at(deadline_s):
        await _wait_until_closed(state)
    state.log.write(
        EventCode.drain_ended,
        n_requests=state.n_requests,
        n_reading=state.connections.n_reading,
        n_connections=state.connections.n_open,
        n_stopped=n_stopped,
        length_s=round(trio.current_time() - drain_began_s, 3),
        late_s=_late_s(deadline_s),
    )


async def _wait_until_idle(state: NodeState) -> None:
    """Wait until no request has been read or in flight for a second."""
    idle_since_s = trio.current_time()
    while trio.current_time() - idle_since_s <= 1:
        await trio.sleep(_DRAIN_POLL_S)
        if state.n_requests or state.connections.n_reading:
            idle_since_s = trio.current_time()


async def _wait_until_closed(state: NodeState) -> None:
    """Wait until the connections that were accepted are closed."""
    # A connection that has just been accepted counts from the next turn on.
    n_idle_polls = 0
    while n_idle_polls < 2:
        await trio.sleep(_DRAIN_POLL_S)
        is_busy = state.n_requests or state.connections.n_open
        n_idle_polls = 0 if is_busy else n_idle_polls + 1


def _late_s(planned_s: float) -> float:
    """Return how long ago a step was due; 0 if it is early."""
    return round(max(0, trio.current_time() - planned_s), 3)
