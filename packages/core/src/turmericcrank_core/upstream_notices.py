"""Keeps what upstreams say of themselves in their responses.

An upstream that leaves says so in each response, which is sooner than the
platform's list can tell. One that has no room may say for how long it wants
nothing from the node that asked. The first is a fact for all nodes, which
tell each other; the second concerns this node alone.
"""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field

from turmericcrank_core.upstream_rows import ListedUpstream

__all__ = (
    'UpstreamNotices',
    'defer_upstream',
    'deferred_s',
    'expire_notices',
    'is_leaving',
    'iter_leavers',
    'note_leaving',
)

_MAX_DEFERRAL_S = 60
_LEAVER_KEPT_S = 120


@dataclass(slots=True, frozen=True)
class Leaver:
    """An upstream that has said that it leaves.

    Attributes:
        born_ms: Start that it said so of, milliseconds since the epoch.
        noted_s: When this was last heard, in seconds.
    """

    born_ms: int
    noted_s: float


@dataclass(slots=True)
class UpstreamNotices:
    """What upstreams have said of themselves.

    Attributes:
        leavers_by_id: Upstreams that leave, known from a response or from
            another node.
        deferred_until_s_by_id: Moments until which an upstream wants
            nothing from this node, in seconds.
    """

    leavers_by_id: dict[str, Leaver] = field(default_factory=dict)
    deferred_until_s_by_id: dict[str, float] = field(default_factory=dict)


def note_leaving(
    notices: UpstreamNotices, upstream_id: str, born_ms: int, now_s: float
) -> bool:
    """Note that a start of an upstream leaves; tell whether that is new.

    What is told of an earlier start never replaces what is known of a later
    one, so the order in which messages arrive does not matter.
    """
    known = notices.leavers_by_id.get(upstream_id)
    if known is not None and known.born_ms > born_ms:
        return False
    notices.leavers_by_id[upstream_id] = Leaver(born_ms, now_s)
    return known is None or known.born_ms < born_ms


def is_leaving(notices: UpstreamNotices, upstream: ListedUpstream) -> bool:
    """Tell whether the listed start of an upstream has said that it leaves.

    The same name may start again later; that start is not the one that left.
    """
    leaver = notices.leavers_by_id.get(upstream.upstream_id)
    return leaver is not None and upstream.born_ms <= leaver.born_ms


def iter_leavers(
    notices: UpstreamNotices, listed_by_id: Mapping[str, ListedUpstream]
) -> Iterator[tuple[str, int]]:
    """Yield the name and the start of each leaver that is still listed.

    They are told again and again while nodes may take them for usable, so
    that a node that has just started learns of them too.
    """
    for upstream_id, leaver in notices.leavers_by_id.items():
        upstream = listed_by_id.get(upstream_id)
        if upstream is not None and is_leaving(notices, upstream):
            yield upstream_id, leaver.born_ms


def defer_upstream(
    notices: UpstreamNotices, upstream_id: str, wait_s: float, now_s: float
) -> None:
    """Note that an upstream wants nothing from this node for a while."""
    until_s = now_s + min(max(0, wait_s), _MAX_DEFERRAL_S)
    known_s = notices.deferred_until_s_by_id.get(upstream_id, 0)
    notices.deferred_until_s_by_id[upstream_id] = max(known_s, until_s)


def deferred_s(
    notices: UpstreamNotices, upstream_id: str, now_s: float
) -> float:
    """Give how long an upstream still wants nothing, in seconds."""
    until_s = notices.deferred_until_s_by_id.get(upstream_id, 0)
    return max(0, until_s - now_s)


def expire_notices(
    notices: UpstreamNotices, listed_ids: Collection[str], now_s: float
) -> None:
    """Forget waits that are over, and leavers that are long gone."""
    notices.deferred_until_s_by_id = {
        upstream_id: until_s
        for upstream_id, until_s in notices.deferred_until_s_by_id.items()
        if until_s > now_s
    }
    notices.leavers_by_id = {
        upstream_id: leaver
        for upstream_id, leaver in notices.leavers_by_id.items()
        if upstream_id in listed_ids or now_s - leaver.noted_s <= _LEAVER_KEPT_S
    }
