"""Client connections to the other nodes; one task owns each connection.

A connection is opened on first use and closed after an idle timeout. Its
task receives requests through a channel and sends them one at a time.
"""

import math
import ssl
from dataclasses import dataclass, field
from typing import Any

import trio
from expression import Error, Ok, Result
from turmericcrank_core.network_address import split_address

from turmericcrank_node.membership.peer_stream import (
    PeerStream,
    PeerStreamError,
    authenticate_as_client,
)
from turmericcrank_node.state.node_context import NodeContext, VmRow

__all__ = ('PeerConnections', 'make_peer_requester')

_IDLE_TIMEOUT_S = 60
_BACKOFF_S = 0.3
_CONNECT_TIMEOUT_S = 0.7


@dataclass(slots=True)
class PendingRequest:
    """A message to a peer and the channel for its response."""

    message: Any
    response_channel: Any
    timeout_s: float


@dataclass(slots=True)
class PeerConnections:
    """State of the connections to peers.

    Attributes:
        request_channels_by_address: Channel to the task of each connection,
            by peer address.
        backoff_until_by_address: Time until which requests to a peer fail
            immediately, after a failed request, in seconds.
        tls: TLS context; None if the nodes connect without TLS.
    """

    request_channels_by_address: dict[str, Any] = field(default_factory=dict)
    backoff_until_by_address: dict[str, float] = field(default_factory=dict)
    tls: ssl.SSLContext | None = None


def make_peer_requester(
    ctx: NodeContext, connections: PeerConnections, nursery: trio.Nursery
) -> Any:
    """Make the function that sends a request to a peer.

    Args:
        ctx: Context of this node.
        connections: Connections; owned by the tasks started here.
        nursery: Runs the connection tasks.

    Returns:
        A coroutine function of peer ID or address, message and timeout in
        seconds; it returns the response or an error message.
    """

    async def send_request(
        peer: str, message: Any, timeout_s: float
    ) -> Result[Any, str]:
        address = _find_address(ctx.vms_by_id, peer)
        if not address:
            return Error('the peer is not on the VM list')
        if (
            connections.backoff_until_by_address.get(address, 0)
            > trio.current_time()
        ):
            return Error('the last request to the peer failed; backing off')
        if address not in connections.request_channels_by_address:
            sender, receiver = trio.open_memory_channel(math.inf)
            connections.request_channels_by_address[address] = sender
            nursery.start_soon(
                _serve_connection, ctx, connections, address, receiver
            )
        response_sender, response_receiver = trio.open_memory_channel(1)
        connections.request_channels_by_address[address].send_nowait(
            PendingRequest(message, response_sender, timeout_s)
        )
        with trio.move_on_after(timeout_s + _CONNECT_TIMEOUT_S):
            return await response_receiver.receive()
        return Error('the request to the peer timed out')

    return send_request


def _find_address(vms_by_id: dict[str, VmRow], peer: str) -> str:
    row = vms_by_id.get(peer)
    if row is not None:
        return row.peer_address
    return peer if ':' in peer else ''


async def _serve_connection(
    ctx: NodeContext, connections: PeerConnections, address: str, requests: Any
) -> None:
    peer: PeerStream | None = None
    while True:
        request = None
        with trio.move_on_after(_IDLE_TIMEOUT_S):
            request = await requests.receive()
        if request is None:
            connections.request_channels_by_address.pop(address, None)
            break
        peer, outcome = await _send_request(
            ctx, connections, address, peer, request
        )
        if outcome.is_error():
            connections.backoff_until_by_address[address] = (
                trio.current_time() + _BACKOFF_S
            )
        request.response_channel.send_nowait(outcome)
    if peer is not None:
        await peer.close()


async def _send_request(
    ctx: NodeContext,
    connections: PeerConnections,
    address: str,
    peer: PeerStream | None,
    request: PendingRequest,
) -> tuple[PeerStream | None, Result[Any, str]]:
    try:
        if peer is None:
            peer = await _connect(ctx, connections, address)
        bytes_before = peer.n_bytes
        with trio.fail_after(request.timeout_s):
            await peer.send(request.message)
            response = await peer.receive()
        ctx.n_peer_bytes += peer.n_bytes - bytes_before
    except (OSError, trio.TooSlowError, PeerStreamError) as error:
        if peer is not None:
            await peer.close()
        return None, Error(repr(error))
    if response is None:
        await peer.close()
        return None, Error('the peer closed the connection')
    return peer, Ok(response)


async def _connect(
    ctx: NodeContext, connections: PeerConnections, address: str
) -> PeerStream:
    host, port = split_address(address)
    with trio.fail_after(_CONNECT_TIMEOUT_S):
        stream: Any = await trio.open_tcp_stream(host, port)
        if connections.tls is not None:
            stream = trio.SSLStream(
                stream, connections.tls, server_hostname=host
            )
        peer = PeerStream(stream)
        await authenticate_as_client(
            peer, ctx.settings.node_id, ctx.settings.node_secret
        )
    return peer
