"""Load balancing: selects the upstream of a pool that serves a request.

Each selection compares a bounded number of upstreams, so its cost does not
grow with the pool. Random candidates keep nodes with the same stale load
data from all sending to the same upstream. Source: Mitzenmacher, "How
useful is old information?", IEEE TPDS 11 (2000).

Load reports lag. Therefore the nodes of a cell exchange their counts of
requests in progress at each upstream, and a cell sends to its own upstreams
while these have free capacity. The load from other cells remains unknown;
it is estimated from the load reports with a slow moving average.

A session prefers the upstreams that served it recently. A prompt without a
session prefers the two upstreams that follow the hash of its prefix on a
consistent-hash ring. The less loaded one is selected, if it has free capacity;
a share of the requests may queue there (``overflow_share``).
"""

import random
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import xxhash

from turmericcrank_core.hash_ring import (
    HashRing,
    build_hash_ring,
    iter_two_owners,
)
from turmericcrank_core.tables import Pool, Upstream

__all__ = (
    'LoadTracker',
    'PoolHashRing',
    'SelectionCriteria',
    'SelectionSettings',
    'UpstreamLoad',
    'build_ring',
    'estimate_load',
    'make_selector',
    'prepend_upstream',
    'record_end',
    'record_load_report',
    'record_peer_counts',
    'record_start',
    'remove_peer_counts',
)

_POINTS_PER_UPSTREAM = 16
_REPORT_SMOOTHING_FACTOR = 0.2
_MAX_RECENT_UPSTREAMS = 3
_OFFSET_STEPS = 100


@dataclass(slots=True, frozen=True)
class SelectionSettings:
    """Parameters of upstream selection.

    Attributes:
        n_candidates: Random candidates per selection, at least 1.
        max_scanned: Upstreams examined when no candidate has free capacity.
        overflow_share: Share of the requests for which an upstream with
            the cached prefix may queue one request over its capacity, since
            a short wait costs no more than processing the prompt again.
    """

    n_candidates: int = 8
    overflow_share: float = 0.6
    max_scanned: int = 64


@dataclass(slots=True)
class UpstreamLoad:
    """Load of one upstream as known to one node.

    Attributes:
        n_own: Requests in progress from this node.
        n_cell_peers: Requests in progress from the other nodes of the cell.
        n_other_cells: Moving average of the reported load that the cell's own
            counts do not explain.
        ejected_until_s: Monotonic time until which it gets no new requests.
        leaving: Whether the VM list or a peer reports that it is draining.
        wrong_version: Whether it reports another version than its pool's.
    """

    n_own: int = 0
    n_cell_peers: int = 0
    n_other_cells: float = 0
    ejected_until_s: float = 0
    leaving: bool = False
    wrong_version: bool = False


@dataclass(slots=True)
class LoadTracker:
    """Loads of all upstreams that a node uses.

    Attributes:
        loads_by_id: Load by upstream.
        counts_by_peer: Latest counts reported by each node of the cell, by
            upstream.
    """

    loads_by_id: dict[str, UpstreamLoad] = field(default_factory=dict)
    counts_by_peer: dict[str, dict[str, int]] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class PoolHashRing:
    """A pool with its consistent-hash ring.

    Attributes:
        pool: Row of the table of pools.
        ids: Ids of the upstreams.
        preferred_ids: Ids of the upstreams in this node's cell; all of them
            when there are no cells or the cell has none of the pool.
        owners: Ring that assigns prompt prefixes to upstreams.
    """

    pool: Pool
    ids: tuple[str, ...]
    preferred_ids: tuple[str, ...]
    owners: HashRing


@dataclass(slots=True, frozen=True)
class SelectionCriteria:
    """Selection criteria of one request.

    Attributes:
        recent_upstream_ids: Upstreams that served its session, most recent
            first.
        prefix_key: Start of the prompt; empty for none.
        excluded_ids: Upstreams that must not be selected.
        capacity_share: Share of the upstream capacity that it may use.
    """

    recent_upstream_ids: tuple[str, ...] = ()
    prefix_key: str = ''
    excluded_ids: frozenset[str] = frozenset()
    capacity_share: float = 1


Selector = Callable[[PoolHashRing, SelectionCriteria, float], str | None]


def build_ring(
    pool: Pool, is_home: Callable[[Upstream], bool] | None = None
) -> PoolHashRing:
    """Build the hash ring of a pool, in O(n log n) once per revision.

    Args:
        pool: Row of the table of pools.
        is_home: Predicate for the upstreams of the node's cell.
    """
    ids = tuple(pool.upstreams_by_id)
    preferred_ids = ids
    if is_home is not None:
        preferred_ids = tuple(
            upstream_id
            for upstream_id, upstream in pool.upstreams_by_id.items()
            if is_home(upstream)
        )
    return PoolHashRing(
        pool,
        ids,
        preferred_ids or ids,
        build_hash_ring(ids, _POINTS_PER_UPSTREAM),
    )


def estimate_load(load: UpstreamLoad) -> float:
    """Estimate the requests in progress at an upstream."""
    return load.n_own + load.n_cell_peers + max(0, load.n_other_cells)


def record_start(tracker: LoadTracker, upstream_id: str) -> None:
    """Count a request before it is sent."""
    _get_or_create_load(tracker, upstream_id).n_own += 1


def record_end(tracker: LoadTracker, upstream_id: str) -> None:
    """Count a request that has ended."""
    tracker.loads_by_id[upstream_id].n_own -= 1


