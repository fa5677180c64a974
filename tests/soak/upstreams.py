"""Upstreams of a soak run, in the soak's own process."""

import asyncio
import socket
import struct
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tests.soak.links import Link, hold, release
from tests.soak.record import UpstreamEvent, UpstreamEventKind
from tests.soak.scene import Scene

__all__ = (
    'Upstream',
    'crash',
    'forget',
    'pause',
    'reset',
    'silence',
    'silence_link',
    'start_upstream',
)

_READ_LIMIT_BYTES = 1 << 20
_EXPIRY_S = 3.6
_LISTEN_S = 3
_LINGER_NOT = struct.pack('ii', 1, 0)


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


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
        links: The same, as it writes to them.
        is_deaf: Whether nothing arrives that nodes send.
        is_mute: Whether nothing arrives that it sends.
        serve: Serves a connection.
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
    links: set[Link] = field(default_factory=set)
    is_deaf: bool = False
    is_mute: bool = False
    serve: Serve | None = None


async def start_upstream(
    scene: Scene, upstream: Upstream, *, keeps_id: bool = False
) -> None:
    """Start an upstream under a new process name and register it."""
    upstream.n_starts += 1
    upstream.process = f'{upstream.name}.{upstream.n_starts}'
    if not keeps_id:
        upstream.upstream_id = f'i-{upstream.process}'
    scene.ids_by_process[upstream.process] = upstream.upstream_id
    upstream.born_ms = int(time.time() * 1000)
    upstream.running.set()
    upstream.places = asyncio.Semaphore(upstream.slots)
    upstream.n_present = 0
    upstream.server = await _listen(upstream)
    upstream.is_up = True
    _note(scene, upstream, UpstreamEventKind.started)
    while scene.store.is_away:
        await asyncio.sleep(0.05)
    scene.store.put('servers', upstream.upstream_id, _make_entry(upstream))


async def _listen(upstream: Upstream) -> asyncio.Server:
    """Listen; another connection may hold the port as its own for a time."""
    until_s = time.monotonic() + _LISTEN_S
    while True:
        try:
            return await asyncio.start_server(
                upstream.serve,
                upstream.host,
                upstream.port,
                limit=_READ_LIMIT_BYTES,
                backlog=256,
            )
        except OSError:
            if time.monotonic() > until_s:
                raise
        await asyncio.sleep(0.05)


async def pause(scene: Scene, upstream: Upstream, seconds: float) -> None:
    """Neither read nor respond for some time; connections are accepted."""
    if not _is_whole(upstream):
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


async def silence(
    scene: Scene,
    upstream: Upstream,
    seconds: float,
    *,
    is_deaf: bool,
    is_mute: bool,
) -> None:
    """Let links be silent for some time, one way or both; it goes on."""
    if not _is_whole(upstream):
        return
    process = upstream.process
    upstream.is_deaf = is_deaf
    upstream.is_mute = is_mute
    _note(scene, upstream, UpstreamEventKind.silent)
    for link in upstream.links:
        silence_link(upstream, link)
    await asyncio.sleep(seconds)
    if upstream.process != process or not upstream.is_up:
        return
    _make_whole(upstream)
    for link in list(upstream.links):
        if not link.writer.transport.is_closing():
            link.writer.transport.resume_reading()
            release(link)
    _note(scene, upstream, UpstreamEventKind.resumed)


def silence_link(upstream: Upstream, link: Link) -> None:
    """Make a link silent as the others of its upstream are."""
    if upstream.is_deaf:
        link.writer.transport.pause_reading()
    if upstream.is_mute:
        hold(link)


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
    server = upstream.server
    accepts = 'accept' in scene.options.kinds and scene.crash_rng.random() < 0.5
    if not accepts:
        server.close()
    _abort_all(upstream, with_reset=False)
    upstream.running.set()
    _make_whole(upstream)
    scene.start_task(
        _expire(scene, upstream, upstream.process, upstream.upstream_id)
    )
    await asyncio.sleep(away_s)
    if accepts:
        server.close()
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


def forget(upstream: Upstream, link: Link) -> None:
    """Remove a connection that has ended."""
    upstream.writers.discard(link.writer)
    upstream.links.discard(link)


def _make_whole(upstream: Upstream) -> None:
    upstream.is_deaf = False
    upstream.is_mute = False


def _is_whole(upstream: Upstream) -> bool:
    """Return whether it runs, and its links are not silent."""
    if not upstream.is_up or not upstream.running.is_set():
        return False
    return not upstream.is_deaf and not upstream.is_mute


def _abort_all(upstream: Upstream, *, with_reset: bool) -> None:
    aborted = list(upstream.writers)
    upstream.writers.clear()
    for writer in aborted:
        if with_reset and not writer.transport.is_closing():
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
