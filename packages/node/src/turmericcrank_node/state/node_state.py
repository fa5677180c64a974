"""State shared by the tasks of one node.

A comment on each group of fields names the modules that write it.
"""

import random
import time
from dataclasses import dataclass, field

import trio
from turmericcrank_core.cluster_clock import ClusterClock, read_cluster_clock_s
from turmericcrank_core.crash_blocks import CrashGuard
from turmericcrank_core.gossip_topology import GossipPlan
from turmericcrank_core.inbound import (
    ByteBudget,
    ConnectionCounts,
    SharedPace,
)
from turmericcrank_core.membership import Membership, Peer
from turmericcrank_core.model_escalation import FirstEventForecast
from turmericcrank_core.peer_loads import PeerLoads
from turmericcrank_core.retry_windows import RetryWindow
from turmericcrank_core.rollout_orders import KnownOrder
from turmericcrank_core.rollout_phases import RolloutState
from turmericcrank_core.routing import ClientLimits, RouteTable
from turmericcrank_core.send_permits import SendPermits
from turmericcrank_core.sharing_nodes import SharingNodes
from turmericcrank_core.table_staleness import TableStaleness, staleness_s
from turmericcrank_core.upstream_health import UpstreamHealth
from turmericcrank_core.upstream_limits import UpstreamLimits
from turmericcrank_core.upstream_notices import UpstreamNotices
from turmericcrank_core.upstream_path import UpstreamPath
from turmericcrank_core.upstream_registry import UpstreamRegistry
from turmericcrank_core.version_choice import KnownVersions, RecentSessions
from turmericcrank_core.version_health import FirstTokenLatencies

from turmericcrank_node.event_log import EventLog
from turmericcrank_node.membership.gossip_message import CellDigest, pack_rows
from turmericcrank_node.platform_port import (
    FeedPage,
    Platform,
    RouterSettings,
)
from turmericcrank_node.state.crash_reports import CrashReports
from turmericcrank_node.state.in_flight_attempt import InFlightAttempt
from turmericcrank_node.state.router_metrics import RouterMetrics
from turmericcrank_node.state.version_counts import EvidenceState

__all__ = (
    'ChangePage',
    'NodeState',
    'ReceivedDigest',
    'describe_self',
    'make_change_page',
    'read_boottime_s',
    'read_cluster_time_s',
)

_REVOKE_FRACTION = 0.8


