"""What a run of the soak records, seen from outside the nodes.

All times are on the monotonic clock of the soak's own process, in seconds.
"""

import enum
from dataclasses import dataclass, field

__all__ = (
    'Arrival',
    'Bounds',
    'ClientRequest',
    'ConfigurationChange',
    'Ending',
    'NodeEvent',
    'NodeEventKind',
    'RouteKind',
    'Run',
    'UpstreamEvent',
    'UpstreamEventKind',
)


class RouteKind(enum.StrEnum):
    """What may be repeated on a route."""

    idempotent = 'idempotent'
    non_idempotent = 'non_idempotent'
    stream = 'streaming'
    resumable_stream = 'resumable'


class Ending(enum.StrEnum):
    """How a client's request ended.

    Attributes:
        pending: Not at all until the end of the run.
        answered: With a complete response.
        broken: The connection was closed or reset before a complete response.
        refused: No connection was made.
        left: The client closed the connection, at its deadline or before.
    """

    pending = 'pending'
    answered = 'answered'
    broken = 'broken'
    refused = 'refused'
    left = 'left'


@dataclass(slots=True)
class ClientRequest:
    """One request of a client; each has an id of its own.

    Attributes:
        request_id: Its id.
        node: Node that it was sent to.
        service: Service of its route when it was sent.
        route: Name of its route.
        kind: Kind of its route.
        max_attempts: Upstreams that may run it at most.
        route_timeout_s: Longest time that its route allows.
        deadline_s: Time that the client waits, as it says to the node.
        connection: Number of its connection.
        is_kept: Whether the connection had carried a request before.
        began_s: When its first byte was sent.
        sent_s: When its last byte was sent; 0 if it was not sent whole.
        ended_s: When it ended; 0 if it did not.
        ending: How it ended.
        status: Status of the response; 0 without a head.
        crash_key: Equal for all requests that crash upstreams for the same
            reason, content or part of the prompt; empty if it crashes none.
        is_crash_part: Whether that reason is a part of the prompt.
        shared_keys: Team and first prompt part, shared with requests that
            crash upstreams; empty if it shares none.
        is_repeat: Whether its client repeats an earlier request with it.
    """

    request_id: str
    node: str
    service: str
    route: str
    kind: RouteKind
    max_attempts: int
    route_timeout_s: float
    deadline_s: float
    connection: int
    is_kept: bool
    began_s: float
    sent_s: float = 0
    ended_s: float = 0
    ending: Ending = Ending.pending
    status: int = 0
    crash_key: str = ''
    is_crash_part: bool = False
    shared_keys: frozenset[str] = frozenset()
    is_repeat: bool = False


@dataclass(slots=True)
class Arrival:
    """A request that an upstream has read.

    Attributes:
        request_id: Its id.
        upstream: Process of the upstream that read it.
        service: Service of the upstream.
        node: Node that sent it, by its address; empty if unknown.
        read_s: When the upstream had read the head.
        connected_s: When the upstream accepted the connection.
        deadline_s: Time that the node gives it; None without one.
        began_s: When the upstream began to run it; 0 if it did not.
        ended_s: When the upstream had sent its response, or stopped; 0 if
            it did not.
        is_rejected: Whether the upstream rejected it.
        is_cut: Whether the node closed the connection before the response.
        handed_s: When the node sent it, by the node's log; 0 if unknown.
    """

    request_id: str
    upstream: str
    service: str
    node: str
    read_s: float
    connected_s: float
    deadline_s: float | None
    began_s: float = 0
    ended_s: float = 0
    is_rejected: bool = False
    is_cut: bool = False
    handed_s: float = 0


class NodeEventKind(enum.StrEnum):
    """What happened to the process of a node.

    Attributes:
        started: It was started.
        ready: Its readiness check succeeded for the first time.
        term: It got SIGTERM.
        hup: It got SIGHUP.
        paused: It was stopped by SIGSTOP.
        resumed: It went on.
        killed: It was killed by the soak.
        ended: It has ended, after ``term``.
        ended_by_itself: It has ended without having been asked to.
        cut: Its links were cut, or harmed, by the soak.
        restored: Its links are whole again.
    """

    started = 'started'
    ready = 'ready'
    term = 'term'
    hup = 'hup'
    paused = 'paused'
    resumed = 'resumed'
    killed = 'killed'
    ended = 'ended'
    ended_by_itself = 'ended by itself'
    cut = 'cut'
    restored = 'restored'


@dataclass(slots=True, frozen=True)
class NodeEvent:
    """Something that happened to the process of a node."""

    at_s: float
    node: str
    kind: NodeEventKind
    detail: str = ''


class UpstreamEventKind(enum.StrEnum):
    """What happened to an upstream.

    Attributes:
        paused: It neither reads nor responds; the system still accepts.
        silent: Links from or to it are silent.
        resumed: It goes on.
        reset: It has reset all of its connections.
        crashed: It has ended; its address refuses connections.
        started: It has started, for the first time or again.
    """

    paused = 'paused'
    silent = 'silent'
    resumed = 'resumed'
    reset = 'reset'
    crashed = 'crashed'
    started = 'started'


@dataclass(slots=True, frozen=True)
class UpstreamEvent:
    """Something that happened to an upstream.

    Attributes:
        at_s: When.
        upstream: Process of the upstream.
        kind: What.
        crash_key: What made it crash; empty if it was the soak's choice.
    """

    at_s: float
    upstream: str
    kind: UpstreamEventKind
    crash_key: str = ''


@dataclass(slots=True, frozen=True)
class ConfigurationChange:
    """A change of the configuration.

    Attributes:
        sent_s: When it was sent to the store.
        acknowledged_s: When the store acknowledged it.
        how: What it changed.
    """

    sent_s: float
    acknowledged_s: float
    how: str


@dataclass(slots=True, frozen=True)
class Bounds:
    """Bounds of the site that the judges use."""

    contact_s: float = 3
    grace_s: float = 8
    loss_slack_s: float = 0.2
    apply_s: float = 2
    retry_ratio: float = 0.9
    retry_slack: float = 54
    retry_window_s: float = 10


@dataclass(slots=True)
class Run:
    """The record of one run.

    Attributes:
        seed: Seed of its troubles.
        bounds: Bounds of its site.
        began_s: When traffic began.
        ended_s: When it ended.
        requests: Requests of clients, in the order of ``began_s``.
        arrivals: What upstreams have read, in the order of ``read_s``.
        node_events: What happened to nodes, in order.
        upstream_events: What happened to upstreams, in order.
        changes: Changes of the configuration, in order.
        store_troubles: Begin and end of each time in which the store was
            away, slow, or lost answers.
    """

    seed: int
    bounds: Bounds = field(default_factory=Bounds)
    began_s: float = 0
    ended_s: float = 0
    requests: list[ClientRequest] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    node_events: list[NodeEvent] = field(default_factory=list)
    upstream_events: list[UpstreamEvent] = field(default_factory=list)
    changes: list[ConfigurationChange] = field(default_factory=list)
    store_troubles: list[tuple[float, float]] = field(default_factory=list)
