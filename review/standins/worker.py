"""Stand-ins for workers: of a plain service, and a model worker."""

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Any

from standins.http1 import Message, encode_response, read_message
from standins.store import Store

__all__ = ('BrittleWorker', 'ModelWorker', 'Run', 'Worker')


@dataclass(slots=True, frozen=True)
class Run:
    """A request that a worker received.

    Attributes:
        at_s: When it arrived, on the monotonic clock.
        request_id: Its id.
        path: Its path.
        tenant: Value of ``X-Tenant``.
        is_run: Whether the worker ran it.
    """

    at_s: float
    request_id: str
    path: str
    tenant: str
    is_run: bool


class Worker:
    """A worker that answers each request after a fixed time."""

    def __init__(
        self,
        store: Store,
        worker_id: str,
        service: str,
        address: tuple[str, int],
        zone: str,
        *,
        work_s: float = 0.03,
        slots: int = 6,
        version: str = 'v1',
    ) -> None:
        self.worker_id = worker_id
        self.service = service
        self.host, self.port = address
        self.runs: list[Run] = []
        self.work_s = work_s
        self.version = version
        # Share of the requests that fail.
        self.failing_share = 0.0
        self._store = store
        self._zone = zone
        self._slots = slots
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen and register in the store."""
        await self.listen()
        self.register()

    async def listen(self) -> None:
        """Listen at the worker's address."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    def register(self, state: str = 'ready') -> int:
        """Write the worker's entry; return the version of the store."""
        return self._store.put('servers', self.worker_id, self.entry(state))

    def entry(self, state: str = 'ready') -> dict[str, Any]:
        """Return the worker's entry."""
        return {
            'service': self.service,
            'address': f'{self.host}:{self.port}',
            'zone': self._zone,
            'version': self.version,
            'slots': self._slots,
            'state': state,
            'cold-left-ms': 0,
            'seq': 1,
        }

    def stop(self) -> None:
        """Stop listening and break off what runs."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                await self._handle(request, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        request_id = request.headers.get('x-request-id', '')
        expected = request.headers.get('x-expect-instance', self.worker_id)
        is_run = expected == self.worker_id
        self.runs.append(
            Run(
                time.monotonic(),
                request_id,
                request.start[1],
                request.headers.get('x-tenant', ''),
                is_run,
            )
        )
        if not is_run:
            headers = {'X-Instance-Id': self.worker_id}
            writer.write(encode_response(421, headers))
            await writer.drain()
            return
        await self.answer(request_id, writer)

    async def answer(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request and answer it."""
        await asyncio.sleep(self.work_s)
        headers = self.make_headers(request_id)
        status = 500 if random.random() < self.failing_share else 200
        writer.write(encode_response(status, headers, b'x' * 800))
        await writer.drain()

    def make_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of an answer."""
        return {
            'X-Request-Id': request_id,
            'X-Response-Signature': f'sig.{self.worker_id}.{request_id}',
        }


class ModelWorker(Worker):
    """A worker that streams events for ``work_s`` in all."""

    n_events = 24

    async def answer(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request and stream its answer."""
        headers = {
            **self.make_headers(request_id),
            'Content-Type': 'text/event-stream',
            'Transfer-Encoding': 'chunked',
            'X-Weight-Versions': '1',
        }
        lines = [f'{name}: {text}' for name, text in headers.items()]
        head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, '', ''])
        writer.write(head.encode('latin-1'))
        for number in range(1, self.n_events + 1):
            await asyncio.sleep(self.work_s / self.n_events)
            event = f'id: {number}\ndata: {"t" * 40}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()


class BrittleWorker(Worker):
    """A worker with few places; while brittle, rejections end it.

    It falls over when it has to turn more than ``max_rejected`` requests away
    in a second, and listens again ``down_s`` later.
    """

    max_rejected = 20
    down_s = 3.0
    queue = 24
    brittle_queue = 6

    def __init__(self, *args: Any, **fields: Any) -> None:
        super().__init__(*args, **fields)
        self.brittle_since_s: float | None = None
        self.contact_s = 0.0
        self.falls: list[float] = []
        self.n_rejected = 0
        self.n_broken_off = 0
        self._n_present = 0
        self._rejected: list[float] = []
        self._places = asyncio.Semaphore(self._slots)

    def make_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of an answer."""
        headers = super().make_headers(request_id)
        if self.brittle_since_s is not None:
            headers['Server-Brittle'] = str(self.max_rejected)
        return headers

    async def answer(
        self, request_id: str, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request, queue it, or turn it away."""
        if self._n_present >= self._slots + self._plan_queue():
            self._reject(request_id, writer)
            return
        self._n_present += 1
        n_falls = len(self.falls)
        try:
            async with self._places:
                await super().answer(request_id, writer)
        finally:
            self._n_present -= 1
            self.n_broken_off += len(self.falls) > n_falls

    def _plan_queue(self) -> int:
        since_s = self.brittle_since_s
        if since_s is None or time.monotonic() - since_s < self.contact_s:
            return self.queue
        return self.brittle_queue

    def _reject(self, request_id: str, writer: asyncio.StreamWriter) -> None:
        headers = self.make_headers(request_id)
        del headers['X-Response-Signature']
        headers['X-Not-Executed'] = '1'
        writer.write(encode_response(503, headers))
        now_s = time.monotonic()
        self.n_rejected += 1
        self._rejected = [at_s for at_s in self._rejected if at_s > now_s - 1]
        self._rejected.append(now_s)
        is_brittle = self._plan_queue() == self.brittle_queue
        if is_brittle and len(self._rejected) > self.max_rejected:
            self.falls.append(now_s)
            self._rejected.clear()
            self.stop()
            loop = asyncio.get_running_loop()
            loop.call_later(self.down_s, self._rise)

    def _rise(self) -> None:
        self._places = asyncio.Semaphore(self._slots)
        self._rising = asyncio.create_task(self.listen())
