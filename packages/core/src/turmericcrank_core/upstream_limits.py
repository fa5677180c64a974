"""Keeps the request limits that overloaded upstreams name in their responses.

An overloaded upstream states in each response how many requests per second it
accepts from all nodes together. The limit holds until a response no longer
names it. Nodes tell each other what they were told. All times are on the
cluster clock, so that the newest statement of an upstream wins on all nodes,
whatever the order in which messages arrive.

A limit outlasts a restart of its upstream until the first response of the new
process. After its end the upstream gets more requests step by step: it may be
just short of overload, and may name a limit again.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field, replace

__all__ = (
    'NamedLimit',
    'UpstreamLimits',
    'active_limit_per_s',
    'expire_limits',
    'is_urgent_change',
    'iter_limits_to_gossip',
    'merge_limit',
    'plan_rate_per_s',
    'record_limit',
)

# Without any request no response could say that the limit has ended.
_MIN_RATE_PER_S = 0.2
_MAX_RATE_PER_S = 1e6
_RAMP_S = 5
_RAMP_FACTOR_PER_S = 2
_RETENTION_S = 120
_URGENT_RATIO = 0.8


@dataclass(slots=True, frozen=True)
class NamedLimit:
    """What the newest response of an upstream stated about its limit.

    Attributes:
        per_s: Requests per second that the upstream last named.
        is_ended: Whether it no longer names a limit.
        since_s: Time of the first response that stated this, in seconds.
        observed_s: Time of the newest response that stated this, in seconds.
    """

    per_s: float
    is_ended: bool
    since_s: float
    observed_s: float


@dataclass(slots=True)
class UpstreamLimits:
    """Limits of all upstreams that have named one.

    Attributes:
        by_id: Limits by upstream.
        announced_s_by_id: Time since which this node has had something new
            to tell other nodes, in seconds, by upstream.
    """

    by_id: dict[str, NamedLimit] = field(default_factory=dict)
    announced_s_by_id: dict[str, float] = field(default_factory=dict)


def record_limit(
    limits: UpstreamLimits, upstream_id: str, per_s: float | None, now_s: float
) -> bool:
    """Record what a response states about the limit of its upstream.

    Args:
        limits: Changed in place.
        upstream_id: Upstream that responded.
        per_s: Limit that the response names; None if it names none.
        now_s: Time of the response, in seconds.

    Returns:
        Whether the limit has begun, changed or ended.
    """
    known = limits.by_id.get(upstream_id)
    if known is None and per_s is None:
        return False
    last_per_s = known.per_s if known and per_s is None else per_s or 0
    stated = NamedLimit(
        min(last_per_s, _MAX_RATE_PER_S), per_s is None, now_s, now_s
    )
    return _adopt(limits, upstream_id, stated, now_s)


def merge_limit(
    limits: UpstreamLimits, upstream_id: str, stated: NamedLimit, now_s: float
) -> bool:
    """Merge a limit that another node reports.

    A node that reports an older statement is told the newer one again.

    Returns:
        Whether the known limit has begun, changed or ended.
    """
    known = limits.by_id.get(upstream_id)
    if known is None or known.observed_s <= stated.observed_s:
        return _adopt(limits, upstream_id, stated, now_s)
    if not _is_same(known, stated):
        limits.announced_s_by_id[upstream_id] = now_s
    return False


def is_urgent_change(before: NamedLimit | None, after: NamedLimit) -> bool:
    """Return whether other nodes must learn of a change at once.

    A limit that varies a little with each response must not cause messages
    each time.
    """
    if before is None or before.is_ended != after.is_ended:
        return True
    return after.per_s < before.per_s * _URGENT_RATIO


def active_limit_per_s(
    limits: UpstreamLimits, upstream_id: str
) -> float | None:
    """Return the limit that an upstream names now; None if it names none."""
    known = limits.by_id.get(upstream_id)
    return None if known is None or known.is_ended else known.per_s


def plan_rate_per_s(
    limits: UpstreamLimits, upstream_id: str, now_s: float
) -> float | None:
    """Return how many requests per second all nodes together may send.

    Returns:
        The limit, or more for some time after its end; None if the upstream
        is not limited.

    Example:
        >>> limits = UpstreamLimits()
        >>> for now_s, per_s in ((0, 3), (10, None)):
        ...     _ = record_limit(limits, 'u1', per_s, now_s)
        >>> [plan_rate_per_s(limits, 'u1', now_s) for now_s in (10, 12, 15)]
        [3, 12, None]
    """
    known = limits.by_id.get(upstream_id)
    if known is None:
        return None
    rate_per_s = max(known.per_s, _MIN_RATE_PER_S)
    if not known.is_ended:
        return rate_per_s
    n_steps = max(0, int(now_s - known.since_s))
    if n_steps >= _RAMP_S:
        return None
    return rate_per_s * _RAMP_FACTOR_PER_S**n_steps


def iter_limits_to_gossip(
    limits: UpstreamLimits, since_s: float, repeated_ids: Collection[str]
) -> Iterator[tuple[str, NamedLimit]]:
    """Yield what changed lately, and some others, to repair lost messages.

    Args:
        limits: The known limits.
        since_s: Changes announced at or after this time, in seconds.
        repeated_ids: Upstreams whose limits are sent in any case.
    """
    for upstream_id, limit in limits.by_id.items():
        is_new = limits.announced_s_by_id.get(upstream_id, 0) >= since_s
        if is_new or upstream_id in repeated_ids:
            yield upstream_id, limit


def expire_limits(
    limits: UpstreamLimits, listed_ids: Collection[str], now_s: float
) -> None:
    """Remove old limits that have ended or whose upstreams are not listed.

    They are kept for a time, so that a late report of another node can't
    bring an ended limit back.
    """
    for upstream_id, limit in list(limits.by_id.items()):
        is_needed = not limit.is_ended and upstream_id in listed_ids
        if not is_needed and now_s - limit.observed_s > _RETENTION_S:
            limits.by_id.pop(upstream_id)
            limits.announced_s_by_id.pop(upstream_id, None)


def _adopt(
    limits: UpstreamLimits, upstream_id: str, stated: NamedLimit, now_s: float
) -> bool:
    """Replace what is known; return whether the limit itself differs."""
    known = limits.by_id.get(upstream_id)
    if known is not None and _is_same(known, stated):
        newest_s = max(known.observed_s, stated.observed_s)
        limits.by_id[upstream_id] = replace(known, observed_s=newest_s)
        return False
    limits.by_id[upstream_id] = stated
    limits.announced_s_by_id[upstream_id] = now_s
    return True


def _is_same(one: NamedLimit, other: NamedLimit) -> bool:
    if one.is_ended or other.is_ended:
        return one.is_ended and other.is_ended
    return one.per_s == other.per_s
