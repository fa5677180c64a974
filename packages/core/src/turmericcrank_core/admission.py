"""Admission control: rate and concurrency limits and request priorities."""

from dataclasses import dataclass, field

from expression import Error, Ok, Result

from turmericcrank_core.codes import ResultCode
from turmericcrank_core.errors import Refusal

__all__ = (
    'AdmissionRank',
    'AdmissionState',
    'TeamLimits',
    'TeamUsage',
    'admit_request',
    'plan_capacity_share',
    'plan_request_rank',
    'record_shortage',
    'record_upstream_end',
    'record_upstream_start',
    'release_request',
)

_MAX_RETRY_AFTER_S = 60
_LOWEST_PRIORITY = 9
_PRIORITY_RESERVE = 0.08
_TEAM_RESERVE = 0.012
_SHORTAGE_S = 0.1


@dataclass(slots=True, frozen=True)
class TeamLimits:
    """Limits of one team at one node.

    Attributes:
        rate_per_s: Sustained requests per second; refill rate of the token
            bucket.
        burst: Size of the token bucket, in requests.
        concurrency: Maximum number of requests in progress.
    """

    rate_per_s: float
    burst: float
    concurrency: int


@dataclass(slots=True)
class TeamUsage:
    """Current usage of one team.

    Attributes:
        tokens: Tokens in the bucket, one for each request.
        refilled_s: Monotonic time of the last refill.
        n_running: Requests in progress.
    """

    tokens: float
    refilled_s: float
    n_running: int = 0


@dataclass(slots=True, frozen=True, order=True)
class AdmissionRank:
    """Order in which requests get capacity; the smallest is served first.

    Attributes:
        priority: Priority of the route, 0 to 9.
        is_over: Whether the team exceeds its fair share.
    """

    priority: int
    is_over: bool


@dataclass(slots=True)
class AdmissionState:
    """Admission state of one node.

    Attributes:
        usage_by_team: Token bucket and requests in progress by team.
        n_by_priority: Requests at upstreams, by priority and team.
        shortage_until_by_rank: Monotonic time until which a rank counts as
            short of capacity.
    """

    usage_by_team: dict[str, TeamUsage] = field(default_factory=dict)
    n_by_priority: dict[int, dict[str, int]] = field(default_factory=dict)
    shortage_until_by_rank: dict[AdmissionRank, float] = field(
        default_factory=dict
    )


def admit_request(
    state: AdmissionState, team: str, limits: TeamLimits, now_s: float
) -> Result[None, Refusal]:
    """Admit one request, or reject it with the time until a retry.

    Args:
        state: Modified in place.
        team: Team of the client.
        limits: Limits of this team.
        now_s: Monotonic time, in seconds.
    """
    usage = state.usage_by_team.setdefault(team, TeamUsage(limits.burst, now_s))
    refill = (now_s - usage.refilled_s) * limits.rate_per_s
    usage.tokens = min(limits.burst, usage.tokens + refill)
    usage.refilled_s = now_s
    if usage.n_running >= limits.concurrency:
        return Error(Refusal(ResultCode.team_concurrency, retry_after_s=1))
    if usage.tokens < 1:
        wait_s = min(_MAX_RETRY_AFTER_S, (1 - usage.tokens) / limits.rate_per_s)
        return Error(Refusal(ResultCode.team_rate, retry_after_s=wait_s))
    usage.tokens -= 1
    usage.n_running += 1
    return Ok(None)


def plan_request_rank(
    state: AdmissionState, team: str, priority: int
) -> AdmissionRank:
    """Rank a request by priority, then by its team's share of the load.

    A team that has more requests in progress than an equal share among the
    active teams of its priority ranks behind the others.

    Args:
        state: Requests in progress.
        team: Team of the client.
        priority: 0 is served first, 9 last.
    """
    n_by_team = state.n_by_priority.get(priority, {})
    n_own = n_by_team.get(team, 0)
    is_over = n_own * len(n_by_team) > sum(n_by_team.values())
    return AdmissionRank(priority, is_over)


def plan_capacity_share(
    state: AdmissionState, rank: AdmissionRank, now_s: float
) -> float:
    """Return the share of a pool's capacity that a request may use.

    Requests that rank later leave some capacity in reserve for those that
    rank earlier. When an earlier rank found no capacity all the same, later
    ranks get none for a short time, so that finished requests free capacity
    for the earlier rank.

    Args:
        state: Requests in progress and recent shortages.
        rank: Rank of the request.
        now_s: Monotonic time, in seconds.
    """
    for short_rank, until_s in state.shortage_until_by_rank.items():
        if short_rank < rank and now_s < until_s:
            return 0
    share = 1 - _PRIORITY_RESERVE * rank.priority / _LOWEST_PRIORITY
    return share - _TEAM_RESERVE * rank.is_over


def record_shortage(
    state: AdmissionState, rank: AdmissionRank, now_s: float
) -> None:
    """Record that a request of this rank found no free capacity."""
    state.shortage_until_by_rank[rank] = now_s + _SHORTAGE_S


def record_upstream_start(
    state: AdmissionState, team: str, priority: int
) -> None:
    """Count a request that is sent to an upstream."""
    n_by_team = state.n_by_priority.setdefault(priority, {})
    n_by_team[team] = n_by_team.get(team, 0) + 1


def record_upstream_end(
    state: AdmissionState, team: str, priority: int
) -> None:
    """Count the end of a request that was sent to an upstream."""
    n_by_team = state.n_by_priority[priority]
    n_by_team[team] -= 1
    if not n_by_team[team]:
        n_by_team.pop(team)


def release_request(state: AdmissionState, team: str) -> None:
    """Count the end of an admitted request."""
    state.usage_by_team[team].n_running -= 1
