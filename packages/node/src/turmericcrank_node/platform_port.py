"""What the router asks of the platform that it runs on.

An adapter gives one `Platform`: settings and functions that translate. The
router keeps every decision; an adapter keeps none.
"""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from turmericcrank_core.rollout_phases import RolloutOrder, RolloutPhase
from turmericcrank_core.routing import RouteTable
from turmericcrank_core.upstream_rows import ListedUpstream

from turmericcrank_node.http_wire import Headers
from turmericcrank_node.serving.client_connection import ClientRequest

__all__ = (
    'AnswerHead',
    'Bounds',
    'Call',
    'ChangedRow',
    'Conflict',
    'FeedPage',
    'HistoryLost',
    'MalformedRowError',
    'NodeAddresses',
    'Platform',
    'RolloutRow',
    'RouterSettings',
    'Sending',
    'StorePort',
    'StoreUnavailable',
)


@dataclass(slots=True, frozen=True)
class NodeAddresses:
    """Addresses of one node, each ``IP:port``; empty where it has none.

    Attributes:
        client: Where it serves clients.
        health: Where it tells whether it takes clients.
        directory: Where it tells clients which nodes to use.
        peer: Where it hears its peers.
        metrics: Where it serves its metrics.
    """

    client: str
    health: str
    directory: str
    peer: str
    metrics: str = ''


@dataclass(slots=True, frozen=True)
class Bounds:
    """Promises of the site that decide how the router behaves.

    Attributes:
        apply_s: Longest time until a configuration is in force.
        drain_s: Longest time until a leaving upstream gets nothing.
        revoke_s: Longest time for which a removed key may work.
        grace_s: Time from the request to stop until the process is killed.
        session_s: Longest pause within a session.
        keep_s: Longest time for which clients may keep an address.
        retry_ratio: Retries allowed for each first attempt, over all nodes.
        retry_slack: Retries allowed beyond that, over all nodes.
        retry_window_s: Time over which these are counted.
        exposure_share: Largest share of a service's requests that a version
            may get before its roll-out has to be done.
        exposure_slack: Requests that it may get beyond that share.
    """

    apply_s: float = 2
    drain_s: float = 2
    revoke_s: float = 5
    grace_s: float = 8
    session_s: float = 5
    keep_s: float = 5
    retry_ratio: float = 0.5
    retry_slack: float = 50
    retry_window_s: float = 10
    exposure_share: float = 0.15
    exposure_slack: float = 0


@dataclass(slots=True, frozen=True)
class RouterSettings:
    """Checked settings of one node.

    Attributes:
        node_id: Its name.
        data_centre: Where it runs.
        addresses: Its addresses.
        seed_addresses: Where some of its peers may be heard.
        store_address: ``IP:port`` of the platform's store.
        bounds: Promises of the site.
        link_bytes_per_s: Capacity of the VM's link.
    """

    node_id: str
    data_centre: str
    addresses: NodeAddresses
    seed_addresses: tuple[str, ...]
    store_address: str
    bounds: Bounds = Bounds()
    link_bytes_per_s: float = 125e6


@dataclass(slots=True, frozen=True)
class Call:
    """A client's request in the router's terms.

    Attributes:
        request: The request as it came.
        request_id: Its id, new for each attempt of the client.
        host: Host that it names.
        path: Path without the query.
        api_key: Key of the client; empty without one.
        patience_s: How long the client waits, in seconds; None if unsaid.
        session: Session that it belongs to; empty without one.
        prefix: Last part of its prompt that others share; empty without one.
        last_event_id: Event after which a stream goes on; empty for all.
        leaves_model_open: Whether the router names the model.
    """

    request: ClientRequest
    request_id: str
    host: str
    path: str
    api_key: str
    patience_s: float | None
    session: str
    prefix: str
    last_event_id: str
    leaves_model_open: bool


@dataclass(slots=True, frozen=True)
class Sending:
    """What the router tells an upstream with a request.

    Attributes:
        upstream_id: Upstream that is meant; another one refuses.
        team: Team of the client.
        time_left_s: How long the answer is of use, in seconds.
        model: Model that answers; empty to keep the client's choice.
        priority: Rank in the engine's queue, 0 is first; None for none.
        last_event_id: Event after which the stream goes on.
    """

    upstream_id: str
    team: str
    time_left_s: float
    model: str = ''
    priority: int | None = None
    last_event_id: str = ''


