"""State of client connections, and what they need of their node."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import h11
import trio
from turmericcrank_core.inbound import ByteBudget, ByteHold, ConnectionCounts
from turmericcrank_core.routing import ClientLimits

from turmericcrank_node.http_connection import Headers
from turmericcrank_node.serving.client_exchange import ClientExchange

__all__ = (
    'ClientConnection',
    'ClientRequest',
    'ConnectionHandlers',
    'record_response',
)

# Time for the first request of a connection that is opened during a drain.
_FIRST_REQUEST_S = 1
# Time for the next request of a client that does not know of a drain.
_NEXT_REQUEST_S = 0.25


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """One complete client request.

    Attributes:
        method: Request method.
        target: Request target (path and query), unchanged.
        headers: Header fields with lower-case names.
        body: Complete body; not changed once it has been read.
        arrived_s: Monotonic time at which the request head was read, in
            seconds.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | bytearray
    arrived_s: float


RequestHandler = Callable[[ClientRequest, ClientExchange], Awaitable[None]]


@dataclass(slots=True, frozen=True)
class ConnectionHandlers:
    """Callbacks into the node that serves the connection.

    Attributes:
        handle_request: Handles one request and sends its response.
        reject_body: Rejects a request whose body finds no room. The request
            has no body.
        limits: Returns the current limits for clients.
        is_closing: Returns whether the connection must close after the
            response.
        closing: Set when idle connections must be closed.
        body_budget: Room for the bodies of all connections.
        counts: Open connections of the node.
        report_discarded: Reports why an idle connection was closed, and how
            many bytes were then discarded, if any.
    """

    handle_request: RequestHandler
    reject_body: RequestHandler
    limits: Callable[[], ClientLimits]
    is_closing: Callable[[], bool]
    closing: trio.Event
    body_budget: ByteBudget
    counts: ConnectionCounts
    report_discarded: Callable[[str, int], None]


@dataclass(slots=True)
class ClientConnection:
    """State of a connection, kept across its requests.

    Attributes:
        stream: Client socket.
        parser: HTTP protocol state.
        pipelined: Bytes received while a request was being handled.
        pipelined_hold: Room for these, also once the parser has them, and
            for an incomplete head.
        reserved_bytes: Bytes that the body of the current request reserved.
        idle_end: Why the connection is closed though no request was read:
            ``drain`` or ``idle timeout``; empty in any other case.
        idle_since_s: When it was opened, or its last response was sent, on
            trio's clock.
        drain_wait_s: How long after that a drain leaves it open, in seconds.
    """

    stream: trio.SocketStream
    parser: h11.Connection
    pipelined_hold: ByteHold
    pipelined: bytearray = field(default_factory=bytearray)
    reserved_bytes: int = 0
    idle_end: str = ''
    idle_since_s: float = field(default_factory=trio.current_time)
    drain_wait_s: float = _FIRST_REQUEST_S


def record_response(connection: ClientConnection) -> None:
    """Record that a response was sent; the connection is idle from now on."""
    connection.idle_since_s = trio.current_time()
    connection.drain_wait_s = _NEXT_REQUEST_S
