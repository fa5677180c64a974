"""Selection of upstreams, and the cells of nodes."""

import random

from hypothesis import example, given
from hypothesis import strategies as st
from turmericcrank_core.cells import (
    make_cell_filter,
    plan_cell_peers,
    plan_n_cells,
)
from turmericcrank_core.selection import (
    LoadTracker,
    SelectionCriteria,
    SelectionSettings,
    UpstreamLoad,
    build_ring,
    estimate_load,
    make_selector,
    prepend_upstream,
    record_end,
    record_load_report,
    record_peer_counts,
    record_start,
    remove_peer_counts,
)
from turmericcrank_core.tables import check_tables

from tests.builders import make_raw_tables, make_tables

_NAMES = [f'u{number}' for number in range(5)]
_loads = st.builds(
    UpstreamLoad,
    n_own=st.integers(0, 9),
    n_cell_peers=st.integers(0, 9),
    n_other_cells=st.floats(-3, 3),
    ejected_until_s=st.sampled_from([0.0, 200.0]),
    leaving=st.booleans(),
    wrong_version=st.booleans(),
)


def _make_ring(n_upstreams):
    tables = check_tables(make_raw_tables(n_upstreams)).ok
    return build_ring(tables.pools_by_name['cheap'])


def _make_select(tracker, seed=1):
    return make_selector(tracker, SelectionSettings(), random.Random(seed))


@example(
    {
        **dict.fromkeys(_NAMES, UpstreamLoad(wrong_version=True)),
        'u0': UpstreamLoad(n_cell_peers=5, n_other_cells=2.5),
    },
    set(),
    '',
)
@given(
    st.dictionaries(st.sampled_from(_NAMES), _loads),
    st.sets(st.sampled_from(_NAMES)),
    st.text(max_size=3),
)
def test_a_usable_upstream_is_selected_if_there_is_one(loads, tried, prefix):
    tracker = LoadTracker(loads)
    ring = _make_ring(5)
    criteria = SelectionCriteria((), prefix, frozenset(tried))
    chosen = _make_select(tracker)(ring, criteria, 100.0)
    capacity = ring.pool.capacity
    usable, below_limit = (
        {
            name
            for name in ring.ids
            if name not in tried and _is_usable(loads.get(name), limit)
        }
        for limit in (capacity, capacity - 0.999)
    )
    assert chosen in usable or (chosen is None and not below_limit)


def _is_usable(load, capacity):
    """Return whether an upstream may be selected and is below a limit.

    Between the capacity minus one and the capacity, which only the load
    estimated from reports can reach, the hash of the upstream id decides
    (DESIGN.md, note 13).
    """
    if load is None:
        return True
    is_bad = load.leaving or load.wrong_version or load.ejected_until_s > 100
    return not is_bad and estimate_load(load) < capacity


def test_a_smaller_capacity_share_leaves_capacity_free():
    tracker = LoadTracker({'v0': UpstreamLoad(n_own=4)})
    ring = build_ring(make_tables().pools_by_name['best'])
    assert (
        _make_select(tracker)(ring, SelectionCriteria(capacity_share=0.5), 0)
        is None
    )
    assert _make_select(tracker)(ring, SelectionCriteria(), 0) == 'v0'


def test_a_prefix_keeps_its_upstream_until_that_is_full():
    tracker = LoadTracker()
    ring = _make_ring(50)
    select = _make_select(tracker)
    criteria = SelectionCriteria(prefix_key='prefix')
    first = select(ring, criteria, 0)
    assert select(ring, criteria, 0) == first
    tracker.loads_by_id[first] = UpstreamLoad(n_own=9)
    assert select(ring, criteria, 0) != first


def test_a_session_prefers_an_upstream_that_served_it():
    tracker = LoadTracker({'u7': UpstreamLoad(n_own=9)})
    criteria = SelectionCriteria(recent_upstream_ids=('u7', 'u3', 'gone'))
    assert _make_select(tracker)(_make_ring(50), criteria, 0) == 'u3'
    assert prepend_upstream(('u7', 'u3', 'u1'), 'u3') == ('u3', 'u7', 'u1')
    assert prepend_upstream(('u7', 'u3', 'u1'), 'u9') == ('u9', 'u7', 'u3')


@given(
    st.lists(
        st.tuples(
            st.sampled_from(['n1', 'n2']),
            st.dictionaries(st.sampled_from(_NAMES), st.integers(1, 9)),
        )
    )
)
def test_reported_counts_of_a_peer_replace_its_previous_ones(messages):
    tracker = LoadTracker()
    last = {}
    for peer_id, counts in messages:
        record_peer_counts(tracker, peer_id, counts)
        last[peer_id] = counts
    for name in _NAMES:
        expected = sum(
            peer_counts.get(name, 0) for peer_counts in last.values()
        )
        load = tracker.loads_by_id.get(name, UpstreamLoad())
        assert load.n_cell_peers == expected
    for peer_id in last:
        remove_peer_counts(tracker, peer_id)
    assert not any(load.n_cell_peers for load in tracker.loads_by_id.values())


def test_load_reports_reveal_the_load_of_other_cells():
    tracker = LoadTracker()
    record_start(tracker, 'u0')
    record_peer_counts(tracker, 'n2', {'u0': 2})
    for _ in range(60):
        record_load_report(tracker, 'u0', 7)
    assert round(estimate_load(tracker.loads_by_id['u0'])) == 7
    record_end(tracker, 'u0')
    assert round(estimate_load(tracker.loads_by_id['u0'])) == 6


@given(st.integers(1, 600), st.integers(1, 4000))
def test_cell_peers_are_mutual_and_cells_have_enough_upstreams(
    n_nodes, n_upstreams
):
    n_cells = plan_n_cells(n_nodes, n_upstreams)
    assert n_cells >= 1
    assert n_cells == 1 or n_upstreams / n_cells >= 16
    names = [f'n{number}' for number in range(min(n_nodes, 40))]
    for name in names:
        for other in plan_cell_peers(names, name, n_cells):
            assert name in plan_cell_peers(names, other, n_cells)


def test_a_cell_prefers_its_own_upstreams_and_overflows_to_others():
    pool = check_tables(make_raw_tables(64)).ok.pools_by_name['cheap']
    ring = build_ring(pool, make_cell_filter('n1', 4))
    tracker = LoadTracker()
    select = _make_select(tracker)
    assert 0 < len(ring.preferred_ids) < 64
    assert select(ring, SelectionCriteria(), 0) in ring.preferred_ids
    for name in ring.preferred_ids:
        tracker.loads_by_id[name] = UpstreamLoad(n_own=8)
    chosen = select(ring, SelectionCriteria(), 0)
    assert chosen is not None
    assert chosen not in ring.preferred_ids
