"""Merges received gossip messages into the state of this node."""

from collections.abc import Iterable, Iterator

from turmericcrank_core.cluster_clock import (
    advance_cluster_clock,
    read_cluster_clock_s,
)
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.membership import (
    Peer,
    record_peer,
    record_relayed_peer,
)
from turmericcrank_core.peer_loads import record_peer_loads
from turmericcrank_core.rollout_orders import resolve_report
from turmericcrank_core.rollout_phases import (
    RolloutOrder,
    RolloutPhase,
    RolloutState,
    merge_state,
)
from turmericcrank_core.table_staleness import (
    PeerTableState,
    can_apply_page,
    record_peer_page,
    record_peer_state,
)
from turmericcrank_core.upstream_health import merge_peer_counts
from turmericcrank_core.upstream_limits import NamedLimit
from turmericcrank_core.upstream_notices import record_leaving
from turmericcrank_core.version_choice import record_session

from turmericcrank_node.control.version_evidence import merge_reported_evidence
from turmericcrank_node.membership.crash_rows import parse_block, parse_crash
from turmericcrank_node.membership.gossip_message import (
    CellDigest,
    EvidenceRow,
    GossipMessage,
    LimitRow,
    MemberRow,
    PageRow,
    RolloutRow,
    unpack_rows,
    unpack_summary,
)
from turmericcrank_node.platform_port import ChangedRow, FeedPage
from turmericcrank_node.state.crash_reports import Audience
from turmericcrank_node.state.node_state import (
    ChangePage,
    NodeState,
    ReceivedDigest,
)
from turmericcrank_node.state.table_rows import (
    apply_configuration,
    apply_upstreams,
)
from turmericcrank_node.state.table_watch import keep_recent_page
from turmericcrank_node.state.version_counts import EvidenceCounts
from turmericcrank_node.upstreams.poison_detection import (
    merge_crash_report,
    merge_output_report,
    merge_reported_block,
)
from turmericcrank_node.upstreams.request_limits import merge_reported_limit

__all__ = ('merge_message',)

_MS = 1000


def merge_message(
    state: NodeState, message: GossipMessage, now_s: float
) -> bool:
    """Merge one message from a peer.

    Args:
        state: Changed in place.
        message: Message from the peer.
        now_s: When the message was received, in seconds.

    Returns:
        Whether the peer is new, has restarted or was unresponsive.
    """
    is_new = _merge_peer(state, message, now_s)
    advance_cluster_clock(state.cluster_clock, message.cluster_s, now_s)
    for page in message.pages:
        _apply_page(state, message, page, now_s)
    _merge_peer_staleness(state, message)
    if message.running_by_id is not None:
        record_peer_loads(
            state.peer_loads, message.node_id, message.running_by_id
        )
    for key, version, age_ms in message.sessions:
        record_session(state.sessions, key, version, now_s - age_ms / _MS)
    _merge_counts(state, message, now_s)
    has_changes = _merge_crashes(state, message)
    has_changes += [
        record_leaving(state.notices, *leaver, now_s)
        for leaver in message.leavers
    ]
    has_changes += [
        _merge_limit(state, message, row, now_s) for row in message.limits
    ]
    has_changes += [
        _merge_rollout(state, row, now_s) for row in message.rollouts
    ]
    # The cell peers do not receive this message of another cell.
    if message.cell != state.gossip_plan.cell and any(has_changes):
        state.request_gossip()
    for row in message.members:
        _merge_member(state, row, now_s)
    for digest in message.digests:
        _merge_digest(state, message, digest, now_s)
    return is_new


def _merge_crashes(state: NodeState, message: GossipMessage) -> list[bool]:
    """Merge crashes, output of suspects and blocks; tell which are new."""
    source = message.node_id
    audience = _plan_audience(state, message)
    is_new = [
        merge_crash_report(state, parse_crash(*row), source, audience)
        for row in message.crashes
    ]
    is_new += [
        merge_output_report(state, key, at_s, source, audience)
        for key, at_s in message.outputs
    ]
    is_new += [
        merge_reported_block(state, parse_block(*row), source, audience)
        for row in message.blocks
    ]
    return is_new


def _plan_audience(state: NodeState, message: GossipMessage) -> Audience | None:
    """Return who depends on this node for what a peer reports.

    All nodes of the sender's cell hear of it from the sender.
    """
    plan = state.gossip_plan
    if not plan.cell:
        return None
    if message.cell != plan.cell:
        return Audience.own_cell
    return Audience.other_cells if plan.bridge_peers else None


def _merge_counts(
    state: NodeState, message: GossipMessage, now_s: float
) -> None:
    """Merge the peer's counts since its start."""
    node_key = f'{message.node_id}/{message.incarnation}'
    merge_peer_counts(state.upstream_health, node_key, message.tallies, now_s)
    reported_by_key = state.evidence.reported_by_node.setdefault(node_key, {})
    counts_by_key = dict(_iter_evidence(message.evidence))
    merge_reported_evidence(state, reported_by_key, counts_by_key, now_s)


def _iter_evidence(
    rows: Iterable[EvidenceRow],
) -> Iterator[tuple[tuple[str, str], EvidenceCounts]]:
    for version_key, upstream_id, *counts in rows:
        yield (version_key, upstream_id), EvidenceCounts(*counts)


