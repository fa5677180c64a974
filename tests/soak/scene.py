"""What the parts of one soak run share."""

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field
from typing import Any

from tests.soak.record import NodeEvent, NodeEventKind, RouteKind, Run
from tests.soak.senders import find_inode, find_owner
from tests.soak.stand_ins import (
    HOST,
    KALENDRA_BOUNDS,
    Store,
    make_manifest,
    make_plain_route,
    make_stream_route,
)

__all__ = (
    'ALL_KINDS',
    'BOUNDS',
    'FIRST_LARGE',
    'HOST_NAME',
    'N_GROUPS',
    'CrashCause',
    'Options',
    'Scene',
    'SoakRoute',
    'TroubleKind',
    'make_key',
    'make_request_id',
    'make_routes',
    'pick_team',
)

ALL_KINDS = (
    'term',
    'hup',
    'earlyhup',
    'stop',
    'kill',
    'config',
    'pause',
    'reset',
    'crash',
    'crashrequest',
    'crashpart',
    'storeaway',
    'storeslow',
    'hasty',
    'silent',
    'accept',
    'slowread',
    'halfclose',
    'clock',
    'termall',
)
TroubleKind = str
BOUNDS = KALENDRA_BOUNDS
HOST_NAME = HOST
# Paths that end with such a number, or a higher one, get large responses.
FIRST_LARGE = 1000
# Different first parts of prompts.
N_GROUPS = 12
_TEAMS = ('hule930', 'mavo114', 'tiru527', 'sebo660')
# One kept id for all runs of a process: ids are never used twice.
_numbers = itertools.count(1)


@dataclass(slots=True, frozen=True)
class Options:
    """What a run plays.

    Attributes:
        seed: Seed of troubles and traffic.
        seconds: How long traffic lasts.
        kinds: Kinds of trouble that are played; see ``ALL_KINDS``.
        n_nodes: Nodes.
        n_clients: Clients.
        n_engines: Upstreams that stream events.
        n_plain: Upstreams that don't.
        think_s: Mean pause of a client between two requests.
        longest_pause_s: Longest pause of an upstream.
        crash_period_s: Mean time between two requests of one cause that
            crash upstreams, without repeats.
    """

    seed: int
    seconds: float = 60
    kinds: frozenset[TroubleKind] = frozenset()
    n_nodes: int = 6
    n_clients: int = 64
    n_engines: int = 10
    n_plain: int = 3
    think_s: float = 0.4
    longest_pause_s: float = 2.5
    crash_period_s: float = 0.75


@dataclass(slots=True)
class SoakRoute:
    """A route and the service that it has now.

    Attributes:
        raw: The route as it stands in the configuration.
        kind: What may be repeated.
        services: Services between which it may move.
        share: Share of the clients' requests.
        first_timeout_ms: Timeout at the begin of the run.
    """

    raw: dict[str, Any]
    kind: RouteKind
    services: tuple[str, str]
    share: float
    first_timeout_ms: int

    @property
    def timeout_s(self) -> float:
        """Return the longest time that it allows."""
        return self.raw['timeout-ms'] / 1000


@dataclass(slots=True, frozen=True)
class CrashCause:
    """Requests that crash each upstream that begins to run them.

    Attributes:
        key: Names the cause.
        part: Part of the prompt that crashes upstreams; empty if it is the
            body.
        body: Body of all of these requests; empty if it is a part.
        route: Name of their route.
        team: Team that sends them.
        first_part: First part of their prompts; empty without prompts.
        begin_s: First of them, after the begin of traffic.
        end_s: Last of them, after the begin of traffic.
        period_s: Mean time between two of them.
    """

    key: str
    part: str
    body: bytes
    route: str
    team: str
    first_part: str
    begin_s: float
    end_s: float
    period_s: float