@dataclass(slots=True, frozen=True)
class AnswerHead:
    """What the head of an upstream's response says.

    Attributes:
        request_id: Id of the request that it answers.
        is_signed: Whether it bears the upstream's signature.
        is_not_run: Whether it states that the request did not run.
        confidence: What the model thinks of its answer, 0 to 100.
        is_leaving: Whether the upstream states that it is about to leave.
        retry_after_s: How long the upstream wants nothing more from this
            node, in seconds; None if it does not say.
        headers: What the client gets of its headers.
    """

    request_id: str
    is_signed: bool
    is_not_run: bool
    confidence: float | None
    is_leaving: bool = False
    retry_after_s: float | None = None
    headers: Headers = field(default_factory=list)


class MalformedRowError(ValueError):
    """A row of the store that cannot be understood."""


@dataclass(slots=True, frozen=True)
class ChangedRow:
    """One row of a table of the store.

    Attributes:
        key: Key in its table.
        version: Version of its last change.
        body: Its value; None when it was deleted.
    """

    key: str
    version: int
    body: bytes | None


@dataclass(slots=True, frozen=True)
class FeedPage:
    """Changes of a table, or all of its rows.

    Attributes:
        rows: Rows in the order of their changes, or of their keys.
        version: The page is complete up to this version of the store.
        now_ms: Steady clock of the store, in milliseconds.
    """

    rows: tuple[ChangedRow, ...]
    version: int
    now_ms: float


@dataclass(slots=True, frozen=True)
class StoreUnavailable:
    """The store did not do a call, or did not say whether it did."""

    reason: str


@dataclass(slots=True, frozen=True)
class HistoryLost:
    """The store no longer has the changes that were asked for."""


@dataclass(slots=True, frozen=True)
class Conflict:
    """A row was not as a conditional write expected it."""


@dataclass(slots=True, frozen=True)
class RolloutRow:
    """Progress of a roll-out as the store keeps it.

    Attributes:
        order: The order; its version of the row is ``order.number``.
        phase: Phase that is reached.
        began_ms: When it was ordered, on the steady clock of the store.
        version: Version of this row; 0 when it is not written yet.
    """

    order: RolloutOrder
    phase: RolloutPhase
    began_ms: float
    version: int


@dataclass(slots=True, frozen=True)
class StorePort:
    """Calls to the platform's store.

    Attributes:
        read_table: Reads all rows of a table by its name.
        read_changes: Waits for changes: table, version, seconds to wait.
        read_rollout: Reads the progress of a service's roll-out.
        write_rollout: Writes it, on condition of the version read.
        write_member: Writes this node's row in the list of nodes.
        read_members: Reads the peer addresses of all nodes.
    """

    read_table: Callable[[str], Awaitable['FeedPage | StoreUnavailable']]
    read_changes: Callable[
        [str, int, float],
        Awaitable['FeedPage | HistoryLost | StoreUnavailable'],
    ]
    read_rollout: Callable[
        [str], Awaitable['RolloutRow | StoreUnavailable | None']
    ]
    write_rollout: Callable[
        [RolloutRow], Awaitable['int | Conflict | StoreUnavailable']
    ]
    write_member: Callable[[str, str], Awaitable['StoreUnavailable | None']]
    read_members: Callable[
        [], Awaitable['Mapping[str, str] | StoreUnavailable']
    ]


@dataclass(slots=True, frozen=True)
class Platform:
    """Everything that the router asks of an adapter.

    Attributes:
        store: Calls to the store.
        configuration_table: Table with the configuration and the orders.
        upstream_table: Table in which upstreams list themselves.
        decode_configuration: Reads the routes from a row; None for others.
        decode_order: Reads a roll-out order from a row; None for others.
        decode_upstream: Reads an upstream from a row; None if malformed.
        decode_call: Reads a client's request.
        decode_answer: Reads the head of an upstream's response.
        encode_sending: Gives the headers of a request to an upstream.
        decode_address_question: Gives the data centre of a client that asks
            where to connect; None for another request.
        encode_addresses: Gives the body of the answer to it.
        is_health_question: Tells whether a request asks for readiness.
        reload_settings: Reads the settings again; None when they are not
            valid.
    """

    store: StorePort
    configuration_table: str
    upstream_table: str
    decode_configuration: Callable[[ChangedRow], RouteTable | None]
    decode_order: Callable[[ChangedRow], RolloutOrder | None]
    decode_upstream: Callable[[ChangedRow], ListedUpstream | None]
    decode_call: Callable[[ClientRequest], Call]
    decode_answer: Callable[[int, Headers], AnswerHead]
    encode_sending: Callable[[Call, Sending], Headers]
    decode_address_question: Callable[[ClientRequest], str | None]
    encode_addresses: Callable[[list[str], float], bytes]
    is_health_question: Callable[[ClientRequest], bool]
    reload_settings: Callable[[], RouterSettings | None]