def _merge_peer(state: NodeState, message: GossipMessage, now_s: float) -> bool:
    peer = Peer(
        message.node_id,
        message.incarnation,
        message.data_centre,
        message.peer_address,
        message.client_address,
        message.is_ready,
        now_s,
    )
    is_new = record_peer(state.members, peer)
    if is_new:
        state.log.write(
            EventCode.member_heard,
            member=peer.node_id,
            incarnation=peer.incarnation,
        )
        state.request_gossip()
    return is_new


def _merge_member(state: NodeState, row: MemberRow, now_s: float) -> None:
    *names, is_ready, age_ms = row
    node_id, data_centre, peer_address, client_address = names
    if node_id == state.settings.node_id:
        return
    last_seen_s = now_s - age_ms / _MS
    peer = Peer(
        node_id,
        '',
        data_centre,
        peer_address,
        client_address,
        is_ready,
        last_seen_s,
    )
    record_relayed_peer(state.members, peer)


def _merge_digest(
    state: NodeState, message: GossipMessage, digest: CellDigest, now_s: float
) -> None:
    """Merge the digest of another cell unless a newer one is known."""
    created_s = now_s - digest.age_s
    received = state.digests_by_cell.get(digest.cell)
    is_older = received is not None and received.created_s >= created_s
    if digest.cell == state.gossip_plan.cell or is_older:
        return
    summary = unpack_summary(digest.packed)
    if summary is None:
        state.log.write(EventCode.news_rejected, n_bytes=len(digest.packed))
        return
    must_forward = message.cell == digest.cell
    state.digests_by_cell[digest.cell] = ReceivedDigest(
        digest, created_s, must_forward
    )
    record_peer_loads(state.peer_loads, digest.cell, summary.running_by_id)
    for row in summary.members:
        _merge_member(state, row, created_s)
    reported_by_key = state.evidence.reported_by_cell.setdefault(
        digest.cell, {}
    )
    counts_by_key = dict(_iter_evidence(summary.evidence))
    merge_reported_evidence(state, reported_by_key, counts_by_key, now_s)


def _apply_page(
    state: NodeState, message: GossipMessage, page_row: PageRow, now_s: float
) -> None:
    """Apply changes that a peer has read, if they continue this copy."""
    number, after, version, packed = page_row
    staleness, apply = (
        (state.configuration_staleness, apply_configuration),
        (state.upstream_staleness, apply_upstreams),
    )[number]
    if not can_apply_page(staleness, after, version):
        return
    rows = unpack_rows(packed)
    if not rows:
        state.log.write(EventCode.news_rejected, n_bytes=len(packed))
        return
    page = FeedPage(tuple(ChangedRow(*row) for row in rows), version, 0)
    apply(state, page, is_complete=False)
    record_peer_page(staleness, version, max(row.version for row in page.rows))
    if state.gossip_plan.cell:
        is_from_cell_peer = message.cell == state.gossip_plan.cell
        _forward_page(
            state,
            ChangePage(number, after, page, packed, now_s, is_from_cell_peer),
        )


def _forward_page(state: NodeState, page: ChangePage) -> None:
    """Keep changes for the nodes to which their sender does not send them."""
    keep_recent_page(state, page)
    if state.gossip_plan.bridge_peers or not page.is_from_cell_peer:
        state.request_gossip()


def _merge_peer_staleness(state: NodeState, message: GossipMessage) -> None:
    """Compute how current the peer's tables are, from the echoed send time.

    An echo of a message that an earlier incarnation of this node sent is
    ignored: the clock may have been reset since then.
    """
    has_own_echo = (
        message.echo_s >= 0 and message.echo_incarnation == state.incarnation
    )
    own = (state.configuration_staleness, state.upstream_staleness)
    for staleness, proof in zip(own, message.proofs, strict=True):
        *versions, age_s = proof
        current_as_of_s = float('-inf')
        if has_own_echo and age_s >= 0:
            current_as_of_s = message.echo_s + message.echo_held_s - age_s
        record_peer_state(staleness, PeerTableState(*versions, current_as_of_s))


def _merge_limit(
    state: NodeState, message: GossipMessage, row: LimitRow, now_s: float
) -> bool:
    """Merge a request limit; return whether others must learn of it at once."""
    upstream_id, *statement = row
    return merge_reported_limit(
        state,
        upstream_id,
        NamedLimit(*statement),
        message.node_id,
        read_cluster_clock_s(state.cluster_clock, now_s),
    )


def _merge_rollout(state: NodeState, row: RolloutRow, now_s: float) -> bool:
    """Merge a rollout phase; return whether it changes the known phase."""
    *order_fields, phase, age_s = row
    order = RolloutOrder(*order_fields)
    reported = RolloutState(order, RolloutPhase(phase), now_s - age_s)
    own = state.rollouts_by_service.get(order.service)
    resolved = resolve_report(
        own, state.known_orders_by_service.get(order.service), reported
    )
    if resolved is None:
        return False
    merged = merge_state(own, resolved)
    state.rollouts_by_service[order.service] = merged
    is_new = own is None or merged.phase != own.phase
    if is_new:
        state.log.write(
            EventCode.rollout_heard,
            service=order.service,
            version=order.version,
            phase=merged.phase.name,
        )
    return is_new
