"""Upstreams of a soak run, in the soak's own process."""

import asyncio
import json
import socket
import struct
import time
from dataclasses import dataclass, field

from tests.soak.record import Arrival, UpstreamEvent, UpstreamEventKind
from tests.soak.scene import Scene
from tests.soak.stand_ins import Message, encode_response, read_head

__all__ = (
    'Upstream',
    'crash',
    'pause',
    'reset',
    'start_upstream',
)

_READ_LIMIT_BYTES = 1 << 20
_EXPIRY_S = 3.6
_LINGER_NOT = struct.pack('ii', 1, 0)
_PLAIN_BODY = b'x' * 800


@dataclass(slots=True)
class Upstream:
    """An upstream and its present process.

    Attributes:
        name: Its name, which stays.
        service: Its service.
        data_centre: Where it is.
        host: Its address.
        port: Its port.
        slots: Requests that it runs at the same time.
        queue: Requests that it queues besides.
        work_s: Time that a request takes.
        n_events: Events of a stream; 0 for a plain response.
        process: Name of its present process; new at each start.
        upstream_id: Id under which it is registered.
        born_ms: When its present process started, in Unix ms.
        n_starts: Starts so far.
        is_up: Whether it listens.
        running: Unset while it is paused.
        places: Its slots.
        n_present: Requests that run or wait.
        server: Its server.
        writers: Its connections.
    """

    name: str
    service: str
    data_centre: str
    host: str
    port: int
    slots: int
    queue: int
    work_s: float
    n_events: int = 0
    process: str = ''
    upstream_id: str = ''
    born_ms: int = 0
    n_starts: int = 0
    is_up: bool = False
    running: asyncio.Event = field(default_factory=asyncio.Event)
    places: asyncio.Semaphore = field(default_factory=asyncio.Semaphore)
    n_present: int = 0
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)


@dataclass(slots=True)
class _Exchange:
    """A request at an upstream, with its connection."""

    scene: Scene
    upstream: Upstream
    process: str
    request: Message
    arrival: Arrival
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


async def start_upstream(
    scene: Scene, upstream: Upstream, *, keeps_id: bool = False
) -> None:
    """Start an upstream under a new process name and register it."""
    upstream.n_starts += 1
    upstream.process = f'{upstream.name}.{upstream.n_starts}'
    if not keeps_id:
        upstream.upstream_id = f'i-{upstream.process}'
    upstream.born_ms = int(time.time() * 1000)
    upstream.running.set()
    upstream.places = asyncio.Semaphore(upstream.slots)
    upstream.n_present = 0

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _serve_connection(scene, upstream, reader, writer)

    upstream.server = await asyncio.start_server(
        serve,
        upstream.host,
        upstream.port,
        limit=_READ_LIMIT_BYTES,
        backlog=256,
    )
    upstream.is_up = True
    _note(scene, upstream, UpstreamEventKind.started)
    while scene.store.is_away:
        await asyncio.sleep(0.05)
    scene.store.put('servers', upstream.upstream_id, _make_entry(upstream))


async def pause(scene: Scene, upstream: Upstream, seconds: float) -> None:
    """Neither read nor respond for some time; connections are accepted."""
    if not upstream.is_up or not upstream.running.is_set():
        return
    process = upstream.process
    upstream.running.clear()
    _note(scene, upstream, UpstreamEventKind.paused)
    for writer in upstream.writers:
        writer.transport.pause_reading()
    await asyncio.sleep(seconds)
    if upstream.process != process or upstream.running.is_set():
        return
    _note(scene, upstream, UpstreamEventKind.resumed)
    upstream.running.set()
    for writer in upstream.writers:
        if not writer.transport.is_closing():
            writer.transport.resume_reading()


def reset(scene: Scene, upstream: Upstream) -> None:
    """Reset all connections."""
    if upstream.is_up:
        _note(scene, upstream, UpstreamEventKind.reset)
        _abort_all(upstream, with_reset=True)


