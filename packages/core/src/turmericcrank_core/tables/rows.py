"""Rows of the two tables, as slotted data classes."""

import enum
from dataclasses import dataclass, field

__all__ = (
    'Pool',
    'PoolState',
    'Rollout',
    'Route',
    'RouteKind',
    'RouteObjective',
    'Tables',
    'Upstream',
)


class RouteKind(enum.StrEnum):
    """Kind of the requests of a route."""

    model = 'model'
    idempotent_service = 'idempotent_service'
    non_idempotent_service = 'non_idempotent_service'
    long_draft = 'long_draft'


class RouteObjective(enum.StrEnum):
    """Which objective a route favours."""

    cost = 'cost'
    latency = 'latency'


class PoolState(enum.StrEnum):
    """Which requests a pool accepts."""

    active = 'active'
    retiring = 'retiring'
    withdrawn = 'withdrawn'


@dataclass(slots=True, frozen=True)
class Upstream:
    """One back-end process of a pool.

    Attributes:
        upstream_id: Id, unique across all pools.
        address: ``IP:port``.
        data_centre: Data centre of the upstream.
    """

    upstream_id: str
    address: str
    data_centre: str


@dataclass(slots=True, frozen=True)
class Pool:
    """Upstreams that serve one version of one model, or one service.

    Attributes:
        name: Key of the row.
        model: Model or service name.
        version: Version name.
        upstreams_by_id: Upstreams by id.
        cost_in_microcents: Price of 1,000 input tokens, in microcents.
        cost_out_microcents: Price of 1,000 output tokens, in microcents.
        capacity: Maximum requests in progress at each upstream.
        state: Which requests the pool accepts.
        checks_fencing: Whether the upstreams reject an old fencing token.
        generation: Incremented by an operator to lift an automatic stop.
    """

    name: str
    model: str
    version: str
    upstreams_by_id: dict[str, Upstream]
    cost_in_microcents: float
    cost_out_microcents: float
    capacity: int
    state: PoolState
    checks_fencing: bool
    generation: int

    @property
    def model_version(self) -> str:
        """Return the version as ``model@version``, as clients name it."""
        return f'{self.model}@{self.version}'

    @property
    def stop_key(self) -> str:
        """Return the key under which an automatic stop is recorded.

        It includes the generation, so that a new generation is not stopped.
        """
        return f'{self.name}#{self.model_version}#{self.generation}'


@dataclass(slots=True, frozen=True)
class Rollout:
    """A gradual shift of a route's traffic from one pool to another.

    Attributes:
        pool: Pool that receives a growing share of the traffic.
        replaces: Pool whose traffic is shifted.
        percents: Traffic shares of the steps, increasing, in percent.
        step_s: Duration of one step, in seconds.
        started_s: Wall-clock start, in seconds since the epoch.
    """

    pool: str
    replaces: str
    percents: tuple[float, ...]
    step_s: float
    started_s: float


@dataclass(slots=True, frozen=True)
class Route:
    """A route, which clients request by name.

    Attributes:
        name: Key of the row.
        teams: Teams that may use the route.
        kind: Kind of the requests.
        weighs: Objective that the route favours.
        pools: Pool names from cheapest to best; a single one without a
            cascade.
        quality_target: Mean rating to reach, over 0 to 100; None when the
            route has none.
        rollout: Rollout in progress, if any.
        session_pools: Pools that only sessions already on them may use.
        session_max_s: Maximum duration of a session, in seconds; 0 for no
            sessions.
        deadline_s: Time limit for the complete response, in seconds.
        priority: 0 is served first, 9 last.
    """

    name: str
    teams: frozenset[str]
    kind: RouteKind
    weighs: RouteObjective
    pools: tuple[str, ...]
    quality_target: float | None
    rollout: Rollout | None
    session_pools: tuple[str, ...]
    session_max_s: float
    deadline_s: float
    priority: int

    @property
    def pool_names(self) -> tuple[str, ...]:
        """List all pools of the route, the rollout's pool last."""
        if self.rollout is None or self.rollout.pool in self.pools:
            return self.pools
        return (*self.pools, self.rollout.pool)

    @property
    def session_pool_names(self) -> tuple[str, ...]:
        """List all pools that an existing session may use."""
        return (*self.pool_names, *self.session_pools)


@dataclass(slots=True, frozen=True)
class Tables:
    """Both tables at one revision.

    Attributes:
        routes_by_name: Rows of the table of routes.
        pools_by_name: Rows of the table of pools.
    """

    routes_by_name: dict[str, Route] = field(default_factory=dict)
    pools_by_name: dict[str, Pool] = field(default_factory=dict)

    def find_pools(self, model_version: str) -> list[Pool]:
        """List the pools that serve ``model@version``."""
        return [
            pool
            for pool in self.pools_by_name.values()
            if pool.model_version == model_version
        ]
