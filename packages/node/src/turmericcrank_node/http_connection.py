"""HTTP/1.1 connections on trio, parsed by h11.

Failures are returned as values, not raised, so that callers handle each way
in which a connection can end: a complete message, an orderly close within a
message, a reset, or bytes that are not HTTP.
"""

import enum
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any, Protocol

import h11
import trio
from turmericcrank_core.inbound import (
    ByteHold,
    hold_bytes,
    release_hold,
)
from turmericcrank_core.response_heads import (
    FoldedLineError,
    check_lines,
    is_valid_status,
)

from turmericcrank_node.connection_end import CheckedStream
from turmericcrank_node.socket_options import (
    UPSTREAM_KEEPALIVE,
    set_socket_options,
)

__all__ = (
    'CONNECTION_ERRORS',
    'MAX_COPIED_BYTES',
    'ByteStream',
    'ConnectFault',
    'Headers',
    'ReadFault',
    'ResponseHead',
    'UpstreamConnection',
    'connect_upstream',
    'encode_request',
    'find_header',
    'is_success',
    'read_body',
    'read_body_part',
    'read_response_head',
    'send_request',
)

Headers = list[tuple[bytes, bytes]]

# What a lost connection raises.
CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)

_READ_BYTES = 65536
# Fewer bytes, since an event of a stream may have two of them.
_EVENT_READ_BYTES = 8192
_MAX_HEAD_BYTES = 65536
# Smaller bodies are sent with the head, in one segment or a few.
MAX_COPIED_BYTES = 65536
_MAX_INTERIM_HEADS = 16


class ConnectFault(enum.StrEnum):
    """Reason why a connection failed; no request was sent.

    Attributes:
        refused: The upstream refused it.
        timed_out: The upstream did not respond.
        unreachable: The operating system has no connection or no route.
        no_path: This node is cut off from all upstreams, and no peer helped.
    """

    refused = 'refused'
    timed_out = 'timed out'
    unreachable = 'unreachable'
    no_path = 'no path to any upstream'


class ReadFault(enum.StrEnum):
    """Reason why a message is incomplete."""

    reset = 'reset'
    ended_early = 'ended early'
    not_http = 'not HTTP'
    too_large = 'too large'
    no_room = 'no room in memory'


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """Status line and headers of a response."""

    status: int
    headers: Headers


class ByteStream(Protocol):
    """What a connection needs of its socket stream or tunnel."""

    @property
    def socket(self) -> Any:
        """Return the socket."""

    async def send_all(self, raw: bytes) -> None:
        """Send bytes."""

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive bytes; empty once the other end has closed."""


@dataclass(slots=True)
class UpstreamConnection:
    """A connection to an upstream, used for a single request.

    Attributes:
        stream: Socket of the connection, or tunnel through a peer.
        tunnel_peer: Id of that peer; empty for a direct connection.
        parser: HTTP protocol state of the connection.
    """

    stream: ByteStream
    tunnel_peer: str = ''
    parser: h11.Connection = field(
        default_factory=lambda: h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
    )

    def abort(self) -> None:
        """Close immediately, so that the upstream stops processing."""
        self.stream.socket.close()


async def connect_upstream(
    host: str, port: int, timeout_s: float
) -> UpstreamConnection | ConnectFault:
    """Open a connection to an upstream.

    Args:
        host: IP address.
        port: TCP port.
        timeout_s: Connect timeout, in seconds.
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
    return UpstreamConnection(CheckedStream(trio.SocketStream(sock)))


def encode_request(
    connection: UpstreamConnection,
    method: bytes,
    target: bytes,
    headers: Headers,
    body: bytes | bytearray,
) -> list[bytes | bytearray]:
    """Encode a request before anything is read; don't copy a large body."""
    parser = connection.parser
    request = h11.Request(method=method, target=target, headers=headers)
    parts = [parser.send(request) or b'']
    if body:
        parts += parser.send_with_data_passthrough(h11.Data(data=body)) or ()
    parts.append(parser.send(h11.EndOfMessage()) or b'')
    return [b''.join(parts)] if len(body) <= MAX_COPIED_BYTES else parts


