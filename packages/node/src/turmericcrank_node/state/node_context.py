"""State shared by the tasks of one node.

A comment on each group of fields names the modules that write it. Tasks pass
work to each other through channels.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import httpx
import trio
from turmericcrank_core.admission import AdmissionState
from turmericcrank_core.billing import Bill
from turmericcrank_core.cascade import CascadePolicy
from turmericcrank_core.cells import plan_interval_s
from turmericcrank_core.claims import ClaimRow
from turmericcrank_core.crash_blocks import CrashGuard
from turmericcrank_core.freshness import (
    Freshness,
    SampleWindow,
    plan_freshness,
)
from turmericcrank_core.retry_budget import RetryBudget
from turmericcrank_core.revisions import Patch, RevisionState
from turmericcrank_core.rollouts import RolloutProgress
from turmericcrank_core.selection import LoadTracker, PoolHashRing, Selector
from turmericcrank_core.sessions import Signer
from turmericcrank_core.version_health import (
    FirstTokenLatencies,
    UpstreamCounts,
    VersionEvidenceSet,
)

from turmericcrank_node.event_log import EventLog
from turmericcrank_node.metrics import Metrics
from turmericcrank_node.settings import NodeSettings
from turmericcrank_node.state.in_flight_attempt import InFlightAttempt
from turmericcrank_node.state.store import StoreClient

__all__ = ('BillEntry', 'NodeContext', 'PeerStatus', 'VmRow')

PeerRequester = Callable[[str, Any, float], Awaitable[Any]]


@dataclass(slots=True, frozen=True)
class VmRow:
    """One row of the VM list.

    Attributes:
        vm_id: ID of a node or an upstream.
        role: ``entry`` or ``upstream``.
        data_centre: Data centre of the VM.
        state: ``live``, ``leaving`` or ``gone``.
        caller_address: Address where an entry node serves clients.
        peer_address: Address where an entry node serves its peers.
    """

    vm_id: str
    role: str
    data_centre: str
    state: str
    caller_address: str = ''
    peer_address: str = ''


@dataclass(slots=True, frozen=True)
class PeerStatus:
    """Status of a peer, from its last response."""

    revision: int
    load: float
    leaving: bool


@dataclass(slots=True, frozen=True)
class BillEntry:
    """A bill that is waiting for the bill queue.

    Attributes:
        bill: The bill.
        batch: Name of its own batch; empty for the open batch.
        replication_attempted: Set once a peer or the store has the bill, or
            once neither can be reached.
    """

    bill: Bill
    batch: str
    replication_attempted: trio.Event


@dataclass(slots=True)
class VersionCounts:
    """Counts by version, from this node and reported by peers.

    Attributes:
        own_by_key: Counts of this node, by stop key and upstream.
        reported_by_node: Latest counts reported by each incarnation of a node,
            by the same keys.
        speed: Baseline times to the first token.
    """

    own_by_key: dict[tuple[str, str], UpstreamCounts] = field(
        default_factory=dict
    )
    reported_by_node: dict[str, dict[tuple[str, str], UpstreamCounts]] = field(
        default_factory=dict
    )
    speed: FirstTokenLatencies = field(default_factory=FirstTokenLatencies)


@dataclass(slots=True)
class NodeContext:
    """State of one node."""

    settings: NodeSettings
    log: EventLog
    metrics: Metrics
    store: StoreClient
    upstream_http: httpx.AsyncClient
    single_use_http: httpx.AsyncClient
    random_source: random.Random
    incarnation: str
    signer: Signer
    # Written by table_revisions; known revisions also by store_poll,
    # peer_sampling and peer_server.
    revision: RevisionState = field(default_factory=RevisionState)
    rings_by_pool: dict[str, PoolHashRing] = field(default_factory=dict)
    n_cells: int = 1
    patches_by_revision: dict[int, Patch] = field(default_factory=dict)
    # Written by store_poll.
    store_seen_s: float | None = None
    is_store_lost: bool = False
    # Written by vm_list.
    vms_by_id: dict[str, VmRow] = field(default_factory=dict)
    vm_sequence: int = 0
    # Written by store_poll.
    progress_by_key: dict[str, RolloutProgress] = field(default_factory=dict)
    # Written by peer_sampling; the listed peers of the window by vm_list.
    window: SampleWindow = field(default_factory=SampleWindow)
    statuses_by_peer: dict[str, PeerStatus] = field(default_factory=dict)
    # Written by dispatch, peer_sampling, peer_server and vm_list.
    loads: LoadTracker = field(default_factory=LoadTracker)
    # Set once by node.
    select: Selector | None = None
    # Set by dispatch, replaced by load_exchange.
    load_changed: trio.Event = field(default_factory=trio.Event)
    # Written by dispatch: by upstream, then request.
    in_flight: dict[str, dict[str, InFlightAttempt]] = field(
        default_factory=dict
    )
    instances_by_upstream: dict[str, str] = field(default_factory=dict)
    budgets_by_pool: dict[str, RetryBudget] = field(default_factory=dict)
    # Written by claims: answers that are not in the store yet, by claim.
    unstored_claims_by_key: dict[str, ClaimRow] = field(default_factory=dict)
    # Written by crash_replication.
    crash_guard: CrashGuard = field(default_factory=CrashGuard)
    # Written by evidence_replication.
    evidence: VersionEvidenceSet = field(default_factory=VersionEvidenceSet)
    reasons_by_stop: dict[str, str] = field(default_factory=dict)
    # Written by ratings.
    policies_by_route: dict[str, CascadePolicy] = field(default_factory=dict)
    # Written by evidence_replication; the baseline speed by model_calls.
    counts: VersionCounts = field(default_factory=VersionCounts)
    # Written by request_admission and dispatch.
    admission: AdmissionState = field(default_factory=AdmissionState)
    # Written by request_admission.
    n_running: int = 0
    # Written by node.
    leaving: bool = False
    is_rejecting_requests: bool = False
    # Set once by node.
    request_peer: PeerRequester | None = None
    bill_sender: Any = None
    nursery: Any = None
    # Written by peer_connections and peer_server: bytes sent to and received
    # from peers, without authentication and failed requests.
    n_peer_bytes: int = 0

    def url_of(self, address: str, path: str) -> str:
        """Return the URL of a path at an upstream."""
        return f'{self.settings.upstream_scheme}://{address}{path}'

    def scale_interval_s(self, base_s: float, max_unscaled_nodes: int) -> float:
        """Scale an interval with the number of nodes on the VM list.

        Args:
            base_s: Interval of a small site, in seconds.
            max_unscaled_nodes: Number of nodes up to which the interval is not
                scaled.
        """
        return plan_interval_s(
            base_s, len(self.window.listed) + 1, max_unscaled_nodes
        )

    def freshness(self) -> Freshness:
        """Decide whether the tables are current enough to be used now."""
        return plan_freshness(
            self.window,
            self.store_seen_s,
            self.revision.stale_since_s,
            trio.current_time(),
            self.settings.freshness,
        )

    def start_soon(self, work: Any, *args: Any) -> None:
        """Start a background task that may outlive the current request."""
        self.nursery.start_soon(work, self, *args)
