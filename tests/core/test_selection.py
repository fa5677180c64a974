"""Choice of upstreams."""

import random

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.selection import (
    LoadBook,
    SelectionSettings,
    UpstreamLoad,
    build_ring,
    estimate_load,
    make_selector,
    note_end,
    note_report,
    note_start,
)
from turmericcrank_core.tables import check_tables

from tests.builders import make_raw_tables, make_tables

_NONE = frozenset()
_NAMES = [f'u{number}' for number in range(5)]
_loads = st.builds(
    UpstreamLoad,
    n_own=st.integers(0, 12),
    reported=st.integers(0, 12),
    n_since=st.integers(-3, 3),
    ejected_until_s=st.sampled_from([0.0, 200.0]),
    leaving=st.booleans(),
    wrong_version=st.booleans(),
)


def _make_ring(n_upstreams):
    tables = check_tables(make_raw_tables(n_upstreams)).ok
    return build_ring(tables.pools_by_name['cheap'])


def _make(book, seed=1):
    return make_selector(book, SelectionSettings(), random.Random(seed))


@given(
    st.dictionaries(st.sampled_from(_NAMES), _loads),
    st.sets(st.sampled_from(_NAMES)),
    st.text(max_size=3),
)
def test_only_a_usable_upstream_is_chosen_and_one_is_if_there_is(
    loads, tried, prefix
):
    book = LoadBook(loads)
    ring = _make_ring(5)
    chosen = _make(book)(ring, prefix, frozenset(tried), 1.0, 100.0)
    usable = {
        name
        for name in ring.ids
        if name not in tried and _is_usable(loads.get(name), ring.pool.capacity)
    }
    assert chosen in (usable or {None})


def _is_usable(load, capacity):
    if load is None:
        return True
    is_bad = load.leaving or load.wrong_version or load.ejected_until_s > 100
    return not is_bad and estimate_load(load) < capacity


def test_a_lower_priority_leaves_room_for_a_higher_one():
    book = LoadBook({'v0': UpstreamLoad(n_own=4)})
    ring = build_ring(make_tables().pools_by_name['best'])
    assert _make(book)(ring, '', _NONE, 0.5, 0) is None
    assert _make(book)(ring, '', _NONE, 1.0, 0) == 'v0'


def test_the_same_prefix_meets_the_same_upstream_until_it_is_full():
    book = LoadBook()
    ring = _make_ring(50)
    select = _make(book)
    chosen = {select(ring, 'prefix', _NONE, 1.0, 0) for _ in range(20)}
    assert len(chosen) == 1
    cached = chosen.pop()
    book.loads_by_id[cached] = UpstreamLoad(n_own=8)
    assert select(ring, 'prefix', _NONE, 1.0, 0) != cached


def test_a_report_replaces_what_was_known_and_own_starts_are_added():
    book = LoadBook()
    note_start(book, 'u0')
    note_report(book, 'u0', 5)
    note_start(book, 'u0')
    assert estimate_load(book.loads_by_id['u0']) == 6
    note_end(book, 'u0')
    note_end(book, 'u0')
    assert estimate_load(book.loads_by_id['u0']) == 4
