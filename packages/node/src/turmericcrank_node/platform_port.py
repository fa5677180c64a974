"""Interface between the router and the platform that it runs on.

An adapter provides one `Platform`: table names, and functions that call the
store and translate between the platform's formats and the router's types. All
decisions are made by the router, none by an adapter.
"""

from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field

from expression import Result
from turmericcrank_core.constraints import FieldError
from turmericcrank_core.crash_block import CrashBlock
from turmericcrank_core.rollout_phases import RolloutOrder, RolloutPhase
from turmericcrank_core.routing import RouteTable
from turmericcrank_core.upstream_registry import ListedUpstream

from turmericcrank_node.http_connection import Headers
from turmericcrank_node.serving.connection_state import ClientRequest

__all__ = (
    'ChangedRow',
    'Conflict',
    'DecodedRequest',
    'FeedPage',
    'ForwardMetadata',
    'HistoryLost',
    'MalformedRowError',
    'NodeAddresses',
    'OperatingLimits',
    'Platform',
    'ResponseInfo',
    'RolloutRow',
    'RouterSettings',
    'StorePort',
    'StoreUnavailable',
)


@dataclass(slots=True, frozen=True)
class NodeAddresses:
    """Listening addresses of one node, each ``IP:port``; empty for none.

    Attributes:
        client: Address for client requests.
        health: Address of the readiness check.
        directory: Address at which clients query the nodes to connect to.
        peer: Address for gossip messages of the peers.
        metrics: Address of the metrics endpoint.
    """

    client: str
    health: str
    directory: str
    peer: str
    metrics: str = ''


@dataclass(slots=True, frozen=True)
class OperatingLimits:
    """Limits that the site guarantees and the router must keep.

    All times are in seconds.

    Attributes:
        apply_s: Longest time until a new configuration takes effect.
        drain_s: Longest time until a draining upstream gets no more requests.
        revoke_s: Longest time for which a revoked key may still be accepted.
        grace_s: Time from the termination signal until the process is killed.
        session_s: Longest idle time within a session.
        keep_s: Longest time for which clients may cache an address.
        retry_ratio: Retries allowed per first attempt, over all nodes.
        retry_slack: Retries allowed beyond that in each window, over all
            nodes.
        retry_window_s: Sliding window in which retries are counted.
        exposure_share: Largest share of a service's requests that a new
            version may get before the deadline of its rollout.
        exposure_slack: Number of requests that it may get beyond that share.
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
    """Validated settings of one node.

    Attributes:
        node_id: Unique id of the node.
        data_centre: Data centre of the node.
        addresses: Listening addresses.
        seed_addresses: Addresses of some peers, for joining the gossip.
        store_address: ``IP:port`` of the platform's store.
        bounds: Guarantees of the site.
        link_bytes_per_s: Capacity of the VM's link, in bytes per second.
        memory_bytes: Memory that the process may use.
    """

    node_id: str
    data_centre: str
    addresses: NodeAddresses
    seed_addresses: tuple[str, ...]
    store_address: str
    bounds: OperatingLimits = OperatingLimits()
    link_bytes_per_s: float = 125e6
    memory_bytes: float = 256e6


@dataclass(slots=True, frozen=True)
class DecodedRequest:
    """A decoded client request.

    Attributes:
        request: The request as received.
        request_id: Request id, new for each attempt of the client.
        host: Value of the Host header.
        path: Path without the query.
        api_key: API key of the client; empty for none.
        client_timeout_s: Client timeout, in seconds; None if not stated.
        session: Session id; empty for none.
        shared_parts: Ids of the parts of the prompt that other requests may
            share, in order.
        last_event_id: Event after which a stream resumes; empty to start
            at its beginning.
        allows_model_choice: Whether the router chooses the model.
    """

    request: ClientRequest
    request_id: str
    host: str
    path: str
    api_key: str
    client_timeout_s: float | None
    session: str
    shared_parts: tuple[str, ...]
    last_event_id: str
    allows_model_choice: bool

    @property
    def prefix(self) -> str:
        """Return the id of the last shared part; empty for none."""
        return self.shared_parts[-1] if self.shared_parts else ''


@dataclass(slots=True, frozen=True)
class ForwardMetadata:
    """Metadata that the router forwards to an upstream with a request.

    Attributes:
        upstream_id: Intended upstream; any other one rejects the request.
        team: Team of the client.
        time_left_s: Time until the deadline, in seconds.
        model: Model that answers; empty to keep the client's choice.
        priority: Rank in the engine's queue, 0 is first; None for none.
        last_event_id: Event after which the stream resumes; empty to start
            at its beginning.
    """

    upstream_id: str
    team: str
    time_left_s: float
    model: str = ''
    priority: int | None = None
    last_event_id: str = ''


@dataclass(slots=True, frozen=True)
class ResponseInfo:
    """Decoded head of an upstream's response.

    Attributes:
        request_id: Id of the request that it answers.
        is_signed: Whether it carries the upstream's signature.
        is_not_run: Whether it states that the request was not executed.
        confidence: Confidence of the model in its answer, from 0 to 100;
            None if not stated.
        is_leaving: Whether the upstream states that it is draining.
        retry_after_s: Time for which the upstream wants no further requests
            from this node, in seconds; None if not stated.
        request_limit_per_s: Requests per second that the upstream accepts
            from all nodes together; None if it names no limit.
        max_rejections_per_s: Rejections a second after which the upstream
            falls over; None if it is not brittle.
        headers: Headers that are forwarded to the client.
    """

    request_id: str
    is_signed: bool
    is_not_run: bool
    confidence: float | None
    is_leaving: bool = False
    retry_after_s: float | None = None
    request_limit_per_s: float | None = None
    max_rejections_per_s: float | None = None
    headers: Headers = field(default_factory=list)


class MalformedRowError(ValueError):
    """A row of the store has an invalid format."""


@dataclass(slots=True, frozen=True)
class ChangedRow:
    """One row of a table of the store, as read or after a change.

    Attributes:
        key: Key of the row in its table.
        version: Version of the last change of the row.
        body: Value of the row; None if it was deleted.
    """

    key: str
    version: int
    body: bytes | None


@dataclass(slots=True, frozen=True)
class FeedPage:
    """A page of changes of a table, or of all of its rows.

    Attributes:
        rows: Rows in order of their changes, or of their keys.
        version: Version of the store up to which the page is complete.
        now_ms: Monotonic clock of the store, in milliseconds.
    """

    rows: tuple[ChangedRow, ...]
    version: int
    now_ms: float


@dataclass(slots=True, frozen=True)
class StoreUnavailable:
    """The store did not execute a call, or it is unknown whether it did."""

    reason: str


@dataclass(slots=True, frozen=True)
class HistoryLost:
    """The store no longer has the requested changes."""


@dataclass(slots=True, frozen=True)
class Conflict:
    """The row did not have the version that a conditional write expected."""


@dataclass(slots=True, frozen=True)
class RolloutRow:
    """Progress of a rollout as stored.

    Attributes:
        order: Rollout order; ``order.number`` is the version of the order's
            row.
        phase: Current phase.
        began_ms: Time of the order on the monotonic clock of the store, in
            milliseconds.
        version: Version of this row; 0 if it is not written yet.
    """

    order: RolloutOrder
    phase: RolloutPhase
    began_ms: float
    version: int


@dataclass(slots=True, frozen=True)
class StorePort:
    """Calls to the platform's store.

    Attributes:
        read_table: Reads all rows of a table, given by its name.
        read_changes: Waits for changes after a version. Arguments: table,
            version, longest wait in seconds.
        read_rollout: Reads the progress of a service's rollout.
        write_rollout: Writes the progress if the row still has the version
            that was read; returns the new version.
        write_node: Registers this node by its id and peer address.
        read_nodes: Reads the peer addresses of all nodes, by node id.
        write_blocks: Writes active blocks, and removes those with some keys.
            Their times are on the store's clock, in seconds.
        read_blocks: Reads the blocks.
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
    write_node: Callable[[str, str], Awaitable['StoreUnavailable | None']]
    read_nodes: Callable[[], Awaitable['Mapping[str, str] | StoreUnavailable']]
    write_blocks: Callable[
        [Sequence[CrashBlock], Sequence[frozenset[str]]],
        Awaitable['StoreUnavailable | None'],
    ]
    read_blocks: Callable[
        [], Awaitable['tuple[CrashBlock, ...] | StoreUnavailable']
    ]


