"""A stand-in of an upstream that answers plain requests."""

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from standins_2.http1 import Message, encode_response, read_body, read_head
from standins_2.manifest import make_entry
from standins_2.store import Store

__all__ = ('Arrival', 'Upstream', 'sign', 'start_upstream')

_RESET = struct.pack('ii', 1, 0)
_MISDIRECTED = 421
# An entry is removed after three heartbeat intervals of silence.
EXPIRY_S = 3.6


@dataclass(slots=True)
class Arrival:
    """A request that has reached an upstream.

    Attributes:
        at_s: When its head was read, on the monotonic clock.
        upstream_id: Id of the upstream.
        request: The request.
        has_run: Whether the upstream began to work on it.
    """

    at_s: float
    upstream_id: str
    request: Message
    has_run: bool = False


Answer = Callable[['Upstream', Arrival], Awaitable[bytes | None]]


@dataclass(slots=True)
class Upstream:
    """An upstream.

    Attributes:
        store: Where it registers itself.
        service: Its service.
        zone: Its data centre.
        host: Its address.
        port: Its port.
        arrivals: All requests that have reached it or its fellows.
        answer: Makes the response; None crashes the upstream.
        version: Version of its software.
        slots: Requests that it runs at the same time.
        upstream_id: Id of its present lifetime.
        entry: Its entry in the store.
        n_starts: Lifetimes so far.
        server: Its listening socket.
        writers: Its connections.
    """

    store: Store
    service: str
    zone: str
    host: str
    port: int
    arrivals: list[Arrival]
    answer: Answer
    version: str = 'v1'
    slots: int = 6
    upstream_id: str = ''
    entry: dict = field(default_factory=dict)
    n_starts: int = 0
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen and register under a new id."""
        self.n_starts += 1
        self.upstream_id = f'i-{self.port}-{self.n_starts}'
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=256, reuse_address=True
        )
        address = f'{self.host}:{self.port}'
        self.entry = make_entry(
            self.service, address, self.zone, self.slots, self.version
        )
        await self.register()

    async def register(self) -> None:
        """Write the entry, once the store is there."""
        while self.store.is_away:
            await asyncio.sleep(0.05)
        await self.store.put('servers', self.upstream_id, self.entry)

    def crash(self) -> None:
        """Stop listening and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            sock = writer.get_extra_info('socket')
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            writer.transport.abort()
        self.writers.clear()

    async def crash_and_return(self, away_s: float) -> None:
        """Crash; start again some seconds later, under a new id."""
        if self.server is None:
            return
        lost_id = self.upstream_id
        self.crash()
        asyncio.get_running_loop().create_task(self._expire(lost_id))
        await asyncio.sleep(away_s)
        await self.start()

    async def _expire(self, upstream_id: str) -> None:
        await asyncio.sleep(EXPIRY_S)
        while self.store.is_away:
            await asyncio.sleep(0.05)
        await self.store.delete('servers', upstream_id)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                continue
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request = await read_head(reader)
        if request is None:
            return False
        await read_body(reader, request)
        arrival = Arrival(time.monotonic(), self.upstream_id, request)
        self.arrivals.append(arrival)
        raw = self._misdirect(request)
        if not raw:
            raw = await self.answer(self, arrival)
        if raw is None:
            return False
        writer.write(raw)
        await writer.drain()
        return request.headers.get('connection', '') != 'close'

    def _misdirect(self, request: Message) -> bytes:
        """Return the response to a request for another upstream."""
        expected = request.headers.get('x-expect-instance', self.upstream_id)
        if expected == self.upstream_id:
            return b''
        headers = {
            'X-Request-Id': request.headers.get('x-request-id', ''),
            'X-Not-Executed': '1',
        }
        return encode_response(_MISDIRECTED, headers)


async def start_upstream(**fields) -> Upstream:
    """Start an upstream in this process."""
    upstream = Upstream(**fields)
    await upstream.start()
    return upstream


def sign(
    request: Message, body: bytes, content_type: str = 'application/json'
) -> bytes:
    """Encode a success as an upstream sends it."""
    headers = {
        'X-Request-Id': request.headers.get('x-request-id', ''),
        'X-Response-Signature': '3e1b.07.5a2.600.0.c9f2a4d1',
        'Content-Type': content_type,
    }
    return encode_response(200, headers, body)
