"""Tests of the staleness bound of a table copy."""

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.table_staleness import (
    PeerTableState,
    TableStaleness,
    is_stale,
    plan_read_interval_factor,
    plan_read_threshold_s,
    record_peer_state,
    record_read,
    staleness_s,
)

_versions = st.integers(0, 6)
_times = st.floats(0, 50)


def test_a_table_that_was_never_read_is_infinitely_stale():
    assert staleness_s(TableStaleness(), 10) == float('inf')


def test_a_peer_with_a_newer_change_does_not_lower_the_staleness():
    copy_state = TableStaleness()
    record_read(copy_state, version=7, change=3, read_s=1)
    record_peer_state(copy_state, PeerTableState(change=8, current_as_of_s=5))
    assert staleness_s(copy_state, 6) == 5
    assert is_stale(copy_state)
    record_read(copy_state, version=8, change=8, read_s=6)
    assert not is_stale(copy_state)


@given(
    st.lists(_versions, max_size=6),
    st.lists(st.tuples(_times, st.booleans(), st.integers(0, 1)), max_size=8),
)
def test_a_copy_holds_every_change_up_to_its_current_as_of_time(
    changes_s, reads
):
    """Two nodes read one store and report to each other.

    The store changes between reads, at the given times.
    """
    change_times_s = sorted(float(change) for change in changes_s)
    copy_states = [TableStaleness(), TableStaleness()]
    for read_s, sends, reader in sorted(reads):
        store_version = sum(change_s <= read_s for change_s in change_times_s)
        record_read(copy_states[reader], store_version, store_version, read_s)
        if sends:
            peer = PeerTableState(copy_states[reader].change, read_s)
            record_peer_state(copy_states[1 - reader], peer)
    for copy_state in copy_states:
        if copy_state.current_as_of_s is not None:
            expected_version = sum(
                change_s <= copy_state.current_as_of_s
                for change_s in change_times_s
            )
            assert copy_state.read_version >= expected_version


def test_read_thresholds_in_the_reading_cell_grow_with_the_rank():
    ages_s = [plan_read_threshold_s(rank, True) for rank in range(490)]
    assert ages_s[0] == 0
    assert min(ages_s[1:]) >= 1
    assert max(ages_s) < 2
    assert ages_s == sorted(ages_s)


def test_other_cells_read_later_than_rank_one_of_the_reading_cell():
    ages_s = [plan_read_threshold_s(rank, False) for rank in range(490)]
    assert min(ages_s) > plan_read_threshold_s(1, True)
    assert max(ages_s) < 2


@given(st.floats(0.5, 5), st.floats(0.5, 5), st.floats(1, 10))
def test_all_read_thresholds_are_below_the_configured_bounds(
    apply_s, drain_s, revoke_s
):
    """The last node to read the store itself does so before each bound."""
    interval_factor = plan_read_interval_factor(apply_s, drain_s, revoke_s)
    oldest_s = interval_factor * max(
        plan_read_threshold_s(rank, is_reading_cell)
        for rank in range(20)
        for is_reading_cell in (True, False)
    )
    assert oldest_s < min(apply_s, drain_s, revoke_s * 0.8)
    assert plan_read_interval_factor(2, 2, 5) == 1
