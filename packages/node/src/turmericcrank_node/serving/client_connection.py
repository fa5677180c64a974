"""Serves one connection of a client: requests come in, answers go out."""

import errno
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import h11
import trio
from turmericcrank_core.routing import ClientLimits

from turmericcrank_node.http_wire import (
    CLIENT_KEEPALIVE,
    Headers,
    set_socket_options,
)

__all__ = (
    'ClientExchange',
    'ClientRequest',
    'ConnectionHandlers',
    'serve_client_connection',
)

_READ_BYTES = 65536
_CLOSE_WAIT_S = 1
_MAX_PIPELINED_BYTES = 65536
_TIMED_OUT = object()
_CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """One whole request of a client.

    Attributes:
        method: Method.
        target: Path and query as they came.
        headers: Headers with lower-case names.
        body: Whole body.
        arrived_s: Monotonic time at which its head was read, in seconds.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_s: float


@dataclass(slots=True)
class ClientExchange:
    """The answer to one request.

    Attributes:
        stream: The socket.
        parser: State of the protocol on it.
        is_last: Whether the connection closes after this answer.
        is_started: Whether the head of the answer has been sent.
        is_whole: Whether the answer has been sent to its end.
        status: Status of the answer; 0 before its head is sent.
        departure: How the client went away, as ``closed`` or the name of an
            error number; empty while it is there.
    """

    stream: trio.SocketStream
    parser: h11.Connection
    is_last: bool = False
    is_started: bool = False
    is_complete: bool = False
    status: int = 0
    disconnect_reason: str = ''

    async def start(
        self, status: int, headers: Headers, first: bytes = b''
    ) -> bool:
        """Send the head, with the first bytes of the body if there are any.

        Returns:
            False when the client has gone.
        """
        raw = self._write_head(status, headers)
        if first:
            raw += self.parser.send(h11.Data(data=first)) or b''
        return await self._write(raw)

    async def send(self, part: bytes) -> bool:
        """Send more of the body; False when the client has gone."""
        return await self._write(self.parser.send(h11.Data(data=part)) or b'')

    async def finish(self) -> bool:
        """Send the end of the answer; False when the client has gone."""
        raw = self.parser.send(h11.EndOfMessage()) or b''
        self.is_complete = await self._write(raw)
        return self.is_complete

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = (b'content-length', str(len(body)).encode())
        raw = self._write_head(status, [*headers, length])
        if body:
            raw += self.parser.send(h11.Data(data=body)) or b''
        raw += self.parser.send(h11.EndOfMessage()) or b''
        self.is_complete = await self._write(raw)

    def _write_head(self, status: int, headers: Headers) -> bytes:
        self.is_started = True
        self.status = status
        sent_headers = list(headers)
        if self.is_last:
            sent_headers.append((b'connection', b'close'))
        response = h11.Response(status_code=status, headers=sent_headers)
        return self.parser.send(response) or b''

    async def _write(self, raw: bytes) -> bool:
        if not raw:
            return True
        try:
            await self.stream.send_all(raw)
        except _CONNECTION_ERRORS as error:
            self.disconnect_reason = _describe_disconnect(error)
            return False
        return True


def _describe_disconnect(error: Exception) -> str:
    """Name the error number that has ended a connection."""
    cause = error.__cause__ or error
    number = getattr(cause, 'errno', None)
    return errno.errorcode.get(number, type(cause).__name__)


AnswerRequest = Callable[[ClientRequest, ClientExchange], Awaitable[None]]


@dataclass(slots=True, frozen=True)
class ConnectionHandlers:
    """What a connection asks of its node.

    Attributes:
        answer: Answers one request.
        limits: Gives the limits in force now.
        is_closing: Tells whether connections are to be closed.
        closing: Set when idle connections are to be closed.
    """

    answer: AnswerRequest
    limits: Callable[[], ClientLimits]
    is_closing: Callable[[], bool]
    closing: trio.Event


@dataclass(slots=True)
class _Connection:
    """A connection between two requests."""

    stream: trio.SocketStream
    parser: h11.Connection
    pipelined: list[bytes] = field(default_factory=list)


async def serve_client_connection(
    handlers: ConnectionHandlers, stream: trio.SocketStream
) -> None:
    """Serve the requests of one connection until it closes."""
    set_socket_options(stream.socket, CLIENT_KEEPALIVE)
    limits = handlers.limits()
    parser = h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.header_bytes
    )
    connection = _Connection(stream, parser)
    with stream.socket:
        is_open = True
        while is_open:
            request = await _read_request(handlers, connection)
            if request is None:
                break
            is_open = await _serve_request(handlers, connection, request)
            if is_open:
                connection.parser.start_next_cycle()
        await _close_gracefully(connection)


async def _serve_request(
    handlers: ConnectionHandlers, connection: _Connection, request: ClientRequest
) -> bool:
    """Answer one request; tell whether the connection goes on."""
    exchange = ClientExchange(
        connection.stream, connection.parser, handlers.is_closing()
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _watch_client, connection, exchange, nursery.cancel_scope
        )
        await handlers.answer(request, exchange)
        nursery.cancel_scope.cancel()
    if not exchange.is_complete:
        connection.stream.socket.close()
        return False
    for raw in connection.pipelined:
        connection.parser.receive_data(raw)
    connection.pipelined.clear()
    states = connection.parser.our_state, connection.parser.their_state
    return states == (h11.DONE, h11.DONE)


async def _watch_client(
    connection: _Connection, exchange: ClientExchange, scope: trio.CancelScope
) -> None:
    """Cancel the request when its client closes the connection."""
    n_bytes = 0
    while n_bytes < _MAX_PIPELINED_BYTES:
        try:
            received = await connection.stream.receive_some(_READ_BYTES)
        except _CONNECTION_ERRORS as error:
            received = b''
            exchange.disconnect_reason = _describe_disconnect(error)
        if not received:
            exchange.disconnect_reason = exchange.disconnect_reason or 'closed'
            scope.cancel()
            return
        connection.pipelined.append(received)
        n_bytes += len(received)


async def _read_request(
    handlers: ConnectionHandlers, connection: _Connection
) -> ClientRequest | None:
    """Read the next request; None when there is none any more."""
    limits = handlers.limits()
    if not _has_bytes(connection):
        is_there = await _wait_for_bytes(handlers, connection, limits.idle_s)
        if not is_there:
            return None
    try:
        head = await _read_event(connection, limits.header_s)
        if isinstance(head, h11.Request):
            return await _read_rest(connection, head, limits)
    except h11.RemoteProtocolError as error:
        await _reject(connection, error.error_status_hint)
        return None
    if head is _TIMED_OUT:
        await _reject(connection, HTTPStatus.REQUEST_TIMEOUT)
    return None


async def _read_rest(
    connection: _Connection, head: h11.Request, limits: ClientLimits
) -> ClientRequest | None:
    """Read the body, which may come slowly but must not stop."""
    arrived_s = trio.current_time()
    if not await _send_continue(connection):
        return None
    parts = []
    n_bytes = 0
    while True:
        event = await _read_event(connection, limits.idle_s)
        if not isinstance(event, h11.Data):
            break
        parts.append(bytes(event.data))
        n_bytes += len(event.data)
        if n_bytes > limits.body_bytes:
            await _reject(connection, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
            return None
    if event is _TIMED_OUT:
        await _reject(connection, HTTPStatus.REQUEST_TIMEOUT)
    if not isinstance(event, h11.EndOfMessage):
        return None
    return ClientRequest(
        bytes(head.method),
        bytes(head.target),
        list(head.headers),
        b''.join(parts),
        arrived_s,
    )


async def _send_continue(connection: _Connection) -> bool:
    """Tell a client that waits for it to send its body."""
    if not connection.parser.they_are_waiting_for_100_continue:
        return True
    go_on = h11.InformationalResponse(
        status_code=HTTPStatus.CONTINUE, headers=[]
    )
    try:
        await connection.stream.send_all(connection.parser.send(go_on) or b'')
    except _CONNECTION_ERRORS:
        return False
    return True


async def _read_event(connection: _Connection, timeout_s: float) -> Any:
    """Read the next event of the protocol, or tell that none came in time."""
    with trio.move_on_after(timeout_s):
        return await _next_event(connection, connection.parser.next_event)
    return _TIMED_OUT


async def _next_event(connection: _Connection, read: Callable[[], Any]) -> Any:
    while True:
        event = read()
        if event is not h11.NEED_DATA:
            return event
        try:
            received = await connection.stream.receive_some(_READ_BYTES)
        except _CONNECTION_ERRORS:
            return None
        connection.parser.receive_data(received)


def _has_bytes(connection: _Connection) -> bool:
    rest, _is_ended = connection.parser.trailing_data
    return bool(rest)


async def _wait_for_bytes(
    handlers: ConnectionHandlers, connection: _Connection, idle_s: float
) -> bool:
    """Wait for the first bytes of a request; False when none come."""
    received = b''
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on, handlers.closing, nursery.cancel_scope)
        with trio.move_on_after(idle_s):
            try:
                received = await connection.stream.receive_some(_READ_BYTES)
            except _CONNECTION_ERRORS:
                received = b''
        nursery.cancel_scope.cancel()
    if received:
        connection.parser.receive_data(received)
    return bool(received)


async def _cancel_on(event: trio.Event, scope: trio.CancelScope) -> None:
    await event.wait()
    scope.cancel()


async def _reject(connection: _Connection, status: int) -> None:
    """Answer a request that breaks a limit, and close."""
    if connection.parser.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
        return
    exchange = ClientExchange(connection.stream, connection.parser, True)
    await exchange.answer(status, [], b'')


async def _close_gracefully(connection: _Connection) -> None:
    """Read on for a moment, so that the last answer is not reset."""
    if connection.stream.socket.fileno() < 0:
        return
    try:
        await connection.stream.send_eof()
        with trio.move_on_after(_CLOSE_WAIT_S):
            while await connection.stream.receive_some(_READ_BYTES):
                await trio.lowlevel.checkpoint()
    except _CONNECTION_ERRORS:
        return
