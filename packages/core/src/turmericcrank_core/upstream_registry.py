"""Registry of the upstreams listed in the platform's store.

A missing row does not prove that its upstream is gone: the row may have
expired while the store was unavailable. The upstream therefore stays usable,
with a lower preference, until its row is listed again or a grace period ends.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = (
    'ListedUpstream',
    'UpstreamRegistry',
    'expire_missing',
    'iter_usable',
    'record_listed',
    'record_missing',
)

_MISSING_GRACE_S = 1.2


@dataclass(slots=True, frozen=True)
class ListedUpstream:
    """One upstream, as listed in its row of the store.

    Attributes:
        upstream_id: Name of this instance of the upstream.
        service: Service that it provides.
        address: ``IP:port``.
        data_centre: Data centre in which it runs.
        version: Version of its software.
        slots: Number of requests that it runs concurrently.
        is_draining: Whether it is draining before it shuts down.
        born_ms: Start time, milliseconds since the epoch.
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
class UpstreamRegistry:
    """Upstreams by name, including those whose rows are missing.

    Attributes:
        by_id: Rows as last read.
        missing_since_s_by_id: Time at which a missing row was first found
            missing, in seconds.
    """

    by_id: dict[str, ListedUpstream] = field(default_factory=dict)
    missing_since_s_by_id: dict[str, float] = field(default_factory=dict)


def record_listed(registry: UpstreamRegistry, upstream: ListedUpstream) -> None:
    """Add a row, replacing an earlier one of the same name."""
    registry.by_id[upstream.upstream_id] = upstream
    registry.missing_since_s_by_id.pop(upstream.upstream_id, None)


def record_missing(
    registry: UpstreamRegistry, upstream_id: str, now_s: float
) -> None:
    """Record that a row is missing; a draining upstream is removed at once."""
    upstream = registry.by_id.get(upstream_id)
    if upstream is None:
        return
    if upstream.is_draining:
        _remove(registry, upstream_id)
    else:
        registry.missing_since_s_by_id.setdefault(upstream_id, now_s)


def expire_missing(registry: UpstreamRegistry, now_s: float) -> list[str]:
    """Remove the upstreams that have been missing for too long.

    Returns:
        Names of the removed upstreams.
    """
    expired = [
        upstream_id
        for upstream_id, since_s in registry.missing_since_s_by_id.items()
        if now_s - since_s > _MISSING_GRACE_S
    ]
    for upstream_id in expired:
        _remove(registry, upstream_id)
    return expired


def iter_usable(
    registry: UpstreamRegistry, service: str, now_s: float
) -> Iterator[ListedUpstream]:
    """Yield the upstreams of a service that may get new requests."""
    for upstream in registry.by_id.values():
        missing_since_s = registry.missing_since_s_by_id.get(
            upstream.upstream_id, now_s
        )
        is_available = now_s - missing_since_s <= _MISSING_GRACE_S
        if upstream.service == service and is_available:
            if not upstream.is_draining:
                yield upstream


def _remove(registry: UpstreamRegistry, upstream_id: str) -> None:
    registry.by_id.pop(upstream_id, None)
    registry.missing_since_s_by_id.pop(upstream_id, None)
