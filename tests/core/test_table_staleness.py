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


def test_a_table_that_was_never_read_has_no_proof():
    assert staleness_s(TableStaleness(), 10) == float('inf')


def test_a_peer_with_a_newer_change_proves_nothing_here():
    proof = TableStaleness()
    record_read(proof, version=7, change=3, read_s=1)
    record_peer_state(proof, PeerTableState(change=8, current_as_of_s=5))
    assert staleness_s(proof, 6) == 5
    assert is_stale(proof)
    record_read(proof, version=8, change=8, read_s=6)
    assert not is_stale(proof)


@given(
    st.lists(_versions, max_size=6),
    st.lists(st.tuples(_times, st.booleans(), st.integers(0, 1)), max_size=8),
)
def test_a_proof_is_never_younger_than_the_newest_unread_change(
    changes_s, readings
):
    """Two nodes read one store and report to each other.

    The store changes between reads, at the given times.
    """
    change_times_s = sorted(float(change) for change in changes_s)
    proofs = [TableStaleness(), TableStaleness()]
    for read_s, sends, reader in sorted(readings):
        store_version = sum(change_s <= read_s for change_s in change_times_s)
        record_read(proofs[reader], store_version, store_version, read_s)
        if sends:
            peer = PeerTableState(proofs[reader].change, read_s)
            record_peer_state(proofs[1 - reader], peer)
    for proof in proofs:
        if proof.current_as_of_s is not None:
            expected_version = sum(
                change_s <= proof.current_as_of_s for change_s in change_times_s
            )
            assert proof.read_version >= expected_version


def test_one_reader_is_enough_and_the_others_follow_when_it_is_silent():
    ages_s = [plan_read_threshold_s(rank, True) for rank in range(490)]
    assert ages_s[0] == 0
    assert min(ages_s[1:]) >= 1
    assert max(ages_s) < 2
    assert ages_s == sorted(ages_s)


def test_cells_that_do_not_read_for_all_wait_for_news_of_it():
    ages_s = [plan_read_threshold_s(rank, False) for rank in range(490)]
    assert min(ages_s) > plan_read_threshold_s(1, True)
    assert max(ages_s) < 2


@given(st.floats(0.5, 5), st.floats(0.5, 5), st.floats(1, 10))
def test_reading_keeps_up_with_tight_promises(apply_s, drain_s, revoke_s):
    """The last node to read the store itself does so before each bound."""
    cadence = plan_read_interval_factor(apply_s, drain_s, revoke_s)
    oldest_s = cadence * max(
        plan_read_threshold_s(rank, is_reading_cell)
        for rank in range(20)
        for is_reading_cell in (True, False)
    )
    assert oldest_s < min(apply_s, drain_s, revoke_s * 0.8)
    assert plan_read_interval_factor(2, 2, 5) == 1
