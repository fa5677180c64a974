"""Connects other nodes, which reach no upstream themselves, to upstreams.

A tunnel only carries bytes: the node that opened it decides what is sent, and
how often. A tunnel never goes on through a third node.
"""

from functools import partial

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.network_address import split_address
from turmericcrank_core.upstream_notices import is_leaving
from turmericcrank_core.upstream_registry import ListedUpstream, iter_usable

from turmericcrank_node.http_connection import (
    CONNECTION_ERRORS,
    ByteStream,
    ConnectFault,
    UpstreamConnection,
)
from turmericcrank_node.socket_options import (
    UPSTREAM_KEEPALIVE,
    set_socket_options,
)
from turmericcrank_node.state.node_state import NodeState, read_boottime_s
from turmericcrank_node.tunnel.tunnel_stream import (
    TunnelRequest,
    TunnelStatus,
    pack_frame,
    read_request,
)
from turmericcrank_node.upstreams.upstream_access import (
    check_path,
    connect_directly,
)

__all__ = ('serve_tunnel', 'serve_tunnels')

_BACKLOG = 1024
_MAX_TUNNELS = 128
_REQUEST_TIMEOUT_S = 0.5
_CLOSE_WAIT_S = 5
_READ_BYTES = 65536
_STATUS_BY_FAULT = {
    ConnectFault.refused: TunnelStatus.refused,
    ConnectFault.timed_out: TunnelStatus.timed_out,
    ConnectFault.unreachable: TunnelStatus.timed_out,
}


async def serve_tunnels(state: NodeState) -> None:
    """Accept requests for tunnels at the address for peers."""
    host, port = split_address(state.settings.addresses.peer)
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=_BACKLOG)
    async with trio.open_nursery() as nursery:
        await trio.serve_listeners(
            partial(serve_tunnel, state), listeners, handler_nursery=nursery
        )


async def serve_tunnel(state: NodeState, stream: trio.SocketStream) -> None:
    """Serve one tunnel; an error in it does not affect the others."""
    state.n_tunnels += 1
    state.n_requests += 1
    try:
        with stream.socket:
            set_socket_options(stream.socket, UPSTREAM_KEEPALIVE)
            await _serve_request(state, stream)
    except CONNECTION_ERRORS:
        # The other node has closed the tunnel, or is gone.
        return
    except Exception as error:
        state.log.write(EventCode.internal_fault, detail=repr(error))
    finally:
        state.n_tunnels -= 1
        state.n_requests -= 1


async def _serve_request(state: NodeState, stream: trio.SocketStream) -> None:
    request: TunnelRequest | None = None
    with trio.move_on_after(_REQUEST_TIMEOUT_S):
        request = await read_request(stream)
    if request is None:
        return
    outcome = await _connect(state, request)
    is_open = isinstance(outcome, UpstreamConnection)
    status = TunnelStatus.open if is_open else outcome
    state.log.write(
        EventCode.tunnel_served,
        peer=request.node_id,
        upstream=request.upstream_id,
        outcome=status.name,
        probe=request.is_probe,
        n_tunnels=state.n_tunnels,
    )
    try:
        await stream.send_all(bytes((status,)))
        if is_open:
            await _forward(stream, outcome.stream)
    finally:
        if is_open:
            outcome.abort()


async def _connect(
    state: NodeState, request: TunnelRequest
) -> UpstreamConnection | TunnelStatus:
    """Connect to the upstream of a request, or tell why not."""
    if state.upstream_path.is_cut_off:
        return TunnelStatus.cut_off
    if state.is_stopping or state.n_tunnels > _MAX_TUNNELS:
        return TunnelStatus.busy
    upstream = _find_upstream(state, request.upstream_id)
    if upstream is None:
        return TunnelStatus.not_listed
    began_s = read_boottime_s()
    connection = await connect_directly(state, upstream)
    if isinstance(connection, UpstreamConnection):
        return connection
    # A probe is part of the check of another node, which must not start
    # further checks.
    if not request.is_probe and await check_path(state, upstream, began_s):
        return TunnelStatus.cut_off
    return _STATUS_BY_FAULT[connection]


def _find_upstream(state: NodeState, upstream_id: str) -> ListedUpstream | None:
    """Find an upstream that this node itself would send requests to."""
    listed = state.upstream_registry.by_id.get(upstream_id)
    if listed is None or is_leaving(state.notices, listed):
        return None
    usable = iter_usable(
        state.upstream_registry, listed.service, read_boottime_s()
    )
    return listed if listed in usable else None


async def _forward(stream: trio.SocketStream, upstream: ByteStream) -> None:
    """Forward bytes in both directions until either end closes."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _forward_to_upstream, stream, upstream, nursery.cancel_scope
        )
        await _forward_to_peer(upstream, stream)
        nursery.cancel_scope.cancel()


async def _forward_to_upstream(
    stream: trio.SocketStream, upstream: ByteStream, scope: trio.CancelScope
) -> None:
    """Forward until the other node closes; that ends the tunnel.

    An upstream that reads no further may still respond, so a failed write
    does not end it.
    """
    is_writable = True
    while True:
        try:
            received = await stream.receive_some(_READ_BYTES)
        except CONNECTION_ERRORS:
            received = b''
        if not received:
            scope.cancel()
            return
        if is_writable:
            is_writable = await _try_send(upstream, received)


async def _try_send(upstream: ByteStream, raw: bytes) -> bool:
    """Send bytes; return whether the connection accepts more.

    Reading tells why it does not, see ``CheckedStream``.
    """
    try:
        await upstream.send_all(raw)
    except CONNECTION_ERRORS:
        return False
    return True


async def _forward_to_peer(
    upstream: ByteStream, stream: trio.SocketStream
) -> None:
    """Forward until the upstream closes.

    Only an orderly close is announced: after a reset, the tunnel just ends.
    """
    while True:
        try:
            received = await upstream.receive_some(_READ_BYTES)
        except CONNECTION_ERRORS:
            return
        await stream.send_all(pack_frame(received))
        if not received:
            # Closing first, with unread bytes, would reset the connection
            # and discard what the other node has not read yet.
            await trio.sleep(_CLOSE_WAIT_S)
            return
