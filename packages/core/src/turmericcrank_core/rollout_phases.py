"""Moves a roll-out that the operators ordered through its phases.

A roll-out begins with a small, constant share of new sessions. In its
second half, with enough good answers, every request goes to the new
version, and some time before its deadline it is done. A fault found at any
moment before that rolls it back. The phase is one row in the platform's
store, moved under a condition, so it never goes back whoever moves it.
"""

import enum
from dataclasses import dataclass

__all__ = (
    'RolloutOrder',
    'RolloutPhase',
    'RolloutState',
    'merge_state',
    'plan_phase',
)

_FULL_AT = 0.53
_FULL_AT_LATEST = 0.62
_DONE_AT = 0.86
_MIN_ANSWERS = 12


class RolloutPhase(enum.IntEnum):
    """How far a roll-out is; a later phase has the higher number."""

    ordered = 0
    canary = 1
    full = 2
    done = 3
    rolled_back = 4

    @property
    def is_final(self) -> bool:
        """Tell whether nothing follows."""
        return self >= RolloutPhase.done


@dataclass(slots=True, frozen=True)
class RolloutOrder:
    """What the operators ordered.

    Attributes:
        service: Service whose requests move.
        version: Version that they move to.
        duration_s: Time until it has to be done, in seconds.
        number: Version of the order's row in the store; a higher one is a
            newer order.
    """

    service: str
    version: str
    duration_s: float
    number: int


@dataclass(slots=True, frozen=True)
class RolloutState:
    """How far an order is.

    Attributes:
        order: The order.
        phase: Its phase.
        began_s: When it was ordered, on this node's clock, in seconds.
    """

    order: RolloutOrder
    phase: RolloutPhase
    began_s: float


def plan_phase(
    state: RolloutState, n_answers: int, fault: str, now_s: float
) -> RolloutPhase | None:
    """Plan the next phase.

    Args:
        state: Where the roll-out is.
        n_answers: Answers of the new version that all nodes have seen.
        fault: By which sign the new version is bad; empty while it is not.
        now_s: Now, in seconds.

    Returns:
        The next phase, or None while nothing changes.
    """
    if state.phase.is_final:
        return None
    if state.phase is RolloutPhase.ordered:
        return RolloutPhase.canary
    if fault:
        return RolloutPhase.rolled_back
    part = (now_s - state.began_s) / state.order.duration_s
    if state.phase is RolloutPhase.full:
        return RolloutPhase.done if part >= _DONE_AT else None
    is_proven = n_answers >= _MIN_ANSWERS or part >= _FULL_AT_LATEST
    if part >= _FULL_AT and is_proven:
        return RolloutPhase.full
    return None


def merge_state(own: RolloutState | None, told: RolloutState) -> RolloutState:
    """Keep the newer order and, within one order, the later phase."""
    if own is None or told.order.number > own.order.number:
        return told
    if told.order.number < own.order.number:
        return own
    began_s = min(own.began_s, told.began_s)
    return RolloutState(own.order, max(own.phase, told.phase), began_s)
