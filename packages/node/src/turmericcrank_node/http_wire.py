"""HTTP/1.1 connections on trio, parsed by h11.

Both sides of a connection give outcomes as values, so that a caller sees
each way in which a connection can end: a whole message, a clean end in the
middle of one, a reset, bytes that are not HTTP.
"""

import enum
import socket
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

import h11
import trio

__all__ = (
    'CLIENT_KEEPALIVE',
    'ConnectFault',
    'Headers',
    'ReadFault',
    'ResponseHead',
    'KeepaliveLimits',
    'UpstreamConnection',
    'connect_upstream',
    'find_header',
    'is_success',
    'read_body',
    'read_body_part',
    'read_response_head',
    'set_socket_options',
    'write_request',
)

Headers = list[tuple[bytes, bytes]]

_READ_BYTES = 65536
_MAX_HEAD_BYTES = 65536
_MAX_INTERIM_HEADS = 16
_KEEPALIVE_PROBES = 2
_UPSTREAM_UNACKNOWLEDGED_MS = 3000
# A client may read slowly or be behind a full link; its deadline ends a
# request long before this does.
_CLIENT_UNACKNOWLEDGED_MS = 40_000
_CLIENT_IDLE_S = 15


@dataclass(slots=True, frozen=True)
class KeepaliveLimits:
    """How long a connection may show no sign of its other end.

    Attributes:
        unacknowledged_ms: While bytes wait there, in milliseconds.
        idle_s: Before the first probe of a quiet connection, in seconds.
        interval_s: Between two probes, in seconds.
    """

    unacknowledged_ms: int
    idle_s: int
    interval_s: int


UPSTREAM_KEEPALIVE = KeepaliveLimits(_UPSTREAM_UNACKNOWLEDGED_MS, 2, 1)
CLIENT_KEEPALIVE = KeepaliveLimits(_CLIENT_UNACKNOWLEDGED_MS, _CLIENT_IDLE_S, 5)


class ConnectFault(enum.StrEnum):
    """Why no connection was made; nothing was sent."""

    refused = 'refused'
    timed_out = 'timed out'
    unreachable = 'unreachable'


class ReadFault(enum.StrEnum):
    """Why a message is not whole."""

    reset = 'reset'
    ended_early = 'ended early'
    not_http = 'not HTTP'
    too_large = 'too large'


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """Status line and headers of a response."""

    status: int
    headers: Headers


@dataclass(slots=True)
class UpstreamConnection:
    """One connection to an upstream; it carries one exchange.

    Attributes:
        stream: The socket.
        parser: State of the protocol on it.
    """

    stream: trio.SocketStream
    parser: h11.Connection = field(
        default_factory=lambda: h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
    )

    def abort(self) -> None:
        """Close at once, so that the upstream stops its work."""
        self.stream.socket.close()


def set_socket_options(sock: Any, limits: KeepaliveLimits) -> None:
    """Set the options that show a peer that has gone silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, number in (
        (socket.TCP_USER_TIMEOUT, limits.unacknowledged_ms),
        (socket.TCP_KEEPIDLE, limits.idle_s),
        (socket.TCP_KEEPINTVL, limits.interval_s),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, number)


async def connect_upstream(
    host: str, port: int, timeout_s: float
) -> UpstreamConnection | ConnectFault:
    """Open a connection.

    Args:
        host: IP number.
        port: Port.
        timeout_s: Longest time for it, in seconds.
    """
    is_connected = False
    try:
        sock = trio.socket.socket()
    except OSError:
        return ConnectFault.unreachable
    try:
        with trio.move_on_after(timeout_s):
            await sock.connect((host, port))
            is_connected = True
    except ConnectionError:
        sock.close()
        return ConnectFault.refused
    except OSError:
        sock.close()
        return ConnectFault.unreachable
    except BaseException:
        sock.close()
        raise
    if not is_connected:
        sock.close()
        return ConnectFault.timed_out
    set_socket_options(sock, UPSTREAM_KEEPALIVE)
    return UpstreamConnection(trio.SocketStream(sock))


async def write_request(
    connection: UpstreamConnection,
    method: bytes,
    target: bytes,
    headers: Headers,
    body: bytes,
) -> bool:
    """Write a whole request; False when the upstream closed before.

    An upstream may answer before it has read the body, so a failed write
    is no reason not to read.
    """
    parser = connection.parser
    request = h11.Request(method=method, target=target, headers=headers)
    raw = parser.send(request) or b''
    if body:
        raw += parser.send(h11.Data(data=body)) or b''
    raw += parser.send(h11.EndOfMessage()) or b''
    try:
        await connection.stream.send_all(raw)
    except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        return False
    return True


async def read_response_head(
    connection: UpstreamConnection,
) -> ResponseHead | ReadFault:
    """Read the head of the final response, after a few interim ones."""
    for _number in range(_MAX_INTERIM_HEADS + 1):
        event = await _next_event(connection)
        if isinstance(event, ReadFault):
            return event
        if isinstance(event, h11.Response):
            return ResponseHead(event.status_code, list(event.headers))
        if not isinstance(event, h11.InformationalResponse):
            return ReadFault.ended_early
    return ReadFault.too_large


async def read_body_part(
    connection: UpstreamConnection,
) -> bytes | ReadFault | None:
    """Read the next bytes of the body; None at its end."""
    event = await _next_event(connection)
    if isinstance(event, ReadFault):
        return event
    if isinstance(event, h11.Data):
        return bytes(event.data)
    if isinstance(event, h11.EndOfMessage):
        return None
    return ReadFault.ended_early


async def read_body(
    connection: UpstreamConnection, max_bytes: int
) -> bytes | ReadFault:
    """Read the whole body."""
    parts = []
    n_bytes = 0
    while True:
        part = await read_body_part(connection)
        if part is None:
            return b''.join(parts)
        if isinstance(part, ReadFault):
            return part
        parts.append(part)
        n_bytes += len(part)
        if n_bytes > max_bytes:
            return ReadFault.too_large


def is_success(status: int) -> bool:
    """Tell whether a status is a success."""
    return HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES


def find_header(headers: Headers, name: bytes) -> str:
    """Find the first header of a lower-case name; empty without one."""
    for found, raw in headers:
        if found == name:
            return raw.decode('latin-1')
    return ''


async def _next_event(connection: UpstreamConnection) -> Any:
    parser = connection.parser
    while True:
        try:
            event = parser.next_event()
        except h11.RemoteProtocolError:
            return _name_protocol_fault(parser)
        if event is not h11.NEED_DATA:
            return event
        try:
            received = await connection.stream.receive_some(_READ_BYTES)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return ReadFault.reset
        parser.receive_data(received)


def _name_protocol_fault(parser: h11.Connection) -> ReadFault:
    """Tell an early end from bytes that are not HTTP."""
    _rest, is_ended = parser.trailing_data
    return ReadFault.ended_early if is_ended else ReadFault.not_http
