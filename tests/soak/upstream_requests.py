"""Serves the connections of an upstream of a soak run."""

import asyncio
import time
from dataclasses import dataclass

from tests.soak.links import Link, abort
from tests.soak.record import Arrival
from tests.soak.scene import FIRST_LARGE, Scene
from tests.soak.stand_ins import Message, encode_response, read_head
from tests.soak.upstreams import Upstream, crash, forget, silence_link

__all__ = ('serve_connection',)

_PLAIN_BODY = b'x' * 800
_LARGE_COPIES = 500


@dataclass(slots=True, frozen=True)
class _Connection:
    """A connection to one process of an upstream."""

    scene: Scene
    upstream: Upstream
    process: str
    node: str
    connected_s: float
    reader: asyncio.StreamReader
    link: Link


@dataclass(slots=True)
class _Exchange:
    """A request at an upstream.

    Attributes:
        connection: Where it came from.
        request: What was read.
        arrival: Its entry in the record.
        is_late: Whether its time was up before its end.
    """

    connection: _Connection
    request: Message
    arrival: Arrival
    is_late: bool = False

    @property
    def upstream(self) -> Upstream:
        """Return the upstream."""
        return self.connection.upstream


async def serve_connection(
    scene: Scene,
    upstream: Upstream,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    peer = writer.get_extra_info('peername')
    connection = _Connection(
        scene=scene,
        upstream=upstream,
        process=upstream.process,
        node=scene.find_sender(peer, (upstream.host, upstream.port)),
        connected_s=time.monotonic(),
        reader=reader,
        link=Link(writer),
    )
    if not upstream.is_up:
        await _end_at_once(scene, writer)
        return
    upstream.writers.add(writer)
    upstream.links.add(connection.link)
    silence_link(upstream, connection.link)
    if not upstream.running.is_set():
        writer.transport.pause_reading()
    try:
        await _serve_requests(connection)
    except (ConnectionError, asyncio.IncompleteReadError):
        return
    finally:
        forget(upstream, connection.link)
        writer.close()


async def _end_at_once(scene: Scene, writer: asyncio.StreamWriter) -> None:
    """End a connection that is accepted in place of a crashed upstream."""
    await asyncio.sleep(scene.crash_rng.choice((0, 0, 0.2, 2)))
    writer.transport.abort()


async def _serve_requests(connection: _Connection) -> None:
    upstream, reader = connection.upstream, connection.reader
    while True:
        request = await read_head(reader)
        await upstream.running.wait()
        is_same = upstream.process == connection.process
        if request is None or not is_same or not upstream.is_up:
            return
        if not request.headers.get('x-request-id'):
            _answer_own(upstream, request, connection.link)
            continue
        arrival = _note_arrival(connection, request)
        length = int(request.headers.get('content-length', 0))
        request.body = await reader.readexactly(length)
        await _work_off(_Exchange(connection, request, arrival))


def _note_arrival(connection: _Connection, request: Message) -> Arrival:
    deadline_ms = request.headers.get('x-deadline-ms')
    arrival = Arrival(
        request_id=request.headers['x-request-id'],
        upstream=connection.process,
        service=connection.upstream.service,
        node=connection.node,
        read_s=time.monotonic(),
        connected_s=connection.connected_s,
        deadline_s=None if deadline_ms is None else int(deadline_ms) / 1000,
    )
    connection.scene.run.arrivals.append(arrival)
    return arrival


def _answer_own(upstream: Upstream, request: Message, link: Link) -> None:
    """Answer a health check or a report."""
    if request.start[1] != '/health':
        link.write(encode_response(404, {}))
        return
    headers = {'X-Instance-Id': upstream.upstream_id}
    link.write(encode_response(200, headers, b'{}'))


async def _work_off(exchange: _Exchange) -> None:
    """Run a request until it ends, its time is up, or the node closes."""
    upstream, connection = exchange.upstream, exchange.connection
    expected = exchange.request.headers.get('x-expect-instance')
    if expected not in (None, upstream.upstream_id):
        _reject(exchange, 421)
        return
    if upstream.n_present >= upstream.slots + upstream.queue:
        _reject(exchange, 503)
        return
    upstream.n_present += 1
    work = asyncio.create_task(_run(exchange))
    closed = asyncio.create_task(connection.reader.read(1))
    try:
        await _await_either(exchange, work, closed)
    finally:
        await _stop(work, closed)
        _note_end(exchange)
    if exchange.is_late:
        _answer_late(exchange)


def _note_end(exchange: _Exchange) -> None:
    exchange.arrival.ended_s = time.monotonic()
    if exchange.upstream.process == exchange.connection.process:
        exchange.upstream.n_present -= 1


async def _await_either(
    exchange: _Exchange, work: asyncio.Task, closed: asyncio.Task
) -> None:
    """Wait for the end of the work, of the connection, or of the time."""
    arrival, connection = exchange.arrival, exchange.connection
    await asyncio.wait(
        {work, closed},
        timeout=arrival.deadline_s,
        return_when=asyncio.FIRST_COMPLETED,
    )
    if work.done():
        return
    if closed.done():
        arrival.is_cut = connection.link.writer in exchange.upstream.writers
        return
    await exchange.upstream.running.wait()
    exchange.is_late = not work.done()


async def _stop(*tasks: asyncio.Task) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _answer_late(exchange: _Exchange) -> None:
    """Answer a request whose time is up."""
    if exchange.arrival.began_s == 0:
        _reject(exchange, 503)
    elif exchange.upstream.n_events:
        abort(exchange.connection.link)
    else:
        headers = _make_headers(exchange)
        exchange.connection.link.write(encode_response(504, headers))


def _reject(exchange: _Exchange, status: int) -> None:
    exchange.arrival.is_rejected = True
    exchange.arrival.ended_s = time.monotonic()
    headers = {
        'X-Request-Id': exchange.arrival.request_id,
        'X-Not-Executed': '1',
        'X-Instance-Id': exchange.upstream.upstream_id,
    }
    exchange.connection.link.write(encode_response(status, headers))


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
        body = _PLAIN_BODY * _count_copies(exchange)
        exchange.connection.link.write(encode_response(200, headers, body))
        await exchange.connection.link.drain()


def _count_copies(exchange: _Exchange) -> int:
    """Return by how many times its response is larger than usual."""
    number = exchange.request.start[1].rpartition('/')[2]
    is_large = number.isdecimal() and int(number) >= FIRST_LARGE
    return _LARGE_COPIES if is_large else 1


async def _crash_if_meant(exchange: _Exchange) -> bool:
    """Crash on a request, or on a part once its answer would begin."""
    scene, upstream = exchange.connection.scene, exchange.upstream
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
    process = exchange.connection.process
    return {
        'X-Request-Id': request_id,
        'X-Response-Signature': f'sig.{process}.{request_id}',
    }


async def _stream(exchange: _Exchange) -> None:
    """Write the events after the one that the request has."""
    upstream, link = exchange.upstream, exchange.connection.link
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
    link.write(head.encode('latin-1'))
    text = 't' * 40 * _count_copies(exchange)
    for number in range(first, upstream.n_events + 1):
        await asyncio.sleep(pause_s)
        await upstream.running.wait()
        event = f'id: {number}\ndata: {text}\n\n'.encode()
        link.write(b'%x\r\n%s\r\n' % (len(event), event))
        await link.drain()
    link.write(b'0\r\n\r\n')
    await link.drain()
