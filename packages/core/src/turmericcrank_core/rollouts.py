"""Shares of a roll-out and the automatic stop.

The step of a roll-out is a row in the platform's store, moved by the holder
of the roll-out leader's lease, so it goes on after any node is lost and waits
while the store is down. A stop is final for this start of the roll-out.
"""

from dataclasses import dataclass
from typing import Any

from turmericcrank_core.tables import Rollout, Route

__all__ = (
    'RolloutProgress',
    'check_progress',
    'choose_first_pool',
    'make_rollout_key',
    'plan_step',
    'write_progress',
)

_PERCENT = 100


@dataclass(slots=True, frozen=True)
class RolloutProgress:
    """How far a roll-out is.

    Attributes:
        step: Index of the current step.
        since_s: When the step began, seconds since the epoch.
        stopped: Why it was stopped; empty while it goes on.
    """

    step: int
    since_s: float
    stopped: str = ''


def make_rollout_key(route_name: str, rollout: Rollout) -> str:
    """Name one start of a roll-out; a new start has a new name."""
    return f'{route_name}/{rollout.pool}/{rollout.started_s}'


def plan_step(
    rollout: Rollout,
    progress: RolloutProgress | None,
    has_evidence: bool,
    now_s: float,
) -> RolloutProgress | None:
    """Plan the next change of the progress.

    Args:
        rollout: The row of the table.
        progress: What the store holds; None before the first step.
        has_evidence: Whether answers of this step were seen and rated.
        now_s: Seconds since the epoch.

    Returns:
        The new progress, or None when nothing changes. Without evidence,
        for instance while ratings are down, the step does not move on.
    """
    if progress is None:
        if now_s >= rollout.started_s:
            return RolloutProgress(0, now_s)
        return None
    is_last = progress.step + 1 >= len(rollout.percents)
    if progress.stopped or is_last or not has_evidence:
        return None
    if now_s - progress.since_s < rollout.step_s:
        return None
    return RolloutProgress(progress.step + 1, now_s)


def choose_first_pool(
    route: Route,
    pool_name: str,
    progress: RolloutProgress | None,
    uniform: float,
) -> str:
    """Replace a pool by the roll-out's with the share of the step.

    Args:
        route: Route of the request.
        pool_name: Pool that the policy chose.
        progress: How far the roll-out is; None when not begun.
        uniform: Random number in [0, 1).
    """
    rollout = route.rollout
    if rollout is None or rollout.replaces != pool_name:
        return pool_name
    if progress is None or progress.stopped:
        return pool_name
    percent = rollout.percents[min(progress.step, len(rollout.percents) - 1)]
    if uniform * _PERCENT < percent:
        return rollout.pool
    return pool_name


def check_progress(raw: dict[str, Any] | None) -> RolloutProgress | None:
    """Build the progress from its stored form."""
    if raw is None:
        return None
    return RolloutProgress(raw['step'], raw['since_s'], raw['stopped'])


def write_progress(progress: RolloutProgress) -> dict[str, Any]:
    """Give the stored form of the progress."""
    return {
        'step': progress.step,
        'since_s': progress.since_s,
        'stopped': progress.stopped,
    }
