"""Admits requests by the rate and concurrency of their team."""

from dataclasses import dataclass, field

from expression import Error, Ok, Result

from turmericcrank_core.codes import ResultCode
from turmericcrank_core.errors import Refusal

__all__ = (
    'AdmissionBook',
    'TeamLimits',
    'TeamUse',
    'admit_request',
    'release_request',
)

_LONGEST_WAIT_S = 60


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


@dataclass(slots=True)
class AdmissionBook:
    """Use of every team at one node."""

    uses_by_team: dict[str, TeamUse] = field(default_factory=dict)


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


def release_request(book: AdmissionBook, team: str) -> None:
    """Count the end of an admitted request."""
    book.uses_by_team[team].n_running -= 1
