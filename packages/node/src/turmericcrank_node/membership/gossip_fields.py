"""Builds the fields of gossip messages, for cell peers and other cells."""

import itertools
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from typing import Any

import msgspec
from turmericcrank_core.cluster_clock import read_cluster_clock_s
from turmericcrank_core.crash_blocks import expire_blocks
from turmericcrank_core.membership import Peer, iter_alive, iter_recently_joined
from turmericcrank_core.peer_loads import remove_peer_loads
from turmericcrank_core.rollout_phases import (
    RolloutState,
    plan_largest_canary_share,
)
from turmericcrank_core.send_rate_limit import plan_report_bytes
from turmericcrank_core.table_staleness import TableStaleness, staleness_s
from turmericcrank_core.upstream_limits import iter_limits_to_gossip
from turmericcrank_core.upstream_notices import iter_leaving_upstreams
from turmericcrank_core.version_choice import iter_sessions_to_gossip

from turmericcrank_node.control.version_evidence import (
    iter_aggregated_evidence,
    iter_own_evidence,
)
from turmericcrank_node.membership.crash_fields import make_crash_fields
from turmericcrank_node.membership.gossip_message import (
    CellDigest,
    CellSummary,
    LimitRow,
    PageRow,
    ProofRow,
    pack_summary,
)
from turmericcrank_node.state.crash_reports import (
    Audience,
    start_report_round,
)
from turmericcrank_node.state.node_state import (
    ChangePage,
    NodeState,
    describe_self,
)
from turmericcrank_node.state.version_counts import EvidenceCounts

__all__ = (
    'ROUND_INTERVAL_S',
    'Receiver',
    'expire_gossip',
    'make_cell_fields',
    'make_remote_fields',
    'make_staleness_rows',
    'mark_digests_forwarded',
    'take_pages',
    'take_small_pages',
)

ROUND_INTERVAL_S = 0.8
_REPEAT_WINDOW_S = 1.8
_DIGEST_TTL_S = 3
_MAX_SMALL_PAGE_BYTES = 1000
_MAX_PAGES_BYTES = 8000
_IN_TRANSIT_S = 0.3
_N_REPEATED_LIMITS = 1
_MS = 1000


@dataclass(slots=True, frozen=True)
class Receiver:
    """A peer that changes are sent to.

    Attributes:
        node_id: ID of the peer.
        is_cell_peer: Whether it belongs to this node's cell.
        changes: Version of the last change of each table that it has
            reported as applied.
        received_s: When that report was received, in seconds.
    """

    node_id: str
    is_cell_peer: bool
    changes: tuple[int, int] = (0, 0)
    received_s: float = 0


def make_cell_fields(
    state: NodeState, now_s: float, has_counts: bool
) -> dict[str, Any]:
    """Return the fields that are the same in messages to all cell peers.

    Args:
        state: State of this node.
        now_s: Current time, in seconds.
        has_counts: Whether to include what changes with each request.
    """
    fields = {
        **_make_common_fields(state, now_s, Audience.own_cell),
        'digests': list(_iter_digests_to_forward(state, now_s)),
    }
    if has_counts:
        fields.update(_make_count_fields(state, now_s))
    return fields


def _make_count_fields(state: NodeState, now_s: float) -> dict[str, Any]:
    """Return the fields whose content changes with each request."""
    return {
        'sessions': list(_iter_sessions(state, now_s)),
        'running_by_id': {
            name: count for name, count in state.running_by_id.items() if count
        },
        'tallies': [
            [upstream_id, counts.n_attempts, counts.n_failures]
            for upstream_id, counts in (
                state.upstream_health.own_counts_by_id.items()
            )
            if counts.changed_s >= now_s - _REPEAT_WINDOW_S
        ],
        'evidence': [
            _make_evidence_row(key, counts)
            for key, counts in iter_own_evidence(state)
            if counts.changed_s >= now_s - _REPEAT_WINDOW_S
        ],
    }


def mark_digests_forwarded(state: NodeState) -> None:
    """Mark the digests of other cells as forwarded to the cell peers."""
    for received in state.digests_by_cell.values():
        received.must_forward = False


