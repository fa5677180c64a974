"""Keeps the request limits that overloaded upstreams name in their responses.

An overloaded upstream states in each response how many requests per second it
accepts from all nodes together. The limit holds until a response no longer
names it.
"""

from dataclasses import dataclass, field, replace

__all__ = ('NamedLimit', 'UpstreamLimits', 'active_limit_per_s', 'record_limit')


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
    """

    by_id: dict[str, NamedLimit] = field(default_factory=dict)


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
    if known is not None and _states_same(known, per_s):
        limits.by_id[upstream_id] = replace(known, observed_s=now_s)
        return False
    last_per_s = known.per_s if per_s is None else per_s
    limits.by_id[upstream_id] = NamedLimit(
        last_per_s, per_s is None, now_s, now_s
    )
    return True


def active_limit_per_s(
    limits: UpstreamLimits, upstream_id: str
) -> float | None:
    """Return the limit that an upstream names now; None if it names none."""
    known = limits.by_id.get(upstream_id)
    return None if known is None or known.is_ended else known.per_s


def _states_same(known: NamedLimit, per_s: float | None) -> bool:
    if known.is_ended or per_s is None:
        return known.is_ended and per_s is None
    return known.per_s == per_s
