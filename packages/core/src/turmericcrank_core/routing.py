"""Finds the route of a request and the team that owns its API key.

A route table is one revision of the operators' configuration, indexed for
lookups. Tables are immutable; a newer revision replaces the whole table.
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
    """Kind of call, which decides whether a request may be retried."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    stream = 'stream'


@dataclass(slots=True, frozen=True)
class ServiceShare:
    """A service of a route and its relative weight."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class ForwardRoute:
    """One route of the operators' configuration.

    Attributes:
        name: Name of the row in the configuration table.
        host: Host that the route matches.
        prefix: Path prefix that the route matches; ends with a slash.
        kind: Kind of call, which decides whether it may be retried.
        timeout_s: Maximum time that a client waits for the response, in
            seconds.
        objective_s: Latency objective, in seconds; for a stream, the time to
            its first event.
        priority: Priority of the route; 0 is served first.
        max_attempts: Maximum number of upstreams that may run one request.
        is_public: Whether requests are accepted without an API key.
        is_resumable: Whether a stream may be resumed at another upstream.
        shares: Services and their weights.
        models: Models that may answer, smallest first; empty if the client
            names the model.
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
        """Whether a request may run more than once."""
        if self.kind is CallKind.stream:
            return self.is_resumable
        return self.kind is CallKind.idempotent


@dataclass(slots=True, frozen=True)
class Team:
    """A team that is allowed to send requests.

    Attributes:
        name: Name of the team.
        priority: Overrides the priority of the route; None to use the
            route's.
    """

    name: str
    priority: int | None = None


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Size and time limits for client connections.

    Attributes:
        header_bytes: Maximum size of a request head, in bytes.
        body_bytes: Maximum size of a request body, in bytes.
        header_s: Timeout for receiving a request head, in seconds.
        idle_s: Idle timeout of a connection, in seconds.
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
        routes_by_host: Routes of each host, longest prefix first.
        teams_by_key: Teams by API key; None if no key is required.
        limits: Limits for client connections.
    """

    revision: int
    routes_by_host: Mapping[str, tuple[ForwardRoute, ...]]
    teams_by_key: Mapping[str, Team] | None
    limits: ClientLimits = ClientLimits()


def index_routes(
    routes: list[ForwardRoute],
) -> dict[str, tuple[ForwardRoute, ...]]:
    """Group routes by host, longest prefix first."""
    by_host: dict[str, list[ForwardRoute]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(host_routes, key=_prefix_length, reverse=True))
        for host, host_routes in by_host.items()
    }


def find_route(table: RouteTable, host: str, path: str) -> ForwardRoute | None:
    """Find the route with the longest prefix that matches the path."""
    host_routes = table.routes_by_host.get(host, ())
    matches = (route for route in host_routes if path.startswith(route.prefix))
    return next(matches, None)


def find_team(
    table: RouteTable, route: ForwardRoute, api_key: str
) -> Team | None:
    """Find the team that owns an API key.

    Returns:
        The team; a team with an empty name if no key is required; None if
        the route requires a key and this one is unknown.
    """
    if table.teams_by_key is None:
        return Team('')
    team = table.teams_by_key.get(api_key)
    if team is None and route.is_public:
        return Team('')
    return team


def choose_service(route: ForwardRoute, key: str) -> str:
    """Choose a service by weight; equal keys always get the same service.

    Args:
        route: Route of the request.
        key: Affinity key: the session, or the request if there is none.
    """
    total = sum(share.weight for share in route.shares)
    point = hash_uniform(f'{route.name}/{key}') * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def hash_uniform(text: str) -> float:
    """Hash a text to a number in [0, 1) that is the same on every node."""
    return math.ldexp(xxhash.xxh3_64_intdigest(text.encode()), -_HASH_BITS)


def _prefix_length(route: ForwardRoute) -> int:
    return len(route.prefix)