def record_peer_counts(
    tracker: LoadTracker, peer_id: str, counts_by_upstream: Mapping[str, int]
) -> None:
    """Replace the counts of requests in progress reported by a peer.

    Args:
        tracker: Modified in place.
        peer_id: Node of the cell that reported.
        counts_by_upstream: Requests in progress; a missing upstream has 0.
    """
    previous = tracker.counts_by_peer.get(peer_id, {})
    for upstream_id in previous.keys() | counts_by_upstream.keys():
        delta = counts_by_upstream.get(upstream_id, 0)
        delta -= previous.get(upstream_id, 0)
        _get_or_create_load(tracker, upstream_id).n_cell_peers += delta
    tracker.counts_by_peer[peer_id] = dict(counts_by_upstream)


def remove_peer_counts(tracker: LoadTracker, peer_id: str) -> None:
    """Drop the counts of a peer that timed out or left the cell."""
    record_peer_counts(tracker, peer_id, {})
    tracker.counts_by_peer.pop(peer_id)


def record_load_report(
    tracker: LoadTracker, upstream_id: str, reported: float
) -> None:
    """Apply a load report of an upstream.

    The reported load beyond the counts of this cell is attributed to the
    other cells.
    """
    load = _get_or_create_load(tracker, upstream_id)
    unexplained = reported - load.n_own - load.n_cell_peers
    load.n_other_cells += _REPORT_SMOOTHING_FACTOR * (
        unexplained - load.n_other_cells
    )


def prepend_upstream(
    recent_upstream_ids: tuple[str, ...], upstream_id: str
) -> tuple[str, ...]:
    """Move an upstream to the front of those that served a session."""
    others = tuple(
        known for known in recent_upstream_ids if known != upstream_id
    )
    return (upstream_id, *others)[:_MAX_RECENT_UPSTREAMS]


def make_selector(
    tracker: LoadTracker,
    settings: SelectionSettings,
    random_source: random.Random,
) -> Selector:
    """Make the function that selects an upstream.

    Args:
        tracker: Loads, read at each selection.
        settings: Parameters of the selection.
        random_source: Random generator for the candidates.

    Returns:
        A function of ring, criteria and monotonic time. It returns the id
        of an upstream, or None when no examined upstream has free capacity.
    """

    def select(
        ring: PoolHashRing, criteria: SelectionCriteria, now_s: float
    ) -> str | None:
        limit = ring.pool.capacity * criteria.capacity_share
        usable = _make_usable_filter(
            tracker, criteria.excluded_ids, limit, now_s
        )
        for ids, n_sampled in (
            (ring.preferred_ids, settings.n_candidates),
            (ring.preferred_ids, settings.max_scanned),
            (ring.ids, settings.max_scanned),
        ):
            sampled = _sample_ids(ids, n_sampled, random_source)
            best = _select_least_loaded(tracker, filter(usable, sampled))
            if best is not None:
                break
        if best is None:
            return None
        limit += random_source.random() < settings.overflow_share
        usable = _make_usable_filter(
            tracker, criteria.excluded_ids, limit, now_s
        )
        cached = filter(usable, _iter_cached(ring, criteria))
        return _select_least_loaded(tracker, cached) or best

    return select


def _get_or_create_load(tracker: LoadTracker, upstream_id: str) -> UpstreamLoad:
    load = tracker.loads_by_id.get(upstream_id)
    if load is None:
        load = UpstreamLoad()
        tracker.loads_by_id[upstream_id] = load
    return load


def _iter_cached(
    ring: PoolHashRing, criteria: SelectionCriteria
) -> Iterator[str]:
    """Yield the upstreams that may have the prefix of the prompt cached."""
    for recent_id in criteria.recent_upstream_ids:
        if recent_id in ring.pool.upstreams_by_id:
            yield recent_id
    if criteria.prefix_key and not criteria.recent_upstream_ids:
        yield from iter_two_owners(ring.owners, criteria.prefix_key)


def _make_usable_filter(
    tracker: LoadTracker,
    excluded_ids: frozenset[str],
    limit: float,
    now_s: float,
) -> Callable[[str], bool]:
    """Make the predicate for upstreams that may take another request."""

    def is_usable(upstream_id: str) -> bool:
        if upstream_id in excluded_ids:
            return False
        load = tracker.loads_by_id.get(upstream_id)
        if load is None:
            return True
        if load.leaving or load.wrong_version:
            return False
        if load.ejected_until_s > now_s:
            return False
        return estimate_load(load) + 1 <= limit + _limit_offset(upstream_id)

    return is_usable


def _limit_offset(upstream_id: str) -> float:
    """Return an offset from the hash of the upstream, in [0, 1).

    Added to a fractional limit, it rounds the limit up for some upstreams
    and down for others.
    """
    return (_hash(upstream_id) % _OFFSET_STEPS) / _OFFSET_STEPS


def _known_load(tracker: LoadTracker, upstream_id: str) -> float:
    load = tracker.loads_by_id.get(upstream_id)
    return 0 if load is None else estimate_load(load)


def _select_least_loaded(
    tracker: LoadTracker, ids: Iterable[str]
) -> str | None:
    def load_key(upstream_id: str) -> float:
        return _known_load(tracker, upstream_id)

    return min(ids, key=load_key, default=None)


def _sample_ids(
    ids: tuple[str, ...], n_candidates: int, random_source: random.Random
) -> list[str]:
    if len(ids) <= n_candidates:
        return random_source.sample(ids, len(ids))
    return random_source.sample(ids, n_candidates)


def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
