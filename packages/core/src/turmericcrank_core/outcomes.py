"""Tracks the health of upstreams from the real requests of all nodes.

Each node counts the outcomes of its requests by upstream since its start and
gossips these counts, which only grow. The recent failure rate over all
nodes decides whether an upstream is temporarily ejected, that is, gets no
new requests.
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
    """Outcome counts of one upstream since the start of a node.

    Attributes:
        n_answers: Number of requests sent to the upstream.
        n_bad: Number of those that failed, were cut off or finished far too
            late.
        changed_s: Time of the last change of the counts, in seconds.
    """

    n_answers: int = 0
    n_bad: int = 0
    changed_s: float = 0


@dataclass(slots=True)
class RecentShare:
    """Outcome counts with exponential decay.

    Attributes:
        answers: Decayed number of responses.
        bad: Decayed number of failures.
        at_s: Time up to which the decay was applied, in seconds.
    """

    answers: float = 0
    bad: float = 0
    at_s: float = 0


@dataclass(slots=True)
class OutcomeBook:
    """Outcomes and ejections of all upstreams.

    Attributes:
        own_by_id: Counts of this node.
        told_by_node: Counts last received from each other node, by upstream.
        recent_by_id: Decayed counts, summed over all nodes.
        resting_until_by_id: Time until which an upstream is ejected, in
            seconds.
        n_rests_by_id: Number of consecutive ejections, without a successful
            response in between.
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
    """Count the outcome of one request that this node sent.

    A success ends the ejection of the upstream and resets its back-off.
    """
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
    """Merge the counts received from another node.

    Args:
        book: Updated in place.
        node_key: Node and incarnation, so that a restarted node counts from
            zero.
        rows: Upstream, number of responses and number of failures since the
            start of that node.
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
    """Estimate the recent failure rate; 0 for an unknown upstream."""
    recent = book.recent_by_id.get(upstream_id)
    if recent is None:
        return 0
    _fade(recent, now_s)
    return recent.bad / (recent.answers + _PRIOR_ANSWERS)


def rest_upstream(book: OutcomeBook, upstream_id: str, now_s: float) -> None:
    """Eject an upstream for a time that doubles with each ejection.

    An upstream that is already ejected is left as it is.
    """
    if is_resting(book, upstream_id, now_s):
        return
    n_rests = book.n_rests_by_id.get(upstream_id, 0)
    book.n_rests_by_id[upstream_id] = n_rests + 1
    rest_s = min(_MAX_REST_S, _FIRST_REST_S * 2**n_rests)
    book.resting_until_by_id[upstream_id] = now_s + rest_s


def is_resting(book: OutcomeBook, upstream_id: str, now_s: float) -> bool:
    """Return whether an upstream is ejected."""
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