def make_remote_fields(
    state: NodeState, now_s: float, has_counts: bool, is_digest_due: bool
) -> dict[str, Any]:
    """Return the fields that are the same in messages to other cells."""
    fields = _make_common_fields(state, now_s, Audience.other_cells)
    if has_counts:
        fields['sessions'] = list(_iter_sessions(state, now_s))
    if is_digest_due:
        fields['digests'] = [_make_cell_digest(state, now_s)]
    return fields


def take_small_pages(
    state: NodeState, receiver: Receiver, now_s: float
) -> list[PageRow]:
    """Return the changes a peer may be missing, up to the first large one.

    Each change is sent to a peer once, and again when a later message from
    the peer shows that it is still missing. Small changes after a large one
    are left out too, since a peer applies the changes of a table only in
    order.

    Args:
        state: State of this node; records what was sent to the peer.
        receiver: Peer to send to.
        now_s: Current time, in seconds.
    """
    small = itertools.takewhile(
        lambda page: len(page.packed) <= _MAX_SMALL_PAGE_BYTES,
        _list_missing_pages(state, receiver, now_s),
    )
    return [_record_sent_page(page, receiver.node_id, now_s) for page in small]


def take_pages(
    state: NodeState, receiver: Receiver, now_s: float
) -> list[PageRow]:
    """Return the changes a peer may be missing, as many as fit in a message.

    At least one is returned, even if it exceeds the size limit.

    Args:
        state: State of this node; records what was sent to the peer.
        receiver: Peer to send to.
        now_s: Current time, in seconds.
    """
    pages = _list_missing_pages(state, receiver, now_s)
    ends = itertools.accumulate(len(page.packed) for page in pages)
    n_fitting = sum(end <= _MAX_PAGES_BYTES for end in ends)
    chosen = pages[: max(1, n_fitting)]
    return [_record_sent_page(page, receiver.node_id, now_s) for page in chosen]


def _list_missing_pages(
    state: NodeState, receiver: Receiver, now_s: float
) -> list[ChangePage]:
    recent = _iter_recent_pages(state, now_s)
    return [page for page in recent if _may_be_missing(page, receiver)]


def _may_be_missing(page: ChangePage, receiver: Receiver) -> bool:
    if page.is_from_cell_peer and receiver.is_cell_peer:
        return False
    if receiver.changes[page.table_number] >= page.change:
        return False
    sent_s = page.sent_s_by_id.get(receiver.node_id)
    return sent_s is None or receiver.received_s - sent_s > _IN_TRANSIT_S


def _record_sent_page(page: ChangePage, node_id: str, now_s: float) -> PageRow:
    """Record when changes were sent to a peer; return them encoded."""
    page.sent_s_by_id[node_id] = now_s
    return (page.table_number, page.after, page.page.version, page.packed)


def expire_gossip(state: NodeState, now_s: float) -> None:
    """Choose the reports of a round, and drop old ones and expired digests."""
    plan = state.gossip_plan
    max_bytes = plan_report_bytes(
        state.settings.link_bytes_per_s,
        len(plan.cell_peers) + len(plan.bridge_peers),
        ROUND_INTERVAL_S,
    )
    start_report_round(state.crash_reports, max_bytes)
    expire_blocks(
        state.crash_guard, read_cluster_clock_s(state.cluster_clock, now_s)
    )
    max_age_s = _DIGEST_TTL_S + state.members.gossip_interval_s
    for cell, received in list(state.digests_by_cell.items()):
        if now_s - received.created_s > max_age_s:
            state.digests_by_cell.pop(cell)
            remove_peer_loads(state.peer_loads, cell)


def _make_common_fields(
    state: NodeState, now_s: float, audience: Audience
) -> dict[str, Any]:
    return {
        **make_crash_fields(state, audience),
        'cell': state.gossip_plan.cell,
        'proofs': make_staleness_rows(state, now_s),
        'members': [
            _make_member_row(peer, now_s)
            for peer in _iter_members_to_share(state, now_s)
        ],
        'leavers': list(
            iter_leaving_upstreams(state.notices, state.upstream_registry.by_id)
        ),
        'limits': list(_iter_limits(state, now_s)),
        'rollouts': [
            _make_rollout_row(rollout, now_s)
            for rollout in state.rollouts_by_service.values()
        ],
    }


