"""Tests of the memory that request bodies take."""

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.byte_budget import (
    ByteBudget,
    make_body_budget,
    release_bytes,
    reserve_bytes,
)

_MEMORY_BYTES = 150e6
_LARGEST_BODY_BYTES = 4 * 1024 * 1024
_SMALL_BODY_BYTES = 20_000


@given(st.lists(st.integers(0, 60), max_size=40), st.integers(1, 300))
def test_reservations_stay_within_the_budget(sizes, max_bytes):
    budget = ByteBudget(max_bytes)
    granted = [size for size in sizes if reserve_bytes(budget, 0, size)]
    assert budget.reserved_bytes == sum(granted)
    assert budget.reserved_bytes <= max_bytes
    for size in granted:
        release_bytes(budget, size)
    assert budget.reserved_bytes == 0


def test_small_bodies_find_room_beside_the_largest_ones():
    budget = make_body_budget(_MEMORY_BYTES)
    while reserve_bytes(budget, 0, _LARGEST_BODY_BYTES):
        assert budget.reserved_bytes < _MEMORY_BYTES / 2
    n_small = sum(
        reserve_bytes(budget, 0, _SMALL_BODY_BYTES) for _ in range(400)
    )
    assert n_small == 400


def test_a_body_that_grows_counts_as_a_large_one():
    budget = ByteBudget(max_bytes=100_000)
    assert reserve_bytes(budget, 0, 60_000)
    assert not reserve_bytes(budget, 60_000, 30_000)
    assert budget.reserved_bytes == 60_000
