"""Chooses the upstream of one request among those of a pool.

The choice looks at a few upstreams only, so its cost does not grow with
the pool. Random candidates keep nodes with the same old knowledge from all
sending to the same upstream. Source: Mitzenmacher, "How useful is old
information?", IEEE TPDS 11 (2000).

Reports of load lag. So the nodes of a cell tell each other how many
requests each has at each upstream, and each cell sends to upstreams of its
own while these have room. What is left unknown is the load from other
cells, and that is learned slowly from the reports.

A session prefers the upstream that served it last, and a prompt without a
session the owner of its beginning on a hash ring, while they have room.
"""

import bisect
import random
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import xxhash

from turmericcrank_core.tables import Pool, Upstream

__all__ = (
    'LoadBook',
    'PoolRing',
    'SelectionSettings',
    'UpstreamLoad',
    'Wish',
    'build_ring',
    'estimate_load',
    'forget_peer',
    'make_selector',
    'note_end',
    'note_report',
    'note_start',
    'note_told',
    'remember_upstream',
)

_POINTS_PER_UPSTREAM = 16
_REPORT_GAIN = 0.2
_MAX_REMEMBERED = 3
_SPREAD_STEPS = 100


@dataclass(slots=True, frozen=True)
class SelectionSettings:
    """How upstreams are compared.

    Attributes:
        n_candidates: Random candidates for one choice, at least 1.
        max_scanned: Upstreams looked at when no candidate has room.
        overflow_share: Share of the requests for which an upstream with
            the cached prefix may queue one request over its capacity, since
            a short wait costs no more than reading the prompt anew.
    """

    n_candidates: int = 8
    overflow_share: float = 0.6
    max_scanned: int = 64


@dataclass(slots=True)
class UpstreamLoad:
    """What one node knows of the load of one upstream.

    Attributes:
        n_own: Requests in progress from this node.
        n_told: Requests in progress from the other nodes of the cell.
        n_foreign: Smoothed load that only the reports know of.
        ejected_until_s: No new work before this monotonic time.
        leaving: Whether the VM list or a peer says that it leaves.
        wrong_version: Whether it reports another version than its pool's.
    """

    n_own: int = 0
    n_told: int = 0
    n_foreign: float = 0
    ejected_until_s: float = 0
    leaving: bool = False
    wrong_version: bool = False


@dataclass(slots=True)
class LoadBook:
    """Loads of all upstreams that a node uses.

    Attributes:
        loads_by_id: Load by upstream.
        told_by_peer: What each node of the cell told last, by upstream.
    """

    loads_by_id: dict[str, UpstreamLoad] = field(default_factory=dict)
    told_by_peer: dict[str, dict[str, int]] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PoolRing:
    """A pool prepared for fast choices.

    Attributes:
        pool: The row of the table.
        ids: Names of the upstreams.
        home_ids: Those that this node's cell prefers; all without cells.
        points: Sorted hashes of the ring.
        owners: Upstream of each point.
    """

    pool: Pool
    ids: tuple[str, ...]
    home_ids: tuple[str, ...]
    points: tuple[int, ...]
    owners: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class Wish:
    """What one request wants of an upstream.

    Attributes:
        last_ids: Upstreams that served its session, the last one first.
        prefix_key: Beginning of the prompt; empty for none.
        tried: Upstreams that it must not use.
        room_share: Share of the capacity that it may fill.
    """

    last_ids: tuple[str, ...] = ()
    prefix_key: str = ''
    tried: frozenset[str] = frozenset()
    room_share: float = 1


Selector = Callable[[PoolRing, Wish, float], str | None]


def build_ring(
    pool: Pool, is_home: Callable[[Upstream], bool] | None = None
) -> PoolRing:
    """Prepare a pool; costs O(n log n) once a revision.

    Args:
        pool: Row of the table.
        is_home: Tells the upstreams that the node's cell prefers.
    """
    pairs = sorted(
        (_hash(f'{upstream_id}#{index}'), upstream_id)
        for upstream_id in pool.upstreams_by_id
        for index in range(_POINTS_PER_UPSTREAM)
    )
    ids = tuple(pool.upstreams_by_id)
    home_ids = ids
    if is_home is not None:
        home_ids = tuple(
            upstream_id
            for upstream_id, upstream in pool.upstreams_by_id.items()
            if is_home(upstream)
        )
    return PoolRing(
        pool,
        ids,
        home_ids or ids,
        tuple(point for point, _ in pairs),
        tuple(owner for _, owner in pairs),
    )


