"""Pools how upstreams do, from real requests of all nodes.

Each node counts what it saw of each upstream since its start and tells the
others the counts, which only grow. The share of bad answers in the recent
past decides whether an upstream rests.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = (
    'OutcomeBook',
    'RecentShare',
    'UpstreamTally',
    'is_resting',
    'note_outcome',
    'note_told_tally',
    'recent_bad_share',
    'rest_upstream',
)

_HALF_LIFE_S = 4
_PRIOR_ANSWERS = 4
_FIRST_REST_S = 0.5
_MAX_REST_S = 4


@dataclass(slots=True)
class UpstreamTally:
    """Counts of one upstream since the start of a node.

    Attributes:
        n_answers: Requests that were sent to it.
        n_bad: Those that failed, broke off or came far too late.
        changed_s: When they last changed, in seconds.
    """

    n_answers: int = 0
    n_bad: int = 0
    changed_s: float = 0


@dataclass(slots=True)
class RecentShare:
    """Counts that fade with time.

    Attributes:
        answers: Faded number of answers.
        bad: Faded number of bad ones.
        at_s: When they were last faded, in seconds.
    """

    answers: float = 0
    bad: float = 0
    at_s: float = 0


@dataclass(slots=True)
class OutcomeBook:
    """What is known of all upstreams.

    Attributes:
        own_by_id: What this node saw.
        told_by_node: What each other node told last, by upstream.
        recent_by_id: Faded counts of all nodes together.
        resting_until_by_id: No new work before this moment, in seconds.
        n_rests_by_id: Rests in a row, without a good answer between.
    """

    own_by_id: dict[str, UpstreamTally] = field(default_factory=dict)
    told_by_node: dict[str, dict[str, UpstreamTally]] = field(
        default_factory=dict
    )
    recent_by_id: dict[str, RecentShare] = field(default_factory=dict)
    resting_until_by_id: dict[str, float] = field(default_factory=dict)
    n_rests_by_id: dict[str, int] = field(default_factory=dict)


def note_outcome(
    book: OutcomeBook, upstream_id: str, is_bad: bool, now_s: float
) -> None:
    """Count one answer that this node saw."""
    tally = book.own_by_id.setdefault(upstream_id, UpstreamTally())
    tally.n_answers += 1
    tally.n_bad += is_bad
    tally.changed_s = now_s
    if not is_bad:
        book.n_rests_by_id.pop(upstream_id, None)
        book.resting_until_by_id.pop(upstream_id, None)
    _add(book, upstream_id, UpstreamTally(1, int(is_bad)), now_s)


def note_told_tally(
    book: OutcomeBook,
    node_key: str,
    rows: Iterable[tuple[str, int, int]],
    now_s: float,
) -> None:
    """Take the counts that another node has told.

    Args:
        book: Changed in place.
        node_key: The node and its incarnation.
        rows: Upstream, answers and bad answers since that node's start.
        now_s: Monotonic time, in seconds.
    """
    told_by_id = book.told_by_node.setdefault(node_key, {})
    for upstream_id, n_answers, n_bad in rows:
        before = told_by_id.setdefault(upstream_id, UpstreamTally())
        added = UpstreamTally(
            n_answers - before.n_answers, n_bad - before.n_bad
        )
        if added.n_answers > 0:
            told_by_id[upstream_id] = UpstreamTally(n_answers, n_bad)
            _add(book, upstream_id, added, now_s)


def recent_bad_share(
    book: OutcomeBook, upstream_id: str, now_s: float
) -> float:
    """Estimate the share of bad answers now, 0 for an unknown upstream."""
    recent = book.recent_by_id.get(upstream_id)
    if recent is None:
        return 0
    _fade(recent, now_s)
    return recent.bad / (recent.answers + _PRIOR_ANSWERS)


def rest_upstream(book: OutcomeBook, upstream_id: str, now_s: float) -> None:
    """Give an upstream no new work for a time that doubles with each rest."""
    if is_resting(book, upstream_id, now_s):
        return
    n_rests = book.n_rests_by_id.get(upstream_id, 0)
    book.n_rests_by_id[upstream_id] = n_rests + 1
    rest_s = min(_MAX_REST_S, _FIRST_REST_S * 2**n_rests)
    book.resting_until_by_id[upstream_id] = now_s + rest_s


def is_resting(book: OutcomeBook, upstream_id: str, now_s: float) -> bool:
    """Tell whether an upstream rests."""
    return book.resting_until_by_id.get(upstream_id, 0) > now_s


def _add(
    book: OutcomeBook, upstream_id: str, added: UpstreamTally, now_s: float
) -> None:
    recent = book.recent_by_id.setdefault(upstream_id, RecentShare(at_s=now_s))
    _fade(recent, now_s)
    recent.answers += added.n_answers
    recent.bad += added.n_bad


def _fade(recent: RecentShare, now_s: float) -> None:
    factor = math.pow(2, -max(0, now_s - recent.at_s) / _HALF_LIFE_S)
    recent.answers *= factor
    recent.bad *= factor
    recent.at_s = now_s
