"""Reads the requests of one client connection."""

from dataclasses import replace
from http import HTTPStatus
from typing import Any

import h11
import trio
from turmericcrank_core.inbound import hold_spare_bytes, reserve_bytes
from turmericcrank_core.routing import ClientLimits

from turmericcrank_node.http_connection import (
    CONNECTION_ERRORS,
    find_header,
)
from turmericcrank_node.serving.client_exchange import ClientExchange
from turmericcrank_node.serving.connection_state import (
    ClientConnection,
    ClientRequest,
    ConnectionHandlers,
)
from turmericcrank_node.serving.socket_waits import end_sending, has_arrived

__all__ = ('PART_BYTES', 'READ_BYTES', 'read_request')

READ_BYTES = 65536
# Read at a time where what follows may belong to a later request.
PART_BYTES = 4096
# The rest of the room is left to small bodies and responses.
_HEADS_FRACTION = 0.75
_TIMED_OUT = object()
_NO_ROOM = object()


async def read_request(
    handlers: ConnectionHandlers, connection: ClientConnection
) -> ClientRequest | None:
    """Read the next request; None if the connection must be closed."""
    if not connection.parser.trailing_data[0]:
        idle_s = handlers.limits().idle_s
        if not await _wait_for_bytes(handlers, connection, idle_s):
            return None
    handlers.counts.n_reading += 1
    try:
        return await _read_message(handlers, connection)
    finally:
        handlers.counts.n_reading -= 1


async def _read_message(
    handlers: ConnectionHandlers, connection: ClientConnection
) -> ClientRequest | None:
    """Read a request that has begun; None if it is incomplete."""
    limits = handlers.limits()
    try:
        head = await _read_event(connection, limits.header_s, PART_BYTES)
        if isinstance(head, h11.Request):
            return await _read_body(handlers, connection, head)
    except h11.RemoteProtocolError as error:
        await _reject(connection, error.error_status_hint)
        return None
    if head is _TIMED_OUT:
        await _reject(connection, HTTPStatus.REQUEST_TIMEOUT)
    if head is _NO_ROOM:
        await _reject(connection, HTTPStatus.SERVICE_UNAVAILABLE)
    return None


