"""Keeps the upstreams that the platform's store lists.

A row that is deleted may have lapsed while the store was away, and its
upstream be alive: it stays usable, as the last choice, until it is either
back or taken as gone.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = (
    'ListedUpstream',
    'UpstreamList',
    'expire_lapsed',
    'iter_usable',
    'note_listed',
    'note_missing',
)

_LAPSE_S = 1.2


@dataclass(slots=True, frozen=True)
class ListedUpstream:
    """One upstream as it describes itself.

    Attributes:
        upstream_id: Name of this start of the upstream.
        service: Service that it serves.
        address: ``IP:port``.
        data_centre: Where it runs.
        version: Version of its software.
        slots: Requests that it runs at once.
        is_draining: Whether it is about to leave.
        born_ms: When it started, milliseconds since the epoch.
    """

    upstream_id: str
    service: str
    address: str
    data_centre: str
    version: str
    slots: int
    is_draining: bool
    born_ms: int = 0


@dataclass(slots=True)
class UpstreamList:
    """Upstreams by name, and those whose rows are missing.

    Attributes:
        by_id: Rows as they were last read.
        lapsed_s_by_id: When a row was found missing, in seconds.
    """

    by_id: dict[str, ListedUpstream] = field(default_factory=dict)
    lapsed_s_by_id: dict[str, float] = field(default_factory=dict)


def note_listed(listed: UpstreamList, upstream: ListedUpstream) -> None:
    """Take a row in place of the last one of the same name."""
    listed.by_id[upstream.upstream_id] = upstream
    listed.lapsed_s_by_id.pop(upstream.upstream_id, None)


def note_missing(listed: UpstreamList, upstream_id: str, now_s: float) -> None:
    """Note that a row is gone; a draining upstream is dropped at once."""
    upstream = listed.by_id.get(upstream_id)
    if upstream is None:
        return
    if upstream.is_draining:
        _drop(listed, upstream_id)
    else:
        listed.lapsed_s_by_id.setdefault(upstream_id, now_s)


def expire_lapsed(listed: UpstreamList, now_s: float) -> list[str]:
    """Drop the upstreams that have been missing for too long.

    Returns:
        Names of those that were dropped.
    """
    gone = [
        upstream_id
        for upstream_id, lapsed_s in listed.lapsed_s_by_id.items()
        if now_s - lapsed_s > _LAPSE_S
    ]
    for upstream_id in gone:
        _drop(listed, upstream_id)
    return gone


def iter_usable(
    listed: UpstreamList, service: str, now_s: float
) -> Iterator[ListedUpstream]:
    """Yield the upstreams of a service that may get new work."""
    for upstream in listed.by_id.values():
        lapsed_s = listed.lapsed_s_by_id.get(upstream.upstream_id, now_s)
        is_there = now_s - lapsed_s <= _LAPSE_S
        if upstream.service == service and is_there:
            if not upstream.is_draining:
                yield upstream


def _drop(listed: UpstreamList, upstream_id: str) -> None:
    listed.by_id.pop(upstream_id, None)
    listed.lapsed_s_by_id.pop(upstream_id, None)