@dataclass(slots=True)
class Scene:
    """State of a run.

    Attributes:
        options: What is played.
        run: The record.
        store: The store.
        routes: Routes by name.
        revision: Newest revision of the configuration.
        idle_timeout_ms: Idle timeout of clients' connections.
        node_by_address: Name of the node by its front address.
        directories: Addresses at which clients ask for nodes.
        causes: Requests that crash upstreams.
        tasks: Tasks to cancel at the end.
        faults: Errors of the soak itself.
        pids: Process ids of nodes by name.
        ids_by_process: Ids of upstreams by the names of their processes.
        crash_rng: Says when a crashed upstream is back.
        start_rng: Says which signals a node gets at its start and end.
        is_over: Whether clients send no further requests.
        is_closing: Whether the run is being cleared away.
    """

    options: Options
    run: Run
    store: Store
    routes: dict[str, SoakRoute]
    revision: int = 3
    idle_timeout_ms: int = 15000
    node_by_address: dict[str, str] = field(default_factory=dict)
    directories: list[str] = field(default_factory=list)
    causes: list[CrashCause] = field(default_factory=list)
    tasks: set[asyncio.Task] = field(default_factory=set)
    faults: list[str] = field(default_factory=list)
    pids: dict[str, int] = field(default_factory=dict)
    ids_by_process: dict[str, str] = field(default_factory=dict)
    crash_rng: random.Random = field(default_factory=random.Random)
    start_rng: random.Random = field(default_factory=random.Random)
    is_over: bool = False
    is_closing: bool = False

    def make_rng(self, name: str) -> random.Random:
        """Make a generator of its own for one purpose."""
        return random.Random(f'{self.options.seed}-{name}')

    def start_task(self, work: Any) -> asyncio.Task:
        """Start a task that is cancelled at the end of the run."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._finish_task)
        return task

    def note_node(self, node: str, kind: NodeEventKind, text: str = '') -> None:
        """Record what happened to a node."""
        event = NodeEvent(time.monotonic(), node, kind, text)
        self.run.node_events.append(event)

    async def write_configuration(self) -> None:
        """Write the configuration to the store, once it is there."""
        while self.store.is_away:
            await asyncio.sleep(0.05)
        routes = [route.raw for route in self.routes.values()]
        manifest = make_manifest(self.revision, routes, [])
        manifest['limits']['idle-timeout-ms'] = self.idle_timeout_ms
        manifest['tenants'] = [
            {'name': team, 'api-keys': [make_key(team)]} for team in _TEAMS
        ]
        self.store.put('op', 'config', manifest)

    def find_sender(self, near: tuple[str, int], far: tuple[str, int]) -> str:
        """Return the node that has opened a connection; empty if unknown."""
        inode = find_inode(near, far)
        return find_owner(inode, self.pids) if inode else ''

    def find_shared_keys(self, team: str, first_part: str) -> frozenset[str]:
        """Return what a request shares with those that crash upstreams."""
        shared = set()
        for cause in self.causes:
            if cause.team == team:
                shared.add(f'team:{team}')
            if cause.first_part and cause.first_part == first_part:
                shared.add(f'part:{first_part}')
        return frozenset(shared)

    def _finish_task(self, task: asyncio.Task) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.faults.append(repr(task.exception()))


def make_key(team: str) -> str:
    """Return the API key of a team."""
    return f'key{team}0000000001'


def make_request_id(rng: random.Random) -> str:
    """Make an id that no other request has."""
    return f'{rng.getrandbits(32):08x}{next(_numbers):08x}'


def pick_team(rng: random.Random) -> str:
    """Choose a team."""
    return rng.choice(_TEAMS)


def make_routes() -> dict[str, SoakRoute]:
    """Return the routes of the site by name."""
    plain, engines = ('wuno96b', 'xano55b'), ('daka51b', 'defo72b')
    raw_routes = [
        make_plain_route(plain[0], timeout_ms=1500),
        make_plain_route(
            plain[0],
            name='order-place',
            prefix='/orders/',
            kind='non_idempotent',
            timeout_ms=4000,
        ),
        {
            **make_stream_route(engines[0], timeout_ms=9000),
            'name': 'chat',
            'prefix': '/chats/',
            'resumable': False,
            'max-attempts': 1,
        },
        make_stream_route(engines[0], timeout_ms=9000),
    ]
    kinds = (
        (RouteKind.idempotent, plain, 0.3),
        (RouteKind.non_idempotent, plain, 0.2),
        (RouteKind.stream, engines, 0.2),
        (RouteKind.resumable_stream, engines, 0.3),
    )
    return {
        raw['name']: SoakRoute(raw, *kind, raw['timeout-ms'])
        for raw, kind in zip(raw_routes, kinds, strict=True)
    }
