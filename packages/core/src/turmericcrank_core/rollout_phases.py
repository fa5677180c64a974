"""Computes the phases of a rollout that the operators ordered.

A version may be faulty in a way that shows only under load, late, or not at
all in the collected evidence. A rollout therefore limits by construction how
many requests the new version gets before the deadline: a small share of new
sessions (canary phase), then all requests for a short time at the end (full
phase). A fault detected at any time before completion rolls the version back.
The phase is stored in one row of the platform's store and changed by
conditional writes, so it never moves backwards, whichever node writes it.
"""

import enum
from dataclasses import dataclass

__all__ = (
    'RolloutOrder',
    'RolloutPhase',
    'RolloutState',
    'may_follow',
    'merge_state',
    'plan_canary_share',
    'plan_full_s',
    'plan_largest_canary_share',
    'plan_phase',
)

# Fractions of the permitted exposure share that the canary phase and the full
# phase use; together less than 1, so that the limit is kept.
_CANARY_EXPOSURE_FRACTION = 0.35
_FULL_EXPOSURE_FRACTION = 0.62
_DONE_REMAINING_FRACTION = 0.35
_EARLY_SLACK_FRACTION = 0.5
_EARLY_FACTOR = 2.5


class RolloutPhase(enum.IntEnum):
    """Phase of a rollout; a later phase has a higher number."""

    ordered = 0
    canary = 1
    full = 2
    done = 3
    rolled_back = 4

    @property
    def is_final(self) -> bool:
        """Whether the phase is the last one of its rollout."""
        return self >= RolloutPhase.done


# The phases that may be written over each phase. A final one is followed by
# none: the upstreams that it ends do not come back.
_SUCCESSORS = {
    RolloutPhase.ordered: frozenset(
        (RolloutPhase.canary, RolloutPhase.full, RolloutPhase.rolled_back)
    ),
    RolloutPhase.canary: frozenset(
        (RolloutPhase.full, RolloutPhase.rolled_back)
    ),
    RolloutPhase.full: frozenset((RolloutPhase.done, RolloutPhase.rolled_back)),
    RolloutPhase.done: frozenset(),
    RolloutPhase.rolled_back: frozenset(),
}


def may_follow(current: RolloutPhase, planned: RolloutPhase) -> bool:
    """Return whether a phase may be written over another one."""
    return planned in _SUCCESSORS[current]


@dataclass(slots=True, frozen=True)
class RolloutOrder:
    """Rollout order of the operators.

    Attributes:
        service: Service that is rolled out.
        version: New version of the service.
        duration_s: Time from the order to the deadline of the rollout, in
            seconds.
        number: Version of the order's row in the store; a newer order has a
            higher number.
    """

    service: str
    version: str
    duration_s: float
    number: int


@dataclass(slots=True, frozen=True)
class RolloutState:
    """State of a rollout.

    Attributes:
        order: The order.
        phase: Current phase.
        began_s: Time of the order, on this node's clock, in seconds.
    """

    order: RolloutOrder
    phase: RolloutPhase
    began_s: float


def plan_canary_share(
    exposure_share: float, exposure_slack: float, n_responses: int
) -> float:
    """Return the share of new sessions that a canary gets.

    The share is larger for the first requests, so that evidence is available
    early even if there are few requests; the additional ones are covered by
    the slack.

    Args:
        exposure_share: Maximum share of the requests of a service that a new
            version may get before the deadline of its rollout.
        exposure_slack: Number of requests that it may get beyond that share.
        n_responses: Number of responses of the version, over all nodes.
    """
    share = _CANARY_EXPOSURE_FRACTION * exposure_share
    if n_responses < _EARLY_SLACK_FRACTION * exposure_slack:
        share *= _EARLY_FACTOR
    return share


def plan_largest_canary_share(exposure_share: float) -> float:
    """Return the largest share of new sessions that a canary can get."""
    return _CANARY_EXPOSURE_FRACTION * exposure_share * _EARLY_FACTOR


def plan_full_s(duration_s: float, exposure_share: float) -> float:
    """Return how long before the deadline the full phase begins, in seconds."""
    return _FULL_EXPOSURE_FRACTION * exposure_share * duration_s


def plan_phase(
    state: RolloutState, fault_signal: str, exposure_share: float, now_s: float
) -> RolloutPhase | None:
    """Return the next phase of a rollout.

    Args:
        state: Current state of the rollout.
        fault_signal: Signal by which the new version was found faulty; empty if
            none.
        exposure_share: Maximum share of the requests that the new version
            may get before the deadline.
        now_s: Current time, in seconds.

    Returns:
        The next phase, or None if the phase does not change.
    """
    if state.phase.is_final:
        return None
    if state.phase is RolloutPhase.ordered:
        return RolloutPhase.canary
    if fault_signal:
        return RolloutPhase.rolled_back
    duration_s = state.order.duration_s
    remaining_s = state.began_s + duration_s - now_s
    full_s = plan_full_s(duration_s, exposure_share)
    if state.phase is RolloutPhase.full:
        return (
            RolloutPhase.done
            if remaining_s <= _DONE_REMAINING_FRACTION * full_s
            else None
        )
    if remaining_s <= full_s:
        return RolloutPhase.full
    return None


def merge_state(
    own: RolloutState | None, received: RolloutState
) -> RolloutState:
    """Return the state of the newer order.

    Two states of the same order are merged: the later phase and the earlier
    start time are kept.
    """
    if own is None or received.order.number > own.order.number:
        return received
    if received.order.number < own.order.number:
        return own
    began_s = min(own.began_s, received.began_s)
    return RolloutState(own.order, max(own.phase, received.phase), began_s)
