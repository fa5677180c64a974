"""Moves a roll-out that the operators ordered through its phases.

A version may be bad in a way that shows only under load, or late, or not at
all in what is seen of it. So a roll-out limits by construction how many
requests the new version gets before its deadline: a small, constant share
of new sessions, then every request for a short last part. A fault found at
any moment rolls it back. The phase is one row in the platform's store,
moved under a condition, so it never goes back whoever moves it.
"""

import enum
from dataclasses import dataclass

__all__ = (
    'RolloutOrder',
    'RolloutPhase',
    'RolloutState',
    'merge_state',
    'plan_canary_share',
    'plan_full_s',
    'plan_largest_canary_share',
    'plan_phase',
)

_CANARY_PART = 0.35
_FULL_PART = 0.62
_DONE_PART = 0.35
_EARLY_PART = 0.5
_EARLY_FACTOR = 2.5


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


def plan_canary_share(
    exposure_share: float, exposure_slack: float, n_answers: int
) -> float:
    """Plan the share of new sessions that a young roll-out gets.

    The first requests get a larger share, so that there is evidence early
    where requests are few; they come out of the slack.

    Args:
        exposure_share: Largest share of the requests of a service that a
            version may get before its roll-out has to be done.
        exposure_slack: Requests that it may get beyond that share.
        n_answers: Answers of the version that all nodes have seen.
    """
    share = _CANARY_PART * exposure_share
    if n_answers < _EARLY_PART * exposure_slack:
        share *= _EARLY_FACTOR
    return share


def plan_largest_canary_share(exposure_share: float) -> float:
    """Plan the largest share of new sessions that a young roll-out gets."""
    return _CANARY_PART * exposure_share * _EARLY_FACTOR


def plan_full_s(duration_s: float, exposure_share: float) -> float:
    """Plan how long before the deadline every request moves, in seconds."""
    return _FULL_PART * exposure_share * duration_s


def plan_phase(
    state: RolloutState, fault: str, exposure_share: float, now_s: float
) -> RolloutPhase | None:
    """Plan the next phase.

    Args:
        state: Where the roll-out is.
        fault: By which sign the new version is bad; empty while it is not.
        exposure_share: Largest share of the requests that it may get.
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
    duration_s = state.order.duration_s
    left_s = state.began_s + duration_s - now_s
    full_s = plan_full_s(duration_s, exposure_share)
    if state.phase is RolloutPhase.full:
        return RolloutPhase.done if left_s <= _DONE_PART * full_s else None
    if left_s <= full_s:
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