def estimate_load(load: UpstreamLoad) -> float:
    """Estimate the requests in progress at an upstream."""
    return load.n_own + load.n_told + max(0, load.n_foreign)


def note_start(book: LoadBook, upstream_id: str) -> None:
    """Count a request that is about to be sent."""
    _find_load(book, upstream_id).n_own += 1


def note_end(book: LoadBook, upstream_id: str) -> None:
    """Count a request that has ended."""
    book.loads_by_id[upstream_id].n_own -= 1


def note_told(
    book: LoadBook, peer_id: str, told_by_upstream: Mapping[str, int]
) -> None:
    """Take what a node of the cell has in progress, in place of the last.

    Args:
        book: Changed in place.
        peer_id: Who told.
        told_by_upstream: Requests in progress; an upstream left out has 0.
    """
    before = book.told_by_peer.get(peer_id, {})
    for upstream_id in before.keys() | told_by_upstream.keys():
        change = told_by_upstream.get(upstream_id, 0)
        change -= before.get(upstream_id, 0)
        _find_load(book, upstream_id).n_told += change
    book.told_by_peer[peer_id] = dict(told_by_upstream)


def forget_peer(book: LoadBook, peer_id: str) -> None:
    """Drop what a node told that is silent or left the cell."""
    note_told(book, peer_id, {})
    book.told_by_peer.pop(peer_id)


def note_report(book: LoadBook, upstream_id: str, reported: float) -> None:
    """Take a load report: what the cell does not know of is foreign."""
    load = _find_load(book, upstream_id)
    foreign = reported - load.n_own - load.n_told
    load.n_foreign += _REPORT_GAIN * (foreign - load.n_foreign)


def remember_upstream(
    last_ids: tuple[str, ...], upstream_id: str
) -> tuple[str, ...]:
    """Put an upstream first among those that served a session."""
    others = tuple(known for known in last_ids if known != upstream_id)
    return (upstream_id, *others)[:_MAX_REMEMBERED]


def make_selector(
    book: LoadBook, settings: SelectionSettings, random_source: random.Random
) -> Selector:
    """Make the function that chooses an upstream.

    Args:
        book: Loads, read at each choice.
        settings: How upstreams are compared.
        random_source: Generator of the candidates.

    Returns:
        A function of ring, wish and monotonic time. It gives a name, or
        None when no upstream that it looked at has room.
    """

    def select(ring: PoolRing, wish: Wish, now_s: float) -> str | None:
        limit = ring.pool.capacity * wish.room_share
        usable = _make_usable(book, wish.tried, limit, now_s)
        for ids, n_drawn in (
            (ring.home_ids, settings.n_candidates),
            (ring.home_ids, settings.max_scanned),
            (ring.ids, settings.max_scanned),
        ):
            drawn = _draw(ids, n_drawn, random_source)
            best = _pick_least(book, filter(usable, drawn))
            if best is not None:
                break
        if best is None:
            return None
        limit += random_source.random() < settings.overflow_share
        usable = _make_usable(book, wish.tried, limit, now_s)
        cached = filter(usable, _iter_cached(ring, wish))
        return _pick_least(book, cached) or best

    return select


def _find_load(book: LoadBook, upstream_id: str) -> UpstreamLoad:
    load = book.loads_by_id.get(upstream_id)
    if load is None:
        load = UpstreamLoad()
        book.loads_by_id[upstream_id] = load
    return load


def _iter_cached(ring: PoolRing, wish: Wish) -> Iterator[str]:
    """Yield the upstreams that may have the prompt's prefix cached."""
    for last_id in wish.last_ids:
        if last_id in ring.pool.upstreams_by_id:
            yield last_id
    if wish.prefix_key and not wish.last_ids:
        yield from _iter_owners(ring, wish.prefix_key)


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
        if load.ejected_until_s > now_s:
            return False
        return estimate_load(load) + 1 <= limit + _spread(upstream_id)

    return is_usable


def _spread(upstream_id: str) -> float:
    """Round the limit up at some upstreams and down at others."""
    return (_hash(upstream_id) % _SPREAD_STEPS) / _SPREAD_STEPS


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