async def crash(
    scene: Scene,
    upstream: Upstream,
    away_s: float,
    *,
    crash_key: str = '',
    keeps_id: bool = False,
) -> None:
    """End the process of an upstream; start it again some seconds later."""
    if not upstream.is_up:
        return
    upstream.is_up = False
    _note(scene, upstream, UpstreamEventKind.crashed, crash_key)
    upstream.server.close()
    _abort_all(upstream, with_reset=False)
    upstream.running.set()
    scene.start_task(
        _expire(scene, upstream, upstream.process, upstream.upstream_id)
    )
    await asyncio.sleep(away_s)
    await start_upstream(scene, upstream, keeps_id=keeps_id)


async def _expire(
    scene: Scene, upstream: Upstream, process: str, upstream_id: str
) -> None:
    """Remove the entry of a crashed process, unless its id is used again."""
    await asyncio.sleep(_EXPIRY_S)
    while scene.store.is_away:
        await asyncio.sleep(0.05)
    is_again = upstream.upstream_id == upstream_id
    if upstream.process == process or not is_again:
        scene.store.delete('servers', upstream_id)


def _abort_all(upstream: Upstream, *, with_reset: bool) -> None:
    aborted = list(upstream.writers)
    upstream.writers.clear()
    for writer in aborted:
        if with_reset:
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NOT
            )
        writer.transport.abort()


def _note(
    scene: Scene,
    upstream: Upstream,
    kind: UpstreamEventKind,
    crash_key: str = '',
) -> None:
    scene.run.upstream_events.append(
        UpstreamEvent(time.monotonic(), upstream.process, kind, crash_key)
    )


def _make_entry(upstream: Upstream) -> dict[str, object]:
    return {
        'service': upstream.service,
        'address': f'{upstream.host}:{upstream.port}',
        'zone': upstream.data_centre,
        'version': 'v1',
        'slots': upstream.slots,
        'state': 'ready',
        'cold-left-ms': 0,
        'seq': 1,
        'born': upstream.born_ms,
    }


