"""Tests of the crashes that count against requests."""

from itertools import chain

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.crash_evidence import (
    CrashHistory,
    CrashRecord,
    Suspect,
    add_crash,
    count_crashes,
    is_suspect,
    record_proof,
)
from turmericcrank_core.request_judgement import find_requests

from tests.crash_builders import crash

_records = st.lists(
    st.builds(
        CrashRecord,
        st.sampled_from(['u1', 'u2', 'u3']),
        st.integers(0, 40).map(float),
        st.frozensets(
            st.sampled_from(['poison', 'a', 'b']).map(Suspect), min_size=1
        ),
    ),
    max_size=8,
)


def _is_poison(history, fingerprint):
    return frozenset((fingerprint,)) in find_requests(history, {})


def test_two_crashes_identify_a_poison_request_and_no_concurrent_one():
    history = CrashHistory()
    crash(history, 'u1', 10.0, 'poison', 'a', 'b')
    assert is_suspect(history, 'a')
    assert not _is_poison(history, 'poison')
    record_proof(history, ['a'], 11.0)
    crash(history, 'u2', 20.0, 'poison', 'c')
    assert _is_poison(history, 'poison')
    assert not any(_is_poison(history, other) for other in 'abc')


def test_two_suspects_in_one_crash_are_not_identified_as_poison():
    history = CrashHistory()
    crash(history, 'u1', 10.0, 'poison', 'a')
    crash(history, 'u2', 20.0, 'poison', 'a')
    assert not _is_poison(history, 'poison')
    crash(history, 'u3', 30.0, 'poison')
    assert _is_poison(history, 'poison')
    assert not _is_poison(history, 'a')


def test_one_crash_seen_by_two_nodes_counts_once():
    history = CrashHistory()
    crash(history, 'u1', 10.0, 'poison')
    crash(history, 'u1', 10.8, 'poison', 'a')
    assert count_crashes(history, 'poison') == 1


@given(_records)
def test_repeated_records_change_nothing(records):
    once, twice = CrashHistory(), CrashHistory()
    for record in records:
        add_crash(once, record)
    for record in chain(records, records):
        add_crash(twice, record)
    fingerprints = ('poison', 'a', 'b')
    assert [_is_poison(once, one) for one in fingerprints] == [
        _is_poison(twice, one) for one in fingerprints
    ]


@given(_records)
def test_a_request_in_fewer_than_two_crashes_is_never_poison(records):
    history = CrashHistory()
    for record in records:
        add_crash(history, record)
    for fingerprint in ('poison', 'a', 'b'):
        if count_crashes(history, fingerprint) < 2:
            assert not _is_poison(history, fingerprint)


def test_old_crashes_are_forgotten():
    history = CrashHistory(retention_s=100)
    crash(history, 'u1', 10.0, 'poison')
    crash(history, 'u2', 200.0, 'b')
    assert not is_suspect(history, 'poison')