def read_boottime_s() -> float:
    """Read the clock that also advances while the process is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True, frozen=True)
class ChangePage:
    """Changes of one table that a node has read from the store.

    Attributes:
        table_number: 0 for the configuration, 1 for the upstreams.
        after: Version of the store before the changes.
        page: The changes.
        packed: Rows of the changes, encoded for gossip messages.
        read_s: When this node read or received them, in seconds.
        is_from_cell_peer: Whether a cell peer read or forwarded them, so
            that all nodes of the cell receive them from it.
        sent_s_by_id: When this node sent them to each peer, in seconds.
    """

    table_number: int
    after: int
    page: FeedPage
    packed: bytes
    read_s: float
    is_from_cell_peer: bool = False
    sent_s_by_id: dict[str, float] = field(default_factory=dict)

    @property
    def change(self) -> int:
        """Return the version of the last change."""
        return max(row.version for row in self.page.rows)


def make_change_page(
    table_number: int,
    after: int,
    page: FeedPage,
    read_s: float,
    is_from_cell_peer: bool = False,
) -> ChangePage:
    """Make a page with its rows encoded once, for all receivers."""
    rows = [(row.key, row.version, row.body) for row in page.rows]
    return ChangePage(
        table_number, after, page, pack_rows(rows), read_s, is_from_cell_peer
    )


@dataclass(slots=True)
class ReceivedDigest:
    """Newest digest received from another cell.

    Attributes:
        digest: The digest.
        created_s: When it was made, on this node's clock, in seconds.
        must_forward: Whether this node still has to forward it to its cell
            peers.
    """

    digest: CellDigest
    created_s: float
    must_forward: bool


@dataclass(slots=True)
class NodeState:
    """State of one node."""

    settings: RouterSettings
    platform: Platform
    log: EventLog
    incarnation: str
    random_source: random.Random
    metrics: RouterMetrics
    # Written by request_reading, client_connection and the calls.
    body_budget: ByteBudget
    shared_pace: SharedPace = field(default_factory=SharedPace)
    # Written by table_watch; the staleness of the tables also by gossip_merge.
    table: RouteTable | None = None
    configuration_staleness: TableStaleness = field(
        default_factory=TableStaleness
    )
    upstream_staleness: TableStaleness = field(default_factory=TableStaleness)
    upstream_registry: UpstreamRegistry = field(
        default_factory=UpstreamRegistry
    )
    versions: KnownVersions = field(default_factory=KnownVersions)
    store_clock_offset_s: float = 0
    recent_pages: list[ChangePage] = field(default_factory=list)
    # Written by gossip_server, gossip_rounds, gossip_fields and gossip_merge.
    members: Membership = field(default_factory=Membership)
    gossip_plan: GossipPlan = field(default_factory=GossipPlan)
    peer_loads: PeerLoads = field(default_factory=PeerLoads)
    digests_by_cell: dict[str, ReceivedDigest] = field(default_factory=dict)
    gossip_requested: trio.Event = field(default_factory=trio.Event)
    cluster_clock: ClusterClock = field(default_factory=ClusterClock)
    # When this node began to gossip, or went on after a pause.
    joined_s: float = field(default_factory=read_boottime_s)
    # Written by the serving and upstreams packages; gossip_merge adds what
    # peers report, gossip_rounds, gossip_fields and table_watch expire it.
    running_by_id: dict[str, int] = field(default_factory=dict)
    upstream_health: UpstreamHealth = field(default_factory=UpstreamHealth)
    notices: UpstreamNotices = field(default_factory=UpstreamNotices)
    upstream_limits: UpstreamLimits = field(default_factory=UpstreamLimits)
    send_permits: SendPermits = field(default_factory=SendPermits)
    sharing_nodes: SharingNodes = field(default_factory=SharingNodes)
    sessions: RecentSessions = field(default_factory=RecentSessions)
    first_token_latencies: FirstTokenLatencies = field(
        default_factory=FirstTokenLatencies
    )
    forecast: FirstEventForecast = field(default_factory=FirstEventForecast)
    # The attempts of an upstream have numbers of this node: clients may send
    # several requests with one id.
    attempts_by_upstream: dict[str, dict[int, InFlightAttempt]] = field(
        default_factory=dict
    )
    last_attempt_number: int = 0
    upstream_path: UpstreamPath = field(default_factory=UpstreamPath)
    path_check: trio.Lock = field(default_factory=trio.Lock)
    cut_off: trio.Event = field(default_factory=trio.Event)
    crash_guard: CrashGuard = field(default_factory=CrashGuard)
    crash_reports: CrashReports = field(default_factory=CrashReports)
    retries_by_service: dict[str, RetryWindow] = field(default_factory=dict)
    # Written by rollout_control, table_watch and gossip_merge.
    rollouts_by_service: dict[str, RolloutState] = field(default_factory=dict)
    # Written by table_watch.
    known_orders_by_service: dict[str, KnownOrder] = field(default_factory=dict)
    # Written by rollout_control.
    abort_reasons_by_order: dict[tuple[str, int], str] = field(
        default_factory=dict
    )
    # Written by version_evidence and gossip_merge.
    evidence: EvidenceState = field(default_factory=EvidenceState)
    # Written by router_node.
    is_stopping: bool = False
    # On trio's clock; compared when a request is handled, as a task that sets
    # a flag may wake late.
    rejects_from_s: float | None = None
    closing: trio.Event = field(default_factory=trio.Event)
    must_stop_listening: trio.Event = field(default_factory=trio.Event)
    # Written by router; those left at the end of a drain are cancelled.
    request_scopes: set[trio.CancelScope] = field(default_factory=set)
    # Written by client_connection and request_reading.
    connections: ConnectionCounts = field(default_factory=ConnectionCounts)
    # Written by router and tunnel_server; tunnels count as requests.
    n_requests: int = 0
    n_tunnels: int = 0

    @property
    def limits(self) -> ClientLimits:
        """Return the client limits in force."""
        return self.table.limits if self.table else ClientLimits()

    @property
    def is_configuration_current(self) -> bool:
        """Return whether the configuration is current enough to be used."""
        age_s = staleness_s(self.configuration_staleness, read_boottime_s())
        return age_s < self.settings.bounds.revoke_s * _REVOKE_FRACTION

    @property
    def is_rejecting_requests(self) -> bool:
        """Return whether requests are rejected, since the node drains."""
        if self.rejects_from_s is None:
            return False
        return trio.current_time() >= self.rejects_from_s

    @property
    def is_ready(self) -> bool:
        """Return whether this node accepts clients."""
        has_table = self.table is not None and self.is_configuration_current
        return has_table and not self.is_stopping

    def request_gossip(self) -> None:
        """Request an early gossip round."""
        self.gossip_requested.set()


def read_cluster_time_s(state: NodeState) -> float:
    """Return the time on the clock that all nodes agree on, in seconds."""
    return read_cluster_clock_s(state.cluster_clock, read_boottime_s())


def describe_self(state: NodeState) -> Peer:
    """Return the description of this node that its peers receive.

    While it is cut off from the upstreams it serves its clients through its
    peers, but does not attract others.
    """
    settings = state.settings
    return Peer(
        settings.node_id,
        state.incarnation,
        settings.data_centre,
        settings.addresses.peer,
        settings.addresses.client,
        state.is_ready and not state.upstream_path.is_cut_off,
        read_boottime_s(),
    )
