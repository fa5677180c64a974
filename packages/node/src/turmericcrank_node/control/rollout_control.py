"""Advances rollouts through their phases in the platform's store.

Any node may advance a rollout. The node with the lowest rank tries first,
and the conditional write lets exactly one node succeed. A node that starts
during a rollout reads the row before it sends requests to the new version.
"""

from dataclasses import dataclass, field

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.membership import plan_member_rank
from turmericcrank_core.rollout_orders import OrderRelation, compare_stored
from turmericcrank_core.rollout_phases import (
    RolloutPhase,
    RolloutState,
    may_follow,
    merge_state,
    plan_phase,
)
from turmericcrank_core.store_backoff import (
    plan_step_delay_s,
    plan_step_retry_delay_s,
)

from turmericcrank_node.control.version_evidence import (
    count_version_responses,
    find_version_fault,
)
from turmericcrank_node.platform_port import (
    Conflict,
    RolloutRow,
    StoreUnavailable,
)
from turmericcrank_node.state.node_state import NodeState, read_boottime_s

__all__ = ('run_rollout_control',)

_POLL_INTERVAL_S = 0.1
_MS = 1000


@dataclass(slots=True)
class _PendingStep:
    """A phase that is due but not yet stored, and since when it is due."""

    phase: RolloutPhase
    since_s: float


@dataclass(slots=True)
class RolloutControl:
    """State of the rollout control task.

    Attributes:
        pending_by_service: Due phases.
        tried_s_by_service: Time of the last attempt to store a phase, in
            seconds.
    """

    pending_by_service: dict[str, _PendingStep] = field(default_factory=dict)
    tried_s_by_service: dict[str, float] = field(default_factory=dict)


async def run_rollout_control(state: NodeState) -> None:
    """Advance all rollouts periodically, without end."""
    control = RolloutControl()
    while True:
        await trio.sleep(_POLL_INTERVAL_S)
        for rollout in list(state.rollouts_by_service.values()):
            if not rollout.phase.is_final:
                await _advance_rollout(state, control, rollout)


async def _advance_rollout(
    state: NodeState, control: RolloutControl, rollout: RolloutState
) -> None:
    order = rollout.order
    now_s = read_boottime_s()
    fault = _detect_fault(state, rollout)
    planned = plan_phase(
        rollout, fault, state.settings.bounds.exposure_share, now_s
    )
    if planned is None:
        control.pending_by_service.pop(order.service, None)
        return
    pending = control.pending_by_service.get(order.service)
    if pending is None or pending.phase is not planned:
        pending = _PendingStep(planned, now_s)
        control.pending_by_service[order.service] = pending
    tried_s = control.tried_s_by_service.get(order.service, 0)
    if _may_try_now(state, now_s - pending.since_s, now_s - tried_s):
        control.tried_s_by_service[order.service] = now_s
        await _write_phase(state, rollout, planned, fault)


def _may_try_now(
    state: NodeState, due_for_s: float, tried_ago_s: float
) -> bool:
    """Return whether this node may now try to write a due phase.

    Args:
        state: The node.
        due_for_s: Time since the phase became due, in seconds.
        tried_ago_s: Time since this node's last attempt, in seconds.
    """
    rank = plan_member_rank(
        state.members, state.settings.node_id, read_boottime_s()
    )
    is_reading_cell = state.gossip_plan.is_reading_cell
    if due_for_s < plan_step_delay_s(rank, is_reading_cell):
        return False
    return tried_ago_s >= plan_step_retry_delay_s(rank, is_reading_cell)


def _detect_fault(state: NodeState, rollout: RolloutState) -> str:
    """Return the signal by which a new version is bad; empty if it is not.

    Once found, the signal is kept for the rest of the rollout.
    """
    order = rollout.order
    known = state.abort_reasons_by_order.get((order.service, order.number), '')
    fault = known or find_version_fault(state, order.service, order.number)
    if fault and not known:
        state.abort_reasons_by_order[order.service, order.number] = fault
        state.log.write(
            EventCode.rollout_stopped,
            service=order.service,
            version=order.version,
            sign=fault,
            answers=count_version_responses(state, order.service, order.number),
        )
    return fault


async def _write_phase(
    state: NodeState,
    rollout: RolloutState,
    planned: RolloutPhase,
    fault: str,
) -> None:
    store = state.platform.store
    row = await store.read_rollout(rollout.order.service)
    if isinstance(row, StoreUnavailable):
        return
    if row is not None:
        rollout = _follow_stored(state, rollout, row, planned)
    if rollout is None:
        return
    order = rollout.order
    began_ms = (rollout.began_s + state.store_clock_offset_s) * _MS
    version = row.version if row else 0
    written = await store.write_rollout(
        RolloutRow(order, planned, began_ms, version)
    )
    if isinstance(written, (Conflict, StoreUnavailable)):
        return
    state.log.write(
        EventCode.rollout_step,
        service=order.service,
        version=order.version,
        phase=planned.name,
        sign=fault,
        answers=count_version_responses(state, order.service, order.number),
        age_s=round(read_boottime_s() - rollout.began_s, 2),
    )
    _merge_rollout(state, RolloutState(order, planned, rollout.began_s))


def _follow_stored(
    state: NodeState,
    rollout: RolloutState,
    row: RolloutRow,
    planned: RolloutPhase,
) -> RolloutState | None:
    """Follow an order as it is stored, unless that is an earlier one.

    Returns:
        The rollout to advance; None if the planned phase may not be written.
    """
    service = row.order.service
    known = state.known_orders_by_service.get(service)
    relation = compare_stored(rollout.order, known, row.order, row.version)
    if relation is OrderRelation.earlier:
        return rollout
    began_s = row.began_ms / _MS - state.store_clock_offset_s
    stored = RolloutState(row.order, row.phase, began_s)
    own = state.rollouts_by_service.get(service)
    if own is not None and own.order != row.order:
        state.rollouts_by_service[service] = stored
    _merge_rollout(state, stored)
    may_write = relation is OrderRelation.same and may_follow(
        row.phase, planned
    )
    return stored if may_write else None


def _merge_rollout(state: NodeState, reported: RolloutState) -> None:
    service = reported.order.service
    own = state.rollouts_by_service.get(service)
    state.rollouts_by_service[service] = merge_state(own, reported)
    state.request_gossip()