async def send_request(
    connection: UpstreamConnection, parts: list[bytes | bytearray]
) -> None:
    """Send an encoded request.

    An upstream may respond without reading the request to its end, so a failed
    write is no fault by itself. Reading tells if the connection broke, see
    ``CheckedStream``.
    """
    try:
        for part in filter(None, parts):
            await connection.stream.send_all(part)
    except CONNECTION_ERRORS:
        return


async def read_response_head(
    connection: UpstreamConnection,
) -> ResponseHead | ReadFault:
    """Read the head of the final response; skip a few interim responses."""
    for _number in range(_MAX_INTERIM_HEADS + 1):
        event = await _next_event(connection, _EVENT_READ_BYTES)
        if isinstance(event, ReadFault):
            return event
        if isinstance(event, h11.Response):
            return _check_head(event)
        if not isinstance(event, h11.InformationalResponse):
            return ReadFault.ended_early
    return ReadFault.too_large


def _check_head(response: h11.Response) -> ResponseHead | ReadFault:
    if not is_valid_status(response.status_code):
        return ReadFault.not_http
    return ResponseHead(response.status_code, list(response.headers))


async def read_body_part(
    connection: UpstreamConnection, read_bytes: int = _EVENT_READ_BYTES
) -> bytes | ReadFault | None:
    """Read the next part of the body; None at its end.

    Args:
        connection: Connection whose response head has been read.
        read_bytes: Most bytes to receive at a time.
    """
    event = await _next_event(connection, read_bytes)
    if isinstance(event, ReadFault):
        return event
    if isinstance(event, h11.Data):
        return bytes(event.data)
    if isinstance(event, h11.EndOfMessage):
        return None
    return ReadFault.ended_early


async def read_body(
    connection: UpstreamConnection,
    max_bytes: int,
    hold: ByteHold | None = None,
) -> bytes | bytearray | ReadFault:
    """Read the complete body.

    Args:
        connection: Connection whose response head has been read.
        max_bytes: Most bytes of a body.
        hold: Memory that the body takes, released if it can't be read; None
            if ``max_bytes`` alone bounds it.

    Returns:
        The body, or ``too_large`` or ``no_room`` for one that is too large.
    """
    body = bytearray()
    while True:
        part = await read_body_part(connection, _READ_BYTES)
        if part is None:
            return body
        if not isinstance(part, ReadFault):
            body += part
            part = _check_size(body, max_bytes, hold)
        if isinstance(part, ReadFault):
            if hold is not None:
                release_hold(hold)
            return part


def _check_size(
    body: bytearray, max_bytes: int, hold: ByteHold | None
) -> ReadFault | None:
    if len(body) > max_bytes:
        return ReadFault.too_large
    if hold is not None and not hold_bytes(hold, len(body)):
        return ReadFault.no_room
    return None


def is_success(status: int) -> bool:
    """Return whether a status code is in the 2xx range."""
    return HTTPStatus.OK <= status < HTTPStatus.MULTIPLE_CHOICES


def find_header(headers: Headers, name: bytes) -> str:
    """Return the first header of a lower-case name; empty if missing."""
    for found, raw in headers:
        if found == name:
            return raw.decode('latin-1')
    return ''


async def _next_event(connection: UpstreamConnection, read_bytes: int) -> Any:
    """Read the next protocol event; let other tasks run in any case."""
    parser = connection.parser
    is_received = False
    while True:
        try:
            event = _parse_event(parser)
        except FoldedLineError:
            return ReadFault.not_http
        except h11.RemoteProtocolError:
            return _classify_protocol_error(parser)
        if event is not h11.NEED_DATA:
            break
        try:
            received = await connection.stream.receive_some(read_bytes)
        except CONNECTION_ERRORS:
            return ReadFault.reset
        parser.receive_data(received)
        is_received = True
    if not is_received:
        await trio.lowlevel.cancel_shielded_checkpoint()
    return event


def _parse_event(parser: h11.Connection) -> Any:
    if parser.their_state is h11.SEND_RESPONSE:
        check_lines(parser.trailing_data[0])
    return parser.next_event()


def _classify_protocol_error(parser: h11.Connection) -> ReadFault:
    """Distinguish an early end of the connection from invalid HTTP."""
    _rest, is_ended = parser.trailing_data
    return ReadFault.ended_early if is_ended else ReadFault.not_http
