"""Finds the route of a request and the team that holds its key.

A route table is one revision of the operators' configuration, prepared for
look-ups. Tables are never changed; a newer revision replaces the whole.
"""

import enum
import math
from collections.abc import Mapping
from dataclasses import dataclass

import xxhash

__all__ = (
    'CallKind',
    'ClientLimits',
    'ForwardRoute',
    'RouteTable',
    'ServiceShare',
    'Team',
    'choose_service',
    'find_route',
    'find_team',
    'hash_uniform',
    'index_routes',
)

_HASH_BITS = 64


class CallKind(enum.StrEnum):
    """What may be repeated."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    stream = 'stream'


@dataclass(slots=True, frozen=True)
class ServiceShare:
    """A service of a route and its weight beside the others."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class ForwardRoute:
    """One route of the operators' table.

    Attributes:
        name: Name of the row.
        host: Host that it serves.
        prefix: Beginning of the paths that it serves; ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time that a client is kept waiting, in seconds.
        objective_s: Latency objective, in seconds; of a stream, up to its
            first event.
        priority: Rank of the route, 0 is served first.
        max_attempts: Most upstreams that may run one request.
        is_public: Whether a request needs no key.
        is_resumable: Whether a stream may go on at another upstream.
        shares: Services and their weights.
        models: Models that may answer, the smallest first; empty where the
            client names the model.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    timeout_s: float
    objective_s: float
    priority: int
    max_attempts: int
    is_public: bool
    is_resumable: bool
    shares: tuple[ServiceShare, ...]
    models: tuple[str, ...] = ()

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        if self.kind is CallKind.stream:
            return self.is_resumable
        return self.kind is CallKind.idempotent


@dataclass(slots=True, frozen=True)
class Team:
    """A team that may call.

    Attributes:
        name: Name of the team.
        priority: Rank that goes before the route's; None without one.
    """

    name: str
    priority: int | None = None


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """What a client may send, and how long it may take.

    Attributes:
        header_bytes: Most bytes of a request head.
        body_bytes: Most bytes of a request body.
        header_s: Longest time for a request head, in seconds.
        idle_s: Longest time that a connection may be idle, in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_s: float = 3
    idle_s: float = 15


@dataclass(slots=True, frozen=True)
class RouteTable:
    """One revision of the operators' configuration.

    Attributes:
        revision: Number of the revision; only a higher one replaces it.
        routes_by_host: Routes of each host, the longest prefix first.
        teams_by_key: Teams by their keys; None when no key is needed.
        limits: Limits of clients.
    """

    revision: int
    routes_by_host: Mapping[str, tuple[ForwardRoute, ...]]
    teams_by_key: Mapping[str, Team] | None
    limits: ClientLimits = ClientLimits()


def index_routes(
    routes: list[ForwardRoute],
) -> dict[str, tuple[ForwardRoute, ...]]:
    """Group routes by host, the longest prefix first."""
    by_host: dict[str, list[ForwardRoute]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(rows, key=_measure_prefix, reverse=True))
        for host, rows in by_host.items()
    }


def find_route(table: RouteTable, host: str, path: str) -> ForwardRoute | None:
    """Find the route with the longest prefix that begins the path."""
    rows = table.routes_by_host.get(host, ())
    matches = (route for route in rows if path.startswith(route.prefix))
    return next(matches, None)


def find_team(
    table: RouteTable, route: ForwardRoute, api_key: str
) -> Team | None:
    """Find the team of a key; an unnamed one where none is needed.

    Returns:
        None when the route needs a key and this one belongs to nobody.
    """
    if table.teams_by_key is None:
        return Team('')
    team = table.teams_by_key.get(api_key)
    if team is None and route.is_public:
        return Team('')
    return team


def choose_service(route: ForwardRoute, key: str) -> str:
    """Choose a service by its weight; the same key gets the same one.

    Args:
        route: Route of the request.
        key: What belongs together: a session, or else a request.
    """
    total = sum(share.weight for share in route.shares)
    point = hash_uniform(f'{route.name}/{key}') * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def hash_uniform(text: str) -> float:
    """Map a text to a number in [0, 1), the same at every node."""
    return math.ldexp(xxhash.xxh3_64_intdigest(text.encode()), -_HASH_BITS)


def _measure_prefix(route: ForwardRoute) -> int:
    return len(route.prefix)
