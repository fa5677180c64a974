"""Chooses the upstream of one request among those of a pool.

The choice looks at a few upstreams only, so its cost does not grow with
the pool. Random candidates keep nodes with the same lagging report from
all sending to the same upstream. Source: Mitzenmacher, "How useful is old
information?", IEEE TPDS 11 (2000). One candidate comes from a hash ring of
prompt prefixes, so that requests with the same beginning meet the same
cache while that upstream has room.
"""

import bisect
import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

import xxhash

from turmericcrank_core.tables import Pool

__all__ = (
    'LoadBook',
    'PoolRing',
    'SelectionSettings',
    'UpstreamLoad',
    'build_ring',
    'estimate_load',
    'make_selector',
    'note_end',
    'note_report',
    'note_start',
)

_POINTS_PER_UPSTREAM = 16


@dataclass(slots=True, frozen=True)
class SelectionSettings:
    """How upstreams are compared.

    Attributes:
        n_candidates: Random candidates for one choice, at least 1.
        prefix_slack: Load by which the cached upstream may exceed the best
            candidate, as a share of the capacity.
    """

    n_candidates: int = 3
    prefix_slack: float = 0.25


@dataclass(slots=True)
class UpstreamLoad:
    """What one node knows of the load of one upstream.

    Attributes:
        n_own: Requests in progress from this node.
        reported: Requests in progress by the newest report.
        n_since: Own starts less own ends since the newest report.
        ejected_until_s: No new work before this monotonic time.
        leaving: Whether the VM list or a peer says that it leaves.
        wrong_version: Whether it reports another version than its pool's.
    """

    n_own: int = 0
    reported: float = 0
    n_since: int = 0
    ejected_until_s: float = 0
    leaving: bool = False
    wrong_version: bool = False


@dataclass(slots=True)
class LoadBook:
    """Loads of all upstreams that a node uses."""

    loads_by_id: dict[str, UpstreamLoad] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PoolRing:
    """A pool prepared for fast choices.

    Attributes:
        pool: The row of the table.
        ids: Names of the upstreams.
        points: Sorted hashes of the ring.
        owners: Upstream of each point.
    """

    pool: Pool
    ids: tuple[str, ...]
    points: tuple[int, ...]
    owners: tuple[str, ...]


Selector = Callable[[PoolRing, str, frozenset[str], float, float], str | None]


def build_ring(pool: Pool) -> PoolRing:
    """Prepare a pool; costs O(n log n) once a revision."""
    pairs = sorted(
        (_hash(f'{upstream_id}#{index}'), upstream_id)
        for upstream_id in pool.upstreams_by_id
        for index in range(_POINTS_PER_UPSTREAM)
    )
    return PoolRing(
        pool,
        tuple(pool.upstreams_by_id),
        tuple(point for point, _ in pairs),
        tuple(owner for _, owner in pairs),
    )


def estimate_load(load: UpstreamLoad) -> float:
    """Estimate the requests in progress at an upstream.

    The report tells what all nodes had sent when it was made; what this
    node did since is added. Own requests alone are a lower bound.
    """
    return max(load.n_own, load.reported + load.n_since)


def note_start(book: LoadBook, upstream_id: str) -> None:
    """Count a request that is about to be sent."""
    load = book.loads_by_id.setdefault(upstream_id, UpstreamLoad())
    load.n_own += 1
    load.n_since += 1


def note_end(book: LoadBook, upstream_id: str) -> None:
    """Count a request that has ended."""
    load = book.loads_by_id[upstream_id]
    load.n_own -= 1
    load.n_since -= 1


def note_report(book: LoadBook, upstream_id: str, reported: float) -> None:
    """Take a load report of the upstream."""
    load = book.loads_by_id.setdefault(upstream_id, UpstreamLoad())
    load.reported = reported
    load.n_since = 0


def make_selector(
    book: LoadBook, settings: SelectionSettings, random_source: random.Random
) -> Selector:
    """Make the function that chooses an upstream.

    Args:
        book: Loads, read at each choice.
        settings: How upstreams are compared.
        random_source: Generator of the candidates.

    Returns:
        A function of ring, prefix key (may be empty), upstreams already
        tried, share of the capacity that the request may use, and
        monotonic time. It gives a name, or None when no candidate has room.
    """

    def select(
        ring: PoolRing,
        prefix_key: str,
        tried: frozenset[str],
        room_share: float,
        now_s: float,
    ) -> str | None:
        usable = _make_usable(
            book, tried, ring.pool.capacity * room_share, now_s
        )
        drawn = _draw(ring.ids, settings.n_candidates, random_source)
        best = _pick_least(book, filter(usable, drawn))
        if best is None:
            best = _pick_least(book, filter(usable, ring.ids))
        if best is None or not prefix_key:
            return best
        slack = settings.prefix_slack * ring.pool.capacity
        limit = _weigh(book, best) + slack
        for cached in filter(usable, _iter_owners(ring, prefix_key)):
            if _weigh(book, cached) <= limit:
                return cached
        return best

    return select


def _make_usable(
    book: LoadBook, tried: frozenset[str], limit: float, now_s: float
) -> Callable[[str], bool]:
    """Make the test whether an upstream may take one more request."""

    def is_usable(upstream_id: str) -> bool:
        if upstream_id in tried:
            return False
        load = book.loads_by_id.get(upstream_id)
        if load is None:
            return True
        if load.leaving or load.wrong_version:
            return False
        return load.ejected_until_s <= now_s and estimate_load(load) < limit

    return is_usable


def _weigh(book: LoadBook, upstream_id: str) -> float:
    load = book.loads_by_id.get(upstream_id)
    return 0 if load is None else estimate_load(load)


def _pick_least(book: LoadBook, ids: Iterable[str]) -> str | None:
    def weigh(upstream_id: str) -> float:
        return _weigh(book, upstream_id)

    return min(ids, key=weigh, default=None)


def _draw(
    ids: tuple[str, ...], n_candidates: int, random_source: random.Random
) -> list[str]:
    if len(ids) <= n_candidates:
        return random_source.sample(ids, len(ids))
    return random_source.sample(ids, n_candidates)


def _iter_owners(ring: PoolRing, prefix_key: str) -> Iterator[str]:
    start = bisect.bisect(ring.points, _hash(prefix_key))
    n_points = len(ring.points)
    first = ring.owners[start % n_points]
    yield first
    for step in range(1, n_points):
        owner = ring.owners[(start + step) % n_points]
        if owner != first:
            yield owner
            return


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
