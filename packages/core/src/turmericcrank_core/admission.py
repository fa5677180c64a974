"""Admits requests by the rate and concurrency of their team."""

from dataclasses import dataclass, field

from expression import Error, Ok, Result

from turmericcrank_core.codes import ResultCode
from turmericcrank_core.errors import Refusal

__all__ = (
    'AdmissionBook',
    'Rank',
    'TeamLimits',
    'TeamUse',
    'admit_request',
    'note_begin',
    'note_over',
    'note_short',
    'plan_rank',
    'plan_room_share',
    'release_request',
)

_LONGEST_WAIT_S = 60
_LOWEST_PRIORITY = 9
_PRIORITY_RESERVE = 0.08
_TEAM_RESERVE = 0.012
_SHORT_S = 0.1


@dataclass(slots=True, frozen=True)
class TeamLimits:
    """Limits of one team at one node.

    Attributes:
        rate_per_s: Requests a second in the long run.
        burst: Requests that may come at once.
        concurrency: Requests in progress.
    """

    rate_per_s: float
    burst: float
    concurrency: int


@dataclass(slots=True)
class TeamUse:
    """What a team uses now.

    Attributes:
        tokens: Requests that may come at once now.
        filled_s: Monotonic time at which the tokens were counted.
        n_running: Requests in progress.
    """

    tokens: float
    filled_s: float
    n_running: int = 0


@dataclass(slots=True, frozen=True, order=True)
class Rank:
    """Order in which requests get room; the smallest is served first.

    Attributes:
        priority: Priority of the route, 0 to 9.
        is_over: Whether the team has more than its equal part.
    """

    priority: int
    is_over: bool


@dataclass(slots=True)
class AdmissionBook:
    """Use of every team at one node.

    Attributes:
        uses_by_team: Rates and requests in progress.
        n_by_priority: Requests at upstreams, by priority and team.
        short_until_by_rank: Until when a rank counts as short of room.
    """

    uses_by_team: dict[str, TeamUse] = field(default_factory=dict)
    n_by_priority: dict[int, dict[str, int]] = field(default_factory=dict)
    short_until_by_rank: dict[Rank, float] = field(default_factory=dict)


def admit_request(
    book: AdmissionBook, team: str, limits: TeamLimits, now_s: float
) -> Result[None, Refusal]:
    """Admit one request, or refuse it with the time to come back.

    Args:
        book: Changed in place.
        team: Team of the caller.
        limits: Limits of this team.
        now_s: Monotonic time, in seconds.
    """
    use = book.uses_by_team.setdefault(team, TeamUse(limits.burst, now_s))
    earned = (now_s - use.filled_s) * limits.rate_per_s
    use.tokens = min(limits.burst, use.tokens + earned)
    use.filled_s = now_s
    if use.n_running >= limits.concurrency:
        return Error(Refusal(ResultCode.team_concurrency, retry_after_s=1))
    if use.tokens < 1:
        wait_s = min(_LONGEST_WAIT_S, (1 - use.tokens) / limits.rate_per_s)
        return Error(Refusal(ResultCode.team_rate, retry_after_s=wait_s))
    use.tokens -= 1
    use.n_running += 1
    return Ok(None)


def plan_rank(book: AdmissionBook, team: str, priority: int) -> Rank:
    """Rank a request: first by priority, then by what its team has already.

    A team that has more in progress than an equal part for each active team
    of its priority ranks behind the others.

    Args:
        book: What runs now.
        team: Team of the caller.
        priority: 0 is served first, 9 last.
    """
    n_by_team = book.n_by_priority.get(priority, {})
    n_own = n_by_team.get(team, 0)
    is_over = n_own * len(n_by_team) > sum(n_by_team.values())
    return Rank(priority, is_over)


def plan_room_share(book: AdmissionBook, rank: Rank, now_s: float) -> float:
    """Give the share of a pool's capacity that a request may fill.

    A lower rank leaves a little room, so that a higher one seldom finds
    none. Where a higher rank was refused all the same, the lower ones get
    nothing for a short time, and what ends makes room for the higher one.

    Args:
        book: What runs now, and who was refused.
        rank: Rank of the request.
        now_s: Monotonic time, in seconds.
    """
    for short, until_s in book.short_until_by_rank.items():
        if short < rank and now_s < until_s:
            return 0
    share = 1 - _PRIORITY_RESERVE * rank.priority / _LOWEST_PRIORITY
    return share - _TEAM_RESERVE * rank.is_over


def note_short(book: AdmissionBook, rank: Rank, now_s: float) -> None:
    """Remember that a request of this rank found no room."""
    book.short_until_by_rank[rank] = now_s + _SHORT_S


def note_begin(book: AdmissionBook, team: str, priority: int) -> None:
    """Count a request that goes to an upstream."""
    n_by_team = book.n_by_priority.setdefault(priority, {})
    n_by_team[team] = n_by_team.get(team, 0) + 1


def note_over(book: AdmissionBook, team: str, priority: int) -> None:
    """Count the end of a request that went to an upstream."""
    n_by_team = book.n_by_priority[priority]
    n_by_team[team] -= 1
    if not n_by_team[team]:
        n_by_team.pop(team)


def release_request(book: AdmissionBook, team: str) -> None:
    """Count the end of an admitted request."""
    book.uses_by_team[team].n_running -= 1