def _iter_limits(state: NodeState, now_s: float) -> Iterator[LimitRow]:
    known_ids = list(state.upstream_limits.by_id)
    repeated_ids = state.random_source.sample(
        known_ids, min(len(known_ids), _N_REPEATED_LIMITS)
    )
    since_s = read_cluster_clock_s(
        state.cluster_clock, now_s - _REPEAT_WINDOW_S
    )
    for upstream_id, limit in iter_limits_to_gossip(
        state.upstream_limits, since_s, repeated_ids
    ):
        yield (
            upstream_id,
            limit.per_s,
            limit.is_ended,
            limit.since_s,
            limit.observed_s,
        )


def _iter_sessions(state: NodeState, now_s: float) -> Iterator[list[Any]]:
    share = plan_largest_canary_share(state.settings.bounds.exposure_share)
    recent = iter_sessions_to_gossip(
        state.sessions, now_s - _REPEAT_WINDOW_S, share
    )
    for key, use in recent:
        yield [key, use.version, int((now_s - use.used_s) * _MS)]


def _make_cell_digest(state: NodeState, now_s: float) -> CellDigest:
    # In a fixed order, as all that is encoded: a play repeats by its seed.
    cell_peer_ids = dict.fromkeys(
        peer.node_id for peer in state.gossip_plan.cell_peers
    )
    members = [
        _make_member_row(peer, now_s)
        for peer in iter_alive(state.members, now_s)
        if peer.node_id in cell_peer_ids
    ]
    own = replace(describe_self(state), last_seen_s=now_s)
    members.append(_make_member_row(own, now_s))
    evidence = [
        _make_evidence_row(key, counts)
        for key, counts in iter_aggregated_evidence(
            state, now_s - _REPEAT_WINDOW_S * 2
        )
    ]
    running_by_id = _sum_in_progress(state, cell_peer_ids)
    summary = CellSummary(members, running_by_id, evidence)
    return CellDigest(state.gossip_plan.cell, 0, pack_summary(summary))


def _sum_in_progress(
    state: NodeState, cell_peer_ids: Iterable[str]
) -> dict[str, int]:
    running_by_id = Counter(state.running_by_id)
    for node_id in cell_peer_ids:
        reported_by_id = state.peer_loads.running_by_source.get(node_id, {})
        running_by_id.update(reported_by_id)
    return {name: count for name, count in running_by_id.items() if count}


def _iter_digests_to_forward(
    state: NodeState, now_s: float
) -> Iterator[CellDigest]:
    """Yield the digests of other cells that are not yet forwarded."""
    for received in state.digests_by_cell.values():
        if received.must_forward:
            age_s = now_s - received.created_s
            yield msgspec.structs.replace(received.digest, age_s=age_s)


def _make_member_row(peer: Peer, now_s: float) -> list[Any]:
    return [
        peer.node_id,
        peer.data_centre,
        peer.peer_address,
        peer.client_address,
        peer.is_ready,
        int((now_s - peer.last_seen_s) * _MS),
    ]


def _make_evidence_row(
    key: tuple[str, str], counts: EvidenceCounts
) -> list[Any]:
    return [*key, counts.n_responses, counts.n_errors, counts.n_slow]


def make_staleness_rows(state: NodeState, now_s: float) -> list[ProofRow]:
    """Return what this node knows of its copy of each table."""
    return [
        _make_staleness_row(staleness, now_s)
        for staleness in (
            state.configuration_staleness,
            state.upstream_staleness,
        )
    ]


def _make_staleness_row(staleness: TableStaleness, now_s: float) -> ProofRow:
    age_s = -1.0
    if staleness.current_as_of_s is not None:
        age_s = staleness_s(staleness, now_s)
    return (
        staleness.read_version,
        staleness.change,
        staleness.known_since,
        age_s,
    )


def _iter_members_to_share(state: NodeState, now_s: float) -> Iterator[Peer]:
    """Yield recently joined peers, and a random one to repair losses."""
    yield from iter_recently_joined(state.members, now_s)
    alive = list(iter_alive(state.members, now_s))
    if alive:
        yield state.random_source.choice(alive)


def _iter_recent_pages(state: NodeState, now_s: float) -> Iterator[ChangePage]:
    return (
        page
        for page in state.recent_pages
        if page.read_s >= now_s - _REPEAT_WINDOW_S
    )


def _make_rollout_row(rollout: RolloutState, now_s: float) -> list[Any]:
    order = rollout.order
    return [
        order.service,
        order.version,
        order.duration_s,
        order.number,
        int(rollout.phase),
        now_s - rollout.began_s,
    ]
