"""Consistent hashing: assigns each key to one of several named owners.

Adding or removing one owner changes the assignment of few keys, so processes
that know slightly different owners still agree on most keys.
Source: Karger et al., "Consistent Hashing and Random Trees", STOC 1997.
"""

import bisect
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import xxhash

__all__ = ('HashRing', 'build_hash_ring', 'find_owner', 'iter_two_owners')


@dataclass(slots=True, frozen=True)
class HashRing:
    """Points of a ring, several for each owner.

    Attributes:
        points: Sorted hashes.
        owners: Owner of each point.
    """

    points: tuple[int, ...] = ()
    owners: tuple[str, ...] = ()


def build_hash_ring(owners: Iterable[str], n_points: int) -> HashRing:
    """Build a ring in O(n log n).

    Args:
        owners: Names of the owners.
        n_points: Points of each owner; more of them spread the keys more
            evenly.
    """
    pairs = sorted(
        (_hash(f'{owner}#{index}'), owner)
        for owner in owners
        for index in range(n_points)
    )
    return HashRing(
        tuple(point for point, _ in pairs), tuple(owner for _, owner in pairs)
    )


def find_owner(ring: HashRing, key: str) -> str:
    """Return the owner of a key, in O(log n); the ring must not be empty."""
    return next(iter_two_owners(ring, key))


def iter_two_owners(ring: HashRing, key: str) -> Iterator[str]:
    """Yield the owner of a key and, if there is one, the next owner."""
    start = bisect.bisect(ring.points, _hash(key))
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
