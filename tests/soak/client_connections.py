"""Sends one request of a client and records how it ended."""

import asyncio
import socket
import time
from dataclasses import dataclass, field
from typing import Any

from tests.soak.record import ClientRequest, Ending
from tests.soak.stand_ins import Message, read_chunk, read_head

__all__ = ('ClientConnection', 'Outcome', 'close', 'send')

_CONNECT_S = 1
_GAP_S = 8
_CHUNKED = 'chunked'
_SMALL_BUFFER_BYTES = 8192


@dataclass(slots=True)
class ClientConnection:
    """A connection to a node.

    Attributes:
        number: Number of the connection in the run.
        address: Address of the node.
        reader: Its reading side; None before it is open.
        writer: Its writing side.
        n_requests: Requests that it has carried.
        read_pause_s: Pause after each part that a slow reader reads; 0 for
            one that is not slow.
        is_half_closed: Whether its client closes the sending side once it has
            sent a request.
    """

    number: int
    address: str
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None
    n_requests: int = 0
    read_pause_s: float = 0
    is_half_closed: bool = False

    @property
    def is_usable(self) -> bool:
        """Return whether it is open, as far as the client knows."""
        if self.writer is None or self.writer.is_closing():
            return False
        return not self.reader.at_eof() and self.reader.exception() is None


@dataclass(slots=True)
class Outcome:
    """What the client has read.

    Attributes:
        headers: Headers of the response.
        last_event_id: Id of the last whole event.
    """

    headers: dict[str, str] = field(default_factory=dict)
    last_event_id: int = 0


async def send(
    connection: ClientConnection,
    request: ClientRequest,
    head: bytes,
    body: bytes,
    *,
    body_pause_s: float = 0,
) -> Outcome:
    """Send a request and wait for its response, up to its deadline."""
    outcome = Outcome()
    request.began_s = time.monotonic()
    if connection.writer is None and not await _connect(connection):
        request.ending = Ending.refused
        request.ended_s = time.monotonic()
        return outcome
    request.is_kept = connection.n_requests > 0
    connection.n_requests += 1
    request.began_s = time.monotonic()
    try:
        async with asyncio.timeout(request.deadline_s):
            await _write(connection, request, head, body, body_pause_s)
            await _read(connection, request, outcome)
    except TimeoutError:
        request.ending = Ending.left
    except (OSError, ValueError, EOFError):
        # Nodes take the end of the sending side for a client that has left.
        is_left = connection.is_half_closed
        request.ending = Ending.left if is_left else Ending.broken
    if request.ending is Ending.pending:
        return outcome
    request.ended_s = time.monotonic()
    asked_close = outcome.headers.get('connection', '').lower() == 'close'
    if request.ending is not Ending.answered or asked_close:
        close(connection)
    return outcome


def close(connection: ClientConnection) -> None:
    """Close a connection."""
    if connection.writer is not None:
        connection.writer.close()


async def _connect(connection: ClientConnection) -> bool:
    host, _, port = connection.address.rpartition(':')
    try:
        async with asyncio.timeout(_CONNECT_S):
            if connection.read_pause_s:
                streams = await _connect_slowly(host, int(port))
            else:
                streams = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return False
    connection.reader = streams[0]
    connection.writer = streams[1]
    return True


async def _connect_slowly(
    host: str, port: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connect with small buffers, so that a node feels a slow reader."""
    connecting = socket.socket()
    connecting.setblocking(False)
    connecting.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
    )
    try:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connecting, (host, port))
    except BaseException:
        connecting.close()
        raise
    return await asyncio.open_connection(
        sock=connecting, limit=_SMALL_BUFFER_BYTES
    )


async def _write(
    connection: ClientConnection,
    request: ClientRequest,
    head: bytes,
    body: bytes,
    body_pause_s: float,
) -> None:
    writer = connection.writer
    if body_pause_s:
        writer.write(head + body[: len(body) // 2])
        await asyncio.sleep(body_pause_s)
        writer.write(body[len(body) // 2 :])
    else:
        writer.write(head + body)
    while writer.transport.get_write_buffer_size():
        if writer.is_closing():
            raise ConnectionResetError
        await asyncio.sleep(0.001)
    request.sent_s = time.monotonic()
    if connection.is_half_closed:
        writer.write_eof()


async def _read(
    connection: ClientConnection, request: ClientRequest, outcome: Outcome
) -> None:
    response = await read_head(connection.reader)
    if response is None:
        raise EOFError
    request.status = response.status
    outcome.headers = response.headers
    if response.headers.get('transfer-encoding', '').lower() == _CHUNKED:
        await _read_events(connection, outcome)
    else:
        await _read_body(connection, response)
    request.ending = Ending.answered


async def _read_body(connection: ClientConnection, response: Message) -> Any:
    length = response.headers.get('content-length')
    if length is not None and connection.read_pause_s:
        return await _read_slowly(connection, int(length))
    if length is not None:
        return await connection.reader.readexactly(int(length))
    return await connection.reader.read()


async def _read_slowly(connection: ClientConnection, length: int) -> int:
    n_read = 0
    while n_read < length:
        part = await connection.reader.read(
            min(_SMALL_BUFFER_BYTES, length - n_read)
        )
        if not part:
            raise EOFError
        n_read += len(part)
        await asyncio.sleep(connection.read_pause_s)
    return n_read


async def _read_events(connection: ClientConnection, outcome: Outcome) -> None:
    pending = b''
    while True:
        async with asyncio.timeout(_GAP_S):
            chunk = await read_chunk(connection.reader)
        if not chunk:
            return
        await asyncio.sleep(connection.read_pause_s)
        *events, pending = (pending + chunk).split(b'\n\n')
        for event in events:
            for line in event.split(b'\n'):
                if line.startswith(b'id:'):
                    outcome.last_event_id = int(line[3:])
