"""Tests of the staleness bound of a table copy."""

from bisect import bisect_right
from dataclasses import dataclass, field

from hypothesis import example, given
from hypothesis import strategies as st
from turmericcrank_core.table_staleness import (
    PeerTableState,
    TableStaleness,
    is_stale,
    plan_read_interval_factor,
    plan_read_threshold_s,
    record_complete_read,
    record_peer_state,
    record_read,
    staleness_s,
)

_N_NODES = 3
_nodes = st.integers(0, _N_NODES - 1)


def test_a_table_that_was_never_read_is_infinitely_stale():
    assert staleness_s(TableStaleness(), 10) == float('inf')


def test_a_peer_with_a_newer_change_does_not_lower_the_staleness():
    copy_state = TableStaleness()
    record_read(copy_state, version=7, change=3, read_s=1)
    record_peer_state(copy_state, PeerTableState(8, 8, 0, current_as_of_s=5))
    assert staleness_s(copy_state, 6) == 5
    assert is_stale(copy_state)
    record_read(copy_state, version=8, change=8, read_s=6)
    assert not is_stale(copy_state)


@dataclass
class _Store:
    """A store that keeps each version of one table, and a copy a node."""

    tables: list = field(default_factory=lambda: [{}])
    times_s: list = field(default_factory=lambda: [0])
    copies: list = field(default_factory=lambda: [{} for _ in range(_N_NODES)])
    states: list = field(
        default_factory=lambda: [TableStaleness() for _ in range(_N_NODES)]
    )

    @property
    def version(self):
        return len(self.tables) - 1

    def change(self, key, is_deletion, now_s):
        table = dict(self.tables[-1])
        if not is_deletion:
            table[key] = self.version + 1
        elif key in table:
            table.pop(key)
        self.tables.append(table)
        self.times_s.append(now_s)

    def read(self, node, now_s):
        state = self.states[node]
        if state.read_version < 0:
            self.copies[node] = dict(self.tables[-1])
            change = max(self.tables[-1].values(), default=0)
            record_complete_read(state, self.version, change, now_s)
        else:
            self.copies[node] = dict(self.tables[-1])
            record_read(state, self.version, self._last_change(state), now_s)

    def restart(self, node):
        self.states[node] = TableStaleness()
        self.copies[node] = {}

    def report(self, sender, receiver):
        """Let a node tell another one how current its copy is."""
        told = self.states[sender]
        if told.current_as_of_s is not None:
            peer = PeerTableState(
                told.read_version,
                told.change,
                told.known_since,
                told.current_as_of_s,
            )
            record_peer_state(self.states[receiver], peer)

    def _last_change(self, state):
        """Return the version of the last change after the copy."""
        changed = [
            version
            for version in range(
                max(1, state.read_version + 1), self.version + 1
            )
            if self.tables[version] != self.tables[version - 1]
        ]
        return max(changed, default=0)


@given(
    st.lists(
        st.one_of(
            st.tuples(st.just('change'), st.integers(0, 3), st.booleans()),
            st.tuples(st.just('read'), _nodes),
            st.tuples(st.just('restart'), _nodes),
            st.tuples(st.just('report'), _nodes, _nodes),
        ),
        max_size=25,
    )
)
@example(
    [
        ('change', 0, False),
        ('change', 1, False),
        ('read', 0),
        ('change', 1, True),
        ('read', 1),
        ('report', 1, 0),
    ]
)
@example(
    # Node 0 knows nothing of the deletion before the read of node 1.
    [
        ('change', 0, False),
        ('change', 1, False),
        ('read', 0),
        ('read', 2),
        ('change', 1, True),
        ('read', 1),
        ('report', 0, 1),
        ('report', 1, 2),
    ]
)
def test_a_copy_holds_every_change_up_to_its_current_as_of_time(steps):
    """Nodes read, restart and report to each other, while rows change.

    A node applies changes only when it reads them, so a copy that is called
    current by a proof alone must equal the table.
    """
    store = _Store()
    for now_s, (action, *arguments) in enumerate(steps, start=1):
        if action in {'change', 'read'}:
            arguments.append(now_s)
        getattr(store, action)(*arguments)
    for copy, state in zip(store.copies, store.states, strict=True):
        if state.current_as_of_s is not None:
            n_changes = bisect_right(store.times_s, state.current_as_of_s)
            assert state.read_version >= n_changes - 1
            assert copy == store.tables[state.read_version]


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
