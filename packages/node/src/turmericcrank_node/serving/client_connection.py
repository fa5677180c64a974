"""Serves the HTTP/1.1 requests of one client connection."""

import h11
import trio
from turmericcrank_core.inbound import (
    ByteHold,
    hold_spare_bytes,
    release_bytes,
    release_hold,
)

from turmericcrank_node.http_connection import (
    CONNECTION_ERRORS,
)
from turmericcrank_node.serving.client_exchange import (
    ClientExchange,
    describe_disconnect,
)
from turmericcrank_node.serving.connection_state import (
    ClientConnection,
    ClientRequest,
    ConnectionHandlers,
    record_response,
)
from turmericcrank_node.serving.request_reading import (
    PART_BYTES,
    READ_BYTES,
    read_request,
)
from turmericcrank_node.socket_options import (
    CLIENT_KEEPALIVE,
    set_socket_options,
)

__all__ = ('serve_client_connection',)

_CLOSE_WAIT_S = 1
_MAX_PIPELINED_BYTES = 65536
# The rest of the room is left to bodies and responses.
_PIPELINED_FRACTION = 0.5


async def serve_client_connection(
    handlers: ConnectionHandlers, stream: trio.SocketStream
) -> None:
    """Serve requests on one connection until it closes."""
    set_socket_options(stream.socket, CLIENT_KEEPALIVE)
    limits = handlers.limits()
    parser = h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.header_bytes
    )
    hold = ByteHold(handlers.body_budget)
    connection = ClientConnection(stream, parser, hold)
    handlers.counts.n_open += 1
    try:
        with stream.socket:
            while await _serve_next_request(handlers, connection):
                connection.parser.start_next_cycle()
            await _close_gracefully(handlers, connection)
    finally:
        handlers.counts.n_open -= 1
        release_hold(hold)


async def _serve_next_request(
    handlers: ConnectionHandlers, connection: ClientConnection
) -> bool:
    """Read and serve a request; return whether the connection stays open."""
    try:
        request = await read_request(handlers, connection)
        if request is None:
            return False
        return await _serve_request(handlers, connection, request)
    finally:
        release_bytes(handlers.body_budget, connection.reserved_bytes)
        connection.reserved_bytes = 0


async def _serve_request(
    handlers: ConnectionHandlers,
    connection: ClientConnection,
    request: ClientRequest,
) -> bool:
    """Handle one request; return whether the connection can be reused."""
    exchange = ClientExchange(
        connection.stream,
        connection.parser,
        handlers.is_closing,
        request.method == b'HEAD',
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _watch_client, connection, exchange, nursery.cancel_scope
        )
        await handlers.handle_request(request, exchange)
        nursery.cancel_scope.cancel()
    if not exchange.is_complete:
        connection.stream.socket.close()
        return False
    record_response(connection)
    if connection.pipelined:
        connection.parser.receive_data(bytes(connection.pipelined))
        connection.pipelined.clear()
    states = connection.parser.our_state, connection.parser.their_state
    return states == (h11.DONE, h11.DONE)


async def _watch_client(
    connection: ClientConnection,
    exchange: ClientExchange,
    scope: trio.CancelScope,
) -> None:
    """Cancel the request if the client closes the connection.

    Bytes that arrive meanwhile are kept for the next request. Once there are
    ``_MAX_PIPELINED_BYTES``, with those that were kept before, the connection
    is no longer watched. The same holds where there is no room for more.
    """
    while _hold_pipelined(connection):
        try:
            received = await connection.stream.receive_some(PART_BYTES)
        except CONNECTION_ERRORS as error:
            received = b''
            exchange.disconnect_reason = describe_disconnect(error)
        if not received:
            exchange.disconnect_reason = exchange.disconnect_reason or 'closed'
            scope.cancel()
            return
        connection.pipelined += received


def _hold_pipelined(connection: ClientConnection) -> bool:
    """Reserve room for what was pipelined; return whether to read on."""
    n_parsed = len(connection.parser.trailing_data[0])
    n_bytes = n_parsed + len(connection.pipelined)
    hold = connection.pipelined_hold
    has_room = hold_spare_bytes(hold, n_bytes, _PIPELINED_FRACTION)
    return has_room and n_bytes < _MAX_PIPELINED_BYTES


async def _close_gracefully(
    handlers: ConnectionHandlers, connection: ClientConnection
) -> None:
    """Close the sending side, then discard incoming bytes for a short time.

    Closing a socket with unread bytes sends a TCP reset, which may discard a
    response that the client has not read yet.
    """
    if connection.stream.socket.fileno() < 0:
        return
    n_bytes = 0
    try:
        await connection.stream.send_eof()
        with trio.move_on_after(_CLOSE_WAIT_S):
            while part := await connection.stream.receive_some(READ_BYTES):
                n_bytes += len(part)
                await trio.lowlevel.checkpoint()
    except CONNECTION_ERRORS:
        return
    finally:
        if connection.idle_end and n_bytes:
            handlers.report_discarded(connection.idle_end, n_bytes)