async def _serve_connection(
    scene: Scene,
    upstream: Upstream,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    connected_s = time.monotonic()
    process = upstream.process
    peer = writer.get_extra_info('peername')
    node = scene.find_sender(peer, (upstream.host, upstream.port))
    upstream.writers.add(writer)
    if not upstream.running.is_set():
        writer.transport.pause_reading()
    try:
        while (request := await read_head(reader)) is not None:
            await upstream.running.wait()
            if upstream.process != process or not upstream.is_up:
                break
            if not request.headers.get('x-request-id'):
                _answer_own(upstream, request, writer)
                continue
            arrival = _note_arrival(scene, upstream, request)
            arrival.connected_s, arrival.node = connected_s, node
            length = int(request.headers.get('content-length', 0))
            request.body = await reader.readexactly(length)
            exchange = _Exchange(
                scene, upstream, process, request, arrival, reader, writer
            )
            await _handle(exchange)
    except (ConnectionError, asyncio.IncompleteReadError):
        return
    finally:
        upstream.writers.discard(writer)
        writer.close()


def _note_arrival(
    scene: Scene, upstream: Upstream, request: Message
) -> Arrival:
    deadline_ms = request.headers.get('x-deadline-ms')
    arrival = Arrival(
        request_id=request.headers['x-request-id'],
        upstream=upstream.process,
        service=upstream.service,
        node='',
        read_s=time.monotonic(),
        connected_s=0,
        deadline_s=None if deadline_ms is None else int(deadline_ms) / 1000,
    )
    scene.run.arrivals.append(arrival)
    return arrival


def _answer_own(
    upstream: Upstream, request: Message, writer: asyncio.StreamWriter
) -> None:
    """Answer a health check or a report."""
    if request.start[1] != '/health':
        writer.write(encode_response(404, {}))
        return
    headers = {'X-Instance-Id': upstream.upstream_id}
    writer.write(encode_response(200, headers, json.dumps({}).encode()))


async def _handle(exchange: _Exchange) -> None:
    """Run a request until it ends, its time is up, or the node closes."""
    upstream, arrival = exchange.upstream, exchange.arrival
    expected = exchange.request.headers.get('x-expect-instance')
    if expected not in (None, upstream.upstream_id):
        _reject(exchange, 421)
        return
    if upstream.n_present >= upstream.slots + upstream.queue:
        _reject(exchange, 503)
        return
    upstream.n_present += 1
    work = asyncio.create_task(_run(exchange))
    closed = asyncio.create_task(exchange.reader.read(1))
    try:
        await asyncio.wait(
            {work, closed},
            timeout=arrival.deadline_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        is_open = exchange.writer in upstream.writers
        arrival.is_cut = closed.done() and not work.done() and is_open
        if not work.done() and not closed.done():
            await _wait_while_paused(exchange)
    finally:
        is_late = not work.done() and not closed.done()
        for task in (work, closed):
            task.cancel()
        await asyncio.gather(work, closed, return_exceptions=True)
        if upstream.process == exchange.process:
            upstream.n_present -= 1
        arrival.ended_s = time.monotonic()
    if is_late:
        await _answer_late(exchange)


async def _wait_while_paused(exchange: _Exchange) -> None:
    """Wait until the upstream goes on, or has crashed."""
    await exchange.upstream.running.wait()


async def _answer_late(exchange: _Exchange) -> None:
    """Answer a request whose time is up."""
    if not exchange.arrival.began_s:
        _reject(exchange, 503)
    elif exchange.upstream.n_events:
        exchange.writer.transport.abort()
    else:
        headers = _make_headers(exchange)
        exchange.writer.write(encode_response(504, headers))


def _reject(exchange: _Exchange, status: int) -> None:
    exchange.arrival.is_rejected = True
    exchange.arrival.ended_s = time.monotonic()
    headers = {
        'X-Request-Id': exchange.arrival.request_id,
        'X-Not-Executed': '1',
        'X-Instance-Id': exchange.upstream.upstream_id,
    }
    exchange.writer.write(encode_response(status, headers))


async def _run(exchange: _Exchange) -> None:
    """Wait for a slot and answer."""
    upstream = exchange.upstream
    async with upstream.places:
        await upstream.running.wait()
        exchange.arrival.began_s = time.monotonic()
        if await _crash_if_meant(exchange):
            return
        if upstream.n_events:
            await _stream(exchange)
            return
        await asyncio.sleep(upstream.work_s)
        await upstream.running.wait()
        headers = _make_headers(exchange)
        exchange.writer.write(encode_response(200, headers, _PLAIN_BODY))
        await exchange.writer.drain()


async def _crash_if_meant(exchange: _Exchange) -> bool:
    """Crash on a request, or on a part once its answer would begin."""
    scene, upstream = exchange.scene, exchange.upstream
    prefix = exchange.request.headers.get('x-prompt-prefix', '')
    parts = [part.partition(':')[0] for part in prefix.split(',')][:-1]
    for cause in scene.causes:
        if cause.part in parts or (
            cause.body and cause.body == exchange.request.body
        ):
            await asyncio.sleep(upstream.work_s / 4)
            await upstream.running.wait()
            away_s = scene.crash_rng.uniform(2, 4)
            keeps_id = scene.crash_rng.random() < 0.2
            scene.start_task(
                crash(
                    scene,
                    upstream,
                    away_s,
                    crash_key=cause.key,
                    keeps_id=keeps_id,
                )
            )
            return True
    return False


def _make_headers(exchange: _Exchange) -> dict[str, str]:
    request_id = exchange.arrival.request_id
    return {
        'X-Request-Id': request_id,
        'X-Response-Signature': f'sig.{exchange.process}.{request_id}',
    }


async def _stream(exchange: _Exchange) -> None:
    """Write the events after the one that the request has."""
    upstream, writer = exchange.upstream, exchange.writer
    headers = {
        **_make_headers(exchange),
        'Content-Type': 'text/event-stream',
        'Transfer-Encoding': 'chunked',
        'X-Weight-Versions': '1',
    }
    lines = [f'{name}: {text}' for name, text in headers.items()]
    first = int(exchange.request.headers.get('last-event-id') or 0) + 1
    pause_s = upstream.work_s / upstream.n_events
    await asyncio.sleep(pause_s)
    await upstream.running.wait()
    head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, '', ''])
    writer.write(head.encode('latin-1'))
    for number in range(first, upstream.n_events + 1):
        await asyncio.sleep(pause_s)
        await upstream.running.wait()
        event = f'id: {number}\ndata: {"t" * 40}\n\n'.encode()
        writer.write(b'%x\r\n%s\r\n' % (len(event), event))
        await writer.drain()
    writer.write(b'0\r\n\r\n')
    await writer.drain()