@dataclass(slots=True, frozen=True)
class Platform:
    """Everything that an adapter provides to the router.

    Attributes:
        store: Calls to the store.
        configuration_table: Table with the configuration and the rollout
            orders.
        upstream_table: Table in which upstreams register themselves.
        decode_configuration: Decodes the routes from a row; None for other
            rows.
        decode_rollout_order: Decodes a rollout order from a row; None for other
            rows.
        find_era: Returns how often the store had returned from a copy before
            it gave out a version.
        decode_upstream: Decodes an upstream from a row; None if the row is
            deleted or malformed.
        decode_request: Decodes a client request.
        decode_response_head: Decodes the head of an upstream's response.
        encode_forward_headers: Encodes the headers of a request to an upstream.
        decode_address_query: Returns the data centre of a client that
            queries the addresses; None for another request.
        encode_addresses: Encodes the response body for such a query, from
            the addresses and the time in seconds to cache them.
        is_health_check: Returns whether a request is a readiness check.
        reload_settings: Reads the settings again; returns all errors if they
            are not valid.
    """

    store: StorePort
    configuration_table: str
    upstream_table: str
    decode_configuration: Callable[[ChangedRow], RouteTable | None]
    decode_rollout_order: Callable[[ChangedRow], RolloutOrder | None]
    find_era: Callable[[int], int]
    decode_upstream: Callable[[ChangedRow], ListedUpstream | None]
    decode_request: Callable[[ClientRequest], DecodedRequest]
    decode_response_head: Callable[[int, Headers], ResponseInfo]
    encode_forward_headers: Callable[[DecodedRequest, ForwardMetadata], Headers]
    decode_address_query: Callable[[ClientRequest], str | None]
    encode_addresses: Callable[[list[str], float], bytes]
    is_health_check: Callable[[ClientRequest], bool]
    reload_settings: Callable[[], Result[RouterSettings, list[FieldError]]]
