"""Traffic shares of a gradual rollout, and its automatic stop.

The step of a rollout is a row in the platform's store. The holder of the
rollout leader's lease advances it, so a rollout continues after the loss of
any node and pauses while the store is down. A stopped rollout stays stopped;
it can only be started anew.
"""

from dataclasses import dataclass
from typing import Any

from turmericcrank_core.tables import Rollout, Route

__all__ = (
    'RolloutProgress',
    'apply_rollout',
    'check_progress',
    'make_rollout_key',
    'plan_next_progress',
    'serialize_progress',
)

_PERCENT = 100


@dataclass(slots=True, frozen=True)
class RolloutProgress:
    """Progress of a rollout.

    Attributes:
        step: Index of the current step.
        since_s: Start of the step, seconds since the epoch.
        stopped: Reason of the stop; empty while the rollout continues.
    """

    step: int
    since_s: float
    stopped: str = ''


def make_rollout_key(route_name: str, rollout: Rollout) -> str:
    """Return the key of a rollout; one that is started anew has a new key."""
    return f'{route_name}/{rollout.pool}/{rollout.started_s}'


def plan_next_progress(
    rollout: Rollout,
    progress: RolloutProgress | None,
    has_evidence: bool,
    now_s: float,
) -> RolloutProgress | None:
    """Return the next progress of a rollout.

    Args:
        rollout: Configuration of the rollout.
        progress: Progress in the store; None before the first step.
        has_evidence: Whether answers of this step were observed and rated.
        now_s: Seconds since the epoch.

    Returns:
        The new progress, or None when nothing changes. The step does not
        advance without evidence, for instance during an outage of the
        ratings.
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


def apply_rollout(
    route: Route,
    pool_name: str,
    progress: RolloutProgress | None,
    uniform: float,
) -> str:
    """Return the pool that serves a request of a route with a rollout.

    The rollout's pool replaces the chosen one for the step's traffic share.

    Args:
        route: Route of the request.
        pool_name: Pool that the policy chose.
        progress: Progress of the rollout; None before its start.
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
    """Parse the progress from its stored form."""
    if raw is None:
        return None
    return RolloutProgress(raw['step'], raw['since_s'], raw['stopped'])


def serialize_progress(progress: RolloutProgress) -> dict[str, Any]:
    """Return the stored form of the progress."""
    return {
        'step': progress.step,
        'since_s': progress.since_s,
        'stopped': progress.stopped,
    }
