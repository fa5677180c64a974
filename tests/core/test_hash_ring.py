"""Tests of consistent hashing."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.hash_ring import (
    build_hash_ring,
    find_owner,
    iter_two_owners,
)

_KEYS = [f'key{number}' for number in range(1000)]
_NAMES = st.sets(st.text('abc', min_size=1, max_size=4), min_size=1)


def _assign(names):
    ring = build_hash_ring(names, 16)
    return {key: find_owner(ring, key) for key in _KEYS}


@given(_NAMES, st.text('xyz', min_size=1, max_size=3))
def test_a_new_owner_only_takes_keys_over(names, added):
    before = _assign(names)
    after = _assign({*names, added})
    moved = {key for key in _KEYS if before[key] != after[key]}
    assert all(after[key] == added for key in moved)


def test_keys_are_spread_over_all_owners():
    n_by_owner = Counter(
        _assign({f'n{number}' for number in range(20)}).values()
    )
    assert len(n_by_owner) == 20
    assert max(n_by_owner.values()) < 150


def test_the_next_owner_differs_from_the_first():
    assert list(iter_two_owners(build_hash_ring(['a'], 4), 'k')) == ['a']
    two = list(iter_two_owners(build_hash_ring(['a', 'b'], 4), 'k'))
    assert sorted(two) == ['a', 'b']
