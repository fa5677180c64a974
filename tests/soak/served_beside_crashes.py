"""How often sound requests begin beside parts that crash upstreams."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from tests.soak.in_touch import Span, make_in_touch, overlaps
from tests.soak.record import ClientRequest, Run, UpstreamEventKind
from tests.soak.upstream_spans import find_unsound_spans

__all__ = ('SharesBeside', 'find_shares_beside_crashes')

_MAX_CRASHES = 5
_CONTACTS_AFTER = 2


@dataclass(slots=True)
class SharesBeside:
    """Sound requests beside a crashing part, and outside disruptions.

    Attributes:
        n_beside: Requests while requests with the part come.
        n_begun_beside: Those of them that an upstream began to run.
        n_outside: Requests outside unplanned disruptions.
        n_begun_outside: Those of them that an upstream began to run.
        not_begun: Ids of those beside that no upstream began to run.
    """

    n_beside: int = 0
    n_begun_beside: int = 0
    n_outside: int = 0
    n_begun_outside: int = 0
    not_begun: list[str] = field(default_factory=list)

    @property
    def share_beside(self) -> float:
        """Share that began beside the crashing part."""
        return self.n_begun_beside / max(1, self.n_beside)

    @property
    def share_outside(self) -> float:
        """Share that began outside unplanned disruptions."""
        return self.n_begun_outside / max(1, self.n_outside)


def find_shares_beside_crashes(run: Run) -> dict[str, SharesBeside]:
    """Count sound requests of the same routes and keys, by crashing part.

    Beside it is from twice ``contact_s`` after the fifth crash, or the last
    if there are fewer, to the last request with the part. Counted are first
    attempts of clients at nodes in touch.
    """
    found = {}
    for key, crashing in _group_crashing(run).items():
        beside = _find_beside(run, key, crashing)
        if beside is not None:
            found[key] = _count_shares(run, crashing, beside)
    return found


def _count_shares(
    run: Run, crashing: list[ClientRequest], beside: Span
) -> SharesBeside:
    begun = {one.request_id for one in run.arrivals if one.began_s}
    is_in_touch = make_in_touch(run)
    disrupted = list(_find_disrupted(run))
    shares = SharesBeside()
    for request in _find_sound(run, crashing):
        at_s = request.began_s
        is_begun = request.request_id in begun
        if not is_in_touch(request.node, at_s):
            continue
        if beside[0] <= at_s <= beside[1]:
            _count_beside(shares, request, is_begun=is_begun)
        elif not overlaps(disrupted, at_s - run.bounds.contact_s, at_s):
            shares.n_outside += 1
            shares.n_begun_outside += is_begun
    return shares


def _count_beside(
    shares: SharesBeside, request: ClientRequest, *, is_begun: bool
) -> None:
    shares.n_beside += 1
    shares.n_begun_beside += is_begun
    if not is_begun:
        shares.not_begun.append(request.request_id)


def _group_crashing(run: Run) -> dict[str, list[ClientRequest]]:
    crashing = defaultdict(list)
    for request in run.requests:
        if request.crash_key and request.is_crash_part:
            crashing[request.crash_key].append(request)
    return crashing


def _find_sound(
    run: Run, crashing: list[ClientRequest]
) -> Iterator[ClientRequest]:
    routes = {one.route for one in crashing}
    keys = frozenset().union(*(one.shared_keys for one in crashing))
    for request in run.requests:
        is_other = request.crash_key or request.is_repeat
        if is_other or request.route not in routes:
            continue
        if keys & request.shared_keys:
            yield request


def _find_beside(
    run: Run, key: str, crashing: list[ClientRequest]
) -> Span | None:
    crashes = _find_crash_times(run, key)[:_MAX_CRASHES]
    if not crashes:
        return None
    after_s = _CONTACTS_AFTER * run.bounds.contact_s
    last_s = max(one.began_s for one in crashing)
    return crashes[-1] + after_s, last_s


def _find_crash_times(run: Run, key: str) -> list[float]:
    return sorted(
        event.at_s
        for event in run.upstream_events
        if event.kind is UpstreamEventKind.crashed and event.crash_key == key
    )


def _find_disrupted(run: Run) -> Iterator[Span]:
    """Find all unplanned disruptions, those by crashing requests too."""
    for spans in find_unsound_spans(run.upstream_events).values():
        yield from spans
    for key, crashing in _group_crashing(run).items():
        crashes = _find_crash_times(run, key)
        if crashes:
            yield crashes[0], max(one.began_s for one in crashing)
