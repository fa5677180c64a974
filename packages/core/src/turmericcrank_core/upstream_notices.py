"""Keeps the signals that upstreams send in their responses.

A draining upstream announces this in each response, so a node learns of it
earlier than from the platform's list of upstreams. An overloaded upstream may
name a time during which the requesting node should send it no requests. A
brittle one names how many rejections a second it bears, in all its responses.
The first signal concerns all nodes and is gossiped; the others are known to the
nodes that got them.
"""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field

from turmericcrank_core.upstream_registry import ListedUpstream

__all__ = (
    'UpstreamNotices',
    'defer_upstream',
    'expire_notices',
    'find_brittle',
    'is_leaving',
    'iter_leaving_upstreams',
    'record_brittle',
    'record_leaving',
    'remaining_deferral_s',
)

_MAX_DEFERRAL_S = 60
_ANNOUNCEMENT_RETENTION_S = 120
_BRITTLE_RETENTION_S = 10


@dataclass(slots=True, frozen=True)
class DrainAnnouncement:
    """Announcement that an upstream is draining.

    Attributes:
        born_ms: Start time of the draining instance of the upstream,
            milliseconds since the epoch.
        received_s: Time at which the announcement was last received, in
            seconds.
    """

    born_ms: int
    received_s: float


@dataclass(slots=True, frozen=True)
class BrittleNotice:
    """Statement of an upstream that it is brittle.

    Attributes:
        max_rejections_per_s: Rejections a second after which it falls over.
        received_s: Time of its last response, in seconds.
    """

    max_rejections_per_s: float
    received_s: float


@dataclass(slots=True)
class UpstreamNotices:
    """Signals received from upstreams.

    Attributes:
        announcements_by_id: Announcements of draining upstreams, known from
            a response or from another node.
        deferred_until_s_by_id: Time until which this node should send no
            requests to an upstream, in seconds.
        brittle_by_id: Statements of brittle upstreams.
    """

    announcements_by_id: dict[str, DrainAnnouncement] = field(
        default_factory=dict
    )
    deferred_until_s_by_id: dict[str, float] = field(default_factory=dict)
    brittle_by_id: dict[str, BrittleNotice] = field(default_factory=dict)


def record_leaving(
    notices: UpstreamNotices, upstream_id: str, born_ms: int, now_s: float
) -> bool:
    """Record that an instance of an upstream is draining.

    An announcement of an earlier instance never replaces that of a later
    one, so the order in which messages arrive does not matter.

    Returns:
        Whether the announcement is new to this node.
    """
    known = notices.announcements_by_id.get(upstream_id)
    if known is not None and known.born_ms > born_ms:
        return False
    notices.announcements_by_id[upstream_id] = DrainAnnouncement(born_ms, now_s)
    return known is None or known.born_ms < born_ms


def is_leaving(notices: UpstreamNotices, upstream: ListedUpstream) -> bool:
    """Return whether the listed instance of an upstream announced draining.

    An upstream may start again under the same name; an announcement does not
    apply to a later instance.
    """
    announcement = notices.announcements_by_id.get(upstream.upstream_id)
    return announcement is not None and upstream.born_ms <= announcement.born_ms


def iter_leaving_upstreams(
    notices: UpstreamNotices, listed_by_id: Mapping[str, ListedUpstream]
) -> Iterator[tuple[str, int]]:
    """Yield the name and start time of each draining upstream still listed.

    They are gossiped repeatedly as long as nodes may consider them usable,
    so that a node that has just started learns of them too. One whose row
    says that it is draining is known from the row.
    """
    for upstream_id, announcement in notices.announcements_by_id.items():
        upstream = listed_by_id.get(upstream_id)
        if upstream is None or upstream.is_draining:
            continue
        if is_leaving(notices, upstream):
            yield upstream_id, announcement.born_ms


def defer_upstream(
    notices: UpstreamNotices, upstream_id: str, wait_s: float, now_s: float
) -> None:
    """Record that this node should not send to an upstream for some time.

    The time is limited to ``_MAX_DEFERRAL_S``. A deferral never shortens an
    earlier one.
    """
    until_s = now_s + min(max(0, wait_s), _MAX_DEFERRAL_S)
    previous_until_s = notices.deferred_until_s_by_id.get(upstream_id, 0)
    notices.deferred_until_s_by_id[upstream_id] = max(previous_until_s, until_s)


def remaining_deferral_s(
    notices: UpstreamNotices, upstream_id: str, now_s: float
) -> float:
    """Return the remaining time of a deferral, in seconds; 0 without one."""
    until_s = notices.deferred_until_s_by_id.get(upstream_id, 0)
    return max(0, until_s - now_s)


def record_brittle(
    notices: UpstreamNotices,
    upstream_id: str,
    max_per_s: float | None,
    now_s: float,
) -> bool:
    """Record what a response says of its upstream.

    Args:
        notices: Changed in place.
        upstream_id: Upstream that responded.
        max_per_s: Rejections a second that it bears; None if it is not
            brittle.
        now_s: Current time, in seconds.

    Returns:
        Whether it has become brittle, or is so no longer.
    """
    before = find_brittle(notices, upstream_id, now_s)
    notices.brittle_by_id.pop(upstream_id, None)
    if max_per_s is not None:
        notices.brittle_by_id[upstream_id] = BrittleNotice(max_per_s, now_s)
    return (before is None) != (max_per_s is None)


def find_brittle(
    notices: UpstreamNotices, upstream_id: str, now_s: float
) -> BrittleNotice | None:
    """Return the last statement of a brittle upstream; None if it is sound.

    A node that gets no responses from it does not learn of its end, so a
    statement counts for a few seconds only.
    """
    notice = notices.brittle_by_id.get(upstream_id)
    if notice is None or now_s - notice.received_s > _BRITTLE_RETENTION_S:
        return None
    return notice


def expire_notices(
    notices: UpstreamNotices, listed_ids: Collection[str], now_s: float
) -> None:
    """Remove expired deferrals and announcements of unlisted upstreams.

    An announcement is kept for a time after its upstream is no longer
    listed, since its row may be listed again.
    """
    notices.deferred_until_s_by_id = {
        upstream_id: until_s
        for upstream_id, until_s in notices.deferred_until_s_by_id.items()
        if until_s > now_s
    }
    notices.brittle_by_id = {
        upstream_id: notice
        for upstream_id, notice in notices.brittle_by_id.items()
        if now_s - notice.received_s <= _BRITTLE_RETENTION_S
    }
    notices.announcements_by_id = {
        upstream_id: announcement
        for upstream_id, announcement in notices.announcements_by_id.items()
        if upstream_id in listed_ids
        or now_s - announcement.received_s <= _ANNOUNCEMENT_RETENTION_S
    }
