"""Tests of the memory that request bodies take."""

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.inbound import (
    ByteBudget,
    ByteHold,
    hold_bytes,
    hold_spare_bytes,
    make_body_budget,
    release_bytes,
    release_hold,
    reserve_bytes,
)

_MEMORY_BYTES = 150e6
_LARGEST_BODY_BYTES = 4 * 1024 * 1024
_SMALL_BODY_BYTES = 20_000
# The part of the room that large bodies must not take.
_LEAST_ROOM_BYTES = 0.2 * 0.45 * _MEMORY_BYTES


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


@given(st.lists(st.integers(1, 20_000), min_size=1, max_size=400))
def test_endless_responses_leave_room_for_others(parts):
    """However many there are, and however they grow beside each other."""
    budget = make_body_budget(_MEMORY_BYTES)
    holds = [ByteHold(budget) for _ in range(40)]
    for number, part in enumerate(parts * len(holds)):
        hold = holds[number % len(holds)]
        hold_bytes(hold, hold.n_bytes + part * 50)
    largest = max(hold.n_bytes for hold in holds)
    assert largest <= budget.max_bytes / 2
    assert budget.max_bytes - budget.reserved_bytes >= _LEAST_ROOM_BYTES
    assert reserve_bytes(budget, 0, _SMALL_BODY_BYTES)
    assert budget.reserved_bytes <= budget.max_bytes
    for hold in holds:
        release_hold(hold)
    assert budget.reserved_bytes == _SMALL_BODY_BYTES


def test_lost_bytes_that_can_wait_leave_the_rest_of_the_room():
    """Also bytes of heads and of pipelined requests, however many there are."""
    budget = ByteBudget(max_bytes=100_000)
    holds = [ByteHold(budget) for _ in range(10)]
    n_granted = sum(hold_spare_bytes(hold, 15_000, 0.5) for hold in holds)
    assert n_granted == 3
    assert budget.reserved_bytes == 45_000
    assert reserve_bytes(budget, 0, 55_000)
    assert hold_spare_bytes(holds[0], 5_000, 0.5)
    assert not hold_spare_bytes(holds[0], 6_000, 0.5)
    assert budget.reserved_bytes == 90_000
