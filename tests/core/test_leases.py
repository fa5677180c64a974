"""A lease has one active holder; its fencing token exposes late ones."""

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.leases import (
    LeaseObservation,
    LeaseRow,
    check_lease,
    is_held,
    plan_lease,
    record_lease,
    serialize_lease,
)

_LENGTH_S = 6
_MARGIN_S = 2


class _Holder:
    """A node with an arbitrary clock offset that may be paused."""

    def __init__(self, name, offset_s):
        self.name = name
        self.offset_s = offset_s
        self.watch = LeaseObservation()
        self.written_s = None
        self.fence = 0

    def tick(self, store, true_s):
        now_s = true_s + self.offset_s
        record_lease(self.watch, store.get('row'), now_s)
        row = plan_lease(self.watch, self.name, _LENGTH_S, now_s)
        if row is not None:
            store['row'] = row
            self.written_s = now_s
            self.fence = row.fence
        elif store['row'].holder != self.name:
            self.written_s = None

    def may_act(self, true_s):
        return is_held(
            self.written_s, true_s + self.offset_s, _LENGTH_S, _MARGIN_S
        )


@given(
    st.tuples(st.integers(-500, 500), st.integers(-500, 500)),
    st.lists(
        st.tuples(st.integers(0, 1), st.sampled_from([0, 1, 2, 3, 5, 7, 12])),
        min_size=12,
        max_size=40,
    ),
)
def test_two_holders_never_act_at_once_whatever_their_clocks(offsets, steps):
    store = {}
    holders = [
        _Holder(f'n{place}', offset) for place, offset in enumerate(offsets)
    ]
    true_s, fences = 1000, [0]
    for index, pause_s in steps:
        true_s += pause_s
        holders[index].tick(store, true_s)
        fences.append(store['row'].fence)
        assert sum(holder.may_act(true_s) for holder in holders) <= 1
    assert fences == sorted(fences)


def test_a_new_holder_has_a_higher_fencing_token():
    watch = LeaseObservation(LeaseRow('n1', 4, 9, _LENGTH_S), changed_s=10)
    assert plan_lease(watch, 'n2', _LENGTH_S, 16) is None
    assert plan_lease(watch, 'n2', _LENGTH_S, 16.1).fence == 5
    assert plan_lease(watch, 'n1', _LENGTH_S, 11).fence == 4


def test_a_lease_row_survives_serialization():
    row = LeaseRow('n1', 4, 9, _LENGTH_S)
    assert check_lease(serialize_lease(row)) == row
    assert check_lease(None) is None