async def _read_body(
    handlers: ConnectionHandlers,
    connection: ClientConnection,
    head: h11.Request,
) -> ClientRequest | None:
    """Read the body of a request; None if the connection must be closed.

    The idle timeout applies to each part of the body, not to the complete
    body: a slow client is served, a stalled one is not.
    """
    limits = handlers.limits()
    request = ClientRequest(
        bytes(head.method),
        bytes(head.target),
        list(head.headers),
        b'',
        trio.current_time(),
    )
    declared_bytes = _read_declared_length(request, limits)
    if not _reserve(handlers, connection, declared_bytes):
        await _reject_body(handlers, connection, request)
        return None
    if not await _send_continue(connection):
        return None
    body = bytearray()
    event = await _read_event(
        connection, limits.idle_s, _plan_body_read_bytes(request, body)
    )
    while isinstance(event, h11.Data):
        body += event.data
        if len(body) > limits.body_bytes:
            await _reject(connection, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return None
        missing_bytes = len(body) - connection.reserved_bytes
        if not _reserve(handlers, connection, missing_bytes):
            await _reject_body(handlers, connection, request)
            return None
        event = await _read_event(
            connection, limits.idle_s, _plan_body_read_bytes(request, body)
        )
    if event is _TIMED_OUT:
        await _reject(connection, HTTPStatus.REQUEST_TIMEOUT)
    if not isinstance(event, h11.EndOfMessage):
        return None
    return replace(request, body=body)


def _plan_body_read_bytes(request: ClientRequest, body: bytearray) -> int:
    """Return how much to read next, so that little beyond the body is read.

    What follows a body belongs to a later request, and is in no budget yet.
    """
    text = find_header(request.headers, b'content-length')
    if not text:
        return PART_BYTES
    return max(1, min(READ_BYTES, int(text) - len(body)))


def _read_declared_length(request: ClientRequest, limits: ClientLimits) -> int:
    """Return the length of the body, as far as it is allowed and known."""
    text = find_header(request.headers, b'content-length')
    return min(int(text or 0), limits.body_bytes)


def _reserve(
    handlers: ConnectionHandlers, connection: ClientConnection, n_bytes: int
) -> bool:
    """Reserve room for more of a body; return whether there is any."""
    if n_bytes <= 0:
        return True
    has_room = reserve_bytes(
        handlers.body_budget, connection.reserved_bytes, n_bytes
    )
    if has_room:
        connection.reserved_bytes += n_bytes
    return has_room


async def _reject_body(
    handlers: ConnectionHandlers,
    connection: ClientConnection,
    request: ClientRequest,
) -> None:
    """Reject a request before its body is read to the end."""
    exchange = ClientExchange(
        connection.stream,
        connection.parser,
        lambda: True,
        request.method == b'HEAD',
    )
    await handlers.reject_body(request, exchange)


async def _send_continue(connection: ClientConnection) -> bool:
    """Send ``100 Continue`` to a client that waits for it.

    Returns:
        False if the client has disconnected.
    """
    if not connection.parser.they_are_waiting_for_100_continue:
        return True
    continue_response = h11.InformationalResponse(
        status_code=HTTPStatus.CONTINUE, headers=[]
    )
    try:
        await connection.stream.send_all(
            connection.parser.send(continue_response) or b''
        )
    except CONNECTION_ERRORS:
        return False
    return True


async def _read_event(
    connection: ClientConnection, timeout_s: float, n_bytes: int
) -> Any:
    """Read the next protocol event, at most some bytes at a time.

    Returns:
        The event, ``_TIMED_OUT``, ``_NO_ROOM`` if there is none for a head,
        or None if the connection broke.
    """
    with trio.move_on_after(timeout_s):
        return await _next_event(connection, n_bytes)
    return _TIMED_OUT


async def _next_event(connection: ClientConnection, n_bytes: int) -> Any:
    while True:
        event = connection.parser.next_event()
        if event is not h11.NEED_DATA:
            return event
        is_body = connection.parser.their_state is h11.SEND_BODY
        try:
            received = await connection.stream.receive_some(n_bytes)
        except CONNECTION_ERRORS:
            return None
        connection.parser.receive_data(received)
        if not is_body and not _hold_head(connection):
            return _NO_ROOM


def _hold_head(connection: ClientConnection) -> bool:
    """Reserve room for a long head; return whether there is any."""
    n_bytes = len(connection.parser.trailing_data[0])
    if n_bytes <= PART_BYTES:
        return True
    return hold_spare_bytes(connection.pipelined_hold, n_bytes, _HEADS_FRACTION)


async def _wait_for_bytes(
    handlers: ConnectionHandlers, connection: ClientConnection, idle_s: float
) -> bool:
    """Wait for the first bytes of a request.

    Returns:
        False if none come. The sending side of the connection is then closed,
        in the same step in which it is known that nothing has arrived: the
        wait may end long after it was due, and meanwhile a request may come.
    """
    received = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _cancel_at_drain, handlers, connection, nursery.cancel_scope
        )
        with trio.move_on_after(idle_s):
            received = await _receive(connection)
        nursery.cancel_scope.cancel()
    if received is None and has_arrived(connection.stream.socket):
        received = await _receive(connection)
    if received is None:
        end_sending(connection.stream.socket)
        is_draining = handlers.closing.is_set()
        connection.idle_end = 'drain' if is_draining else 'idle timeout'
    if received:
        connection.parser.receive_data(received)
    return bool(received)


async def _receive(connection: ClientConnection) -> bytes:
    """Receive bytes; empty if the connection was closed or broke."""
    try:
        return await connection.stream.receive_some(PART_BYTES)
    except CONNECTION_ERRORS:
        return b''


async def _cancel_at_drain(
    handlers: ConnectionHandlers,
    connection: ClientConnection,
    scope: trio.CancelScope,
) -> None:
    """Stop waiting when the node drains, but not at once after a response."""
    await handlers.closing.wait()
    await trio.sleep_until(connection.idle_since_s + connection.drain_wait_s)
    scope.cancel()


async def _reject(connection: ClientConnection, status: int) -> None:
    """Send an empty error response to an invalid or oversized request."""
    if connection.parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
        return
    exchange = ClientExchange(
        connection.stream, connection.parser, lambda: True
    )
    await exchange.send_response(status, [], b'')
