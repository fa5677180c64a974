"""Clients of a soak run."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field

from tests.soak.client_connections import (
    ClientConnection,
    Outcome,
    close,
    send,
)
from tests.soak.record import ClientRequest, Ending, RouteKind
from tests.soak.scene import (
    FIRST_LARGE,
    HOST_NAME,
    N_GROUPS,
    CrashCause,
    Scene,
    make_key,
    make_request_id,
    pick_team,
)
from tests.soak.stand_ins import Directory

__all__ = ('play_cause', 'play_client')

_NOT_REPEATED = frozenset((400, 401, 404, 413, 431))
_PROMISES = frozenset((408, 421, 429, 503))
_MAX_REPEATS = 3
_MAX_HASTY_REPEATS = 8
_REPEAT_PAUSE_S = 0.1
_LONG_IDLE_SHARE = 0.03
_SLOW_SHARE = 0.3
_HALF_CLOSED_SHARE = 0.3
_STREAMS = frozenset((RouteKind.stream, RouteKind.resumable_stream))


@dataclass(slots=True)
class Client:
    """A client.

    Attributes:
        scene: The run.
        rng: Its choices.
        directory: Where it gets addresses.
        team: Its team.
        keeps: Whether it keeps its connection for the next request.
        obeys: Whether it leaves an address that is no longer listed.
        is_hasty: Whether it repeats at once.
        read_pause_s: Pause after each part that it reads, if it reads slowly
            and asks for large responses; otherwise 0.
        connection: Its open connection.
        failed: Addresses that have failed it.
    """

    scene: Scene
    rng: random.Random
    directory: Directory
    team: str
    keeps: bool = True
    obeys: bool = False
    is_hasty: bool = False
    read_pause_s: float = 0
    connection: ClientConnection | None = None
    failed: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Intent:
    """What a client wants, over all of its requests for it."""

    route: str
    path: str
    body: bytes
    prefix: str
    first_part: str
    until_s: float
    body_pause_s: float = 0
    crash_key: str = ''
    is_crash_part: bool = False
    last_event_id: int = 0
    n_sent: int = 0


_connections = itertools.count(1)


async def play_client(scene: Scene, number: int) -> None:
    """Send requests until cancelled."""
    rng = scene.make_rng(f'client-{number}')
    client = Client(scene, rng, _make_directory(scene, rng), pick_team(rng))
    client.keeps = rng.random() < 0.85
    client.obeys = rng.random() < 0.2
    client.is_hasty = 'hasty' in scene.options.kinds and rng.random() < 0.3
    if 'slowread' in scene.options.kinds and rng.random() < _SLOW_SHARE:
        client.read_pause_s = rng.uniform(0.002, 0.04)
    await asyncio.sleep(rng.uniform(0, scene.options.think_s))
    try:
        while not scene.is_over:
            await _pursue(client, _make_intent(client))
            await asyncio.sleep(_plan_think(scene, rng))
    finally:
        if client.connection is not None:
            close(client.connection)


async def play_cause(scene: Scene, cause: CrashCause) -> None:
    """Send requests that crash upstreams, at any node."""
    rng = scene.make_rng(cause.key)
    await asyncio.sleep(cause.begin_s)
    until_s = time.monotonic() + cause.end_s - cause.begin_s
    while time.monotonic() < until_s:
        client = Client(scene, rng, _make_directory(scene, rng), cause.team)
        client.keeps = False
        scene.start_task(_pursue(client, _make_crash_intent(client, cause)))
        await asyncio.sleep(rng.expovariate(1 / cause.period_s))


def _plan_think(scene: Scene, rng: random.Random) -> float:
    """Plan a pause; now and then about as long as connections may idle."""
    if rng.random() < _LONG_IDLE_SHARE:
        return rng.uniform(0.5, 1.1) * scene.idle_timeout_ms / 1000
    return rng.expovariate(1 / scene.options.think_s)


def _make_directory(scene: Scene, rng: random.Random) -> Directory:
    nodes = list(scene.directories)
    rng.shuffle(nodes)
    return Directory(nodes, HOST_NAME, 'bdg-a')


def _make_intent(client: Client) -> _Intent:
    rng, scene = client.rng, client.scene
    names = list(scene.routes)
    weights = [scene.routes[name].share for name in names]
    name = rng.choices(names, weights)[0]
    route = scene.routes[name]
    is_stream = route.kind in _STREAMS
    part = f'{rng.randrange(N_GROUPS):08x}'
    own = f'{rng.getrandbits(32):08x}'
    second = f'{rng.randrange(N_GROUPS) + N_GROUPS:08x}'
    prefix = f'{part}:800,{second}:200,{own}:120' if is_stream else ''
    size = 200_000 if rng.random() < 0.02 else rng.randrange(20, 1200)
    body = rng.randbytes(8).hex().encode() * (size // 16 + 1)
    if route.kind is RouteKind.idempotent:
        body = b''
    deadline_s = route.timeout_s * rng.choice((0.6, 1.2, 1.5))
    return _Intent(
        route=name,
        path=f'{route.raw["prefix"]}{_pick_number(client)}',
        body=body,
        prefix=prefix,
        first_part=part if is_stream else '',
        until_s=time.monotonic() + deadline_s,
        body_pause_s=rng.uniform(0.05, 0.4) if rng.random() < 0.08 else 0,
    )


def _pick_number(client: Client) -> int:
    """Choose what is asked for; slow readers ask for large responses."""
    number = client.rng.randrange(1000)
    return number + FIRST_LARGE if client.read_pause_s else number


def _make_crash_intent(client: Client, cause: CrashCause) -> _Intent:
    rng = client.rng
    route = client.scene.routes[cause.route]
    own = f'{rng.getrandbits(32):08x}:120'
    prefix = f'{cause.first_part}:800,{own}'
    body = cause.body
    if cause.part:
        prefix = f'{cause.first_part}:800,{cause.part}:200,{own}'
        body = rng.randbytes(40).hex().encode()
    return _Intent(
        route=cause.route,
        path=f'{route.raw["prefix"]}{cause.key[-3:]}',
        body=body,
        prefix=prefix if cause.first_part else '',
        first_part=cause.first_part,
        until_s=time.monotonic() + route.timeout_s,
        crash_key=cause.key,
        is_crash_part=bool(cause.part),
    )


async def _pursue(client: Client, intent: _Intent) -> None:
    """Send requests until one succeeds or time is up."""
    most = _MAX_HASTY_REPEATS if client.is_hasty else _MAX_REPEATS
    while True:
        request, outcome = await _send_one(client, intent)
        left_s = intent.until_s - time.monotonic()
        if left_s <= 0.05 or intent.n_sent > most or client.scene.is_over:
            return
        if not _may_repeat(client, intent, request, outcome):
            return
        await asyncio.sleep(_plan_pause(client, outcome, left_s))


def _may_repeat(
    client: Client,
    intent: _Intent,
    request: ClientRequest,
    outcome: Outcome,
) -> bool:
    """Return whether to send it again, as the page on the protocol says."""
    if request.ending is Ending.answered and 200 <= request.status < 300:
        return False
    if request.status in _NOT_REPEATED:
        return False
    if request.status in _PROMISES or request.ending is Ending.refused:
        return True
    if request.kind is RouteKind.resumable_stream:
        intent.last_event_id = max(intent.last_event_id, outcome.last_event_id)
        return True
    return request.kind is RouteKind.idempotent


def _plan_pause(client: Client, outcome: Outcome, left_s: float) -> float:
    if client.is_hasty:
        return 0
    try:
        asked_s = float(outcome.headers.get('retry-after', ''))
    except ValueError:
        asked_s = _REPEAT_PAUSE_S
    return min(asked_s, left_s / 3)


async def _send_one(
    client: Client, intent: _Intent
) -> tuple[ClientRequest, Outcome]:
    connection = await _take_connection(client)
    scene = client.scene
    route = scene.routes[intent.route]
    request = ClientRequest(
        request_id=make_request_id(client.rng),
        node=scene.node_by_address.get(connection.address, ''),
        service=route.raw['service'],
        route=intent.route,
        kind=route.kind,
        max_attempts=route.raw['max-attempts'],
        route_timeout_s=route.timeout_s,
        deadline_s=max(0.05, intent.until_s - time.monotonic()),
        connection=connection.number,
        is_kept=connection.n_requests > 0,
        began_s=time.monotonic(),
        crash_key=intent.crash_key,
        is_crash_part=intent.is_crash_part,
        is_repeat=intent.n_sent > 0,
        shared_keys=scene.find_shared_keys(client.team, intent.first_part),
    )
    intent.n_sent += 1
    scene.run.requests.append(request)
    head = _make_head(client, intent, request)
    outcome = await send(
        connection,
        request,
        head,
        intent.body,
        body_pause_s=intent.body_pause_s,
    )
    if request.ending is not Ending.answered:
        client.failed.add(connection.address)
        client.connection = None
    elif not client.keeps:
        close(connection)
        client.connection = None
    return request, outcome


def _make_head(
    client: Client, intent: _Intent, request: ClientRequest
) -> bytes:
    method = 'POST' if intent.body else 'GET'
    lines = [
        f'{method} {intent.path} HTTP/1.1',
        f'Host: {HOST_NAME}',
        f'X-Request-Id: {request.request_id}',
        f'X-Deadline-Ms: {int(request.deadline_s * 1000)}',
        f'Authorization: Bearer {make_key(client.team)}',
    ]
    if intent.prefix:
        lines += [
            'X-Model: daka510000',
            'X-Token-Usage: 1120,80',
            f'X-Prompt-Prefix: {intent.prefix}',
        ]
    if intent.last_event_id:
        lines.append(f'Last-Event-Id: {intent.last_event_id}')
    if intent.body:
        lines.append(f'Content-Length: {len(intent.body)}')
    return '\r\n'.join([*lines, '', '']).encode()


async def _take_connection(client: Client) -> ClientConnection:
    """Return the open connection, or one to another address."""
    directory = client.directory
    before_s = directory.expires_s
    if client.obeys or client.connection is None:
        await directory.refresh()
    if directory.expires_s != before_s:
        client.failed.clear()
    kept = client.connection
    if kept is not None and kept.is_usable:
        is_left = client.obeys and kept.address not in directory.addresses
        if not is_left:
            return kept
    if kept is not None:
        close(kept)
    listed = directory.addresses or list(client.scene.node_by_address)
    usable = [one for one in listed if one not in client.failed]
    address = client.rng.choice(usable or listed)
    client.connection = ClientConnection(
        next(_connections), address, read_pause_s=client.read_pause_s
    )
    if 'halfclose' in client.scene.options.kinds and not client.keeps:
        is_half_closed = client.rng.random() < _HALF_CLOSED_SHARE
        client.connection.is_half_closed = is_half_closed
    return client.connection
