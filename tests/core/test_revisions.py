"""An accepted revision of the tables is never reverted."""

from itertools import chain

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.revisions import (
    RevisionState,
    Snapshot,
    adopt_patch,
    adopt_snapshot,
    is_own_patch,
    make_snapshot,
    record_known_revision,
)

from tests.builders import make_patch, make_raw_tables

_N_PATCHES = 6
_PATCHES = [
    make_patch(number, deadline_s=number) for number in range(1, _N_PATCHES)
]
_SNAPSHOTS = [
    Snapshot(number, make_raw_tables(deadline_s=number))
    for number in range(1, _N_PATCHES)
]
_messages = st.lists(st.sampled_from([*_PATCHES, *_SNAPSHOTS]), max_size=40)


def _deliver(state, message):
    if isinstance(message, Snapshot):
        return adopt_snapshot(state, message)
    return adopt_patch(state, message)


@given(_messages)
def test_no_order_of_messages_reverts_a_revision(messages):
    state = RevisionState()
    for message in messages:
        before = state.revision
        _deliver(state, message)
        assert state.revision >= before
        if state.revision:
            deadline_s = state.tables.routes_by_name['quotes'].deadline_s
            assert deadline_s == state.revision


@given(_messages)
def test_a_node_that_missed_patches_catches_up(messages):
    state = RevisionState()
    for message in chain(messages, _PATCHES):
        _deliver(state, message)
    assert state.revision == _N_PATCHES - 1
    assert make_snapshot(state).raw == _SNAPSHOTS[-1].raw


@given(_messages)
def test_a_node_is_stale_while_it_lacks_a_known_revision(messages):
    state = RevisionState()
    for now_s, message in enumerate(messages):
        record_known_revision(state, message.revision, float(now_s))
        _deliver(state, message)
        is_stale = state.known_revision > state.revision
        assert (state.stale_since_s is not None) == is_stale


def test_an_own_patch_is_recognized_by_its_token():
    patch = make_patch(1)
    assert is_own_patch(patch, patch.token)
    assert not is_own_patch(patch, 'another')
    assert not is_own_patch(None, patch.token)
