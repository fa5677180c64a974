"""Tests of hybrid clocks, the timeline of logs and client addresses."""

import json
import random

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.client_addresses import (
    EntryNode,
    plan_addresses,
    plan_refusal_start_s,
)
from turmericcrank_core.hybrid_logical_clock import (
    ClockState,
    advance_clock,
    check_stamp,
)
from turmericcrank_core.timeline import (
    draw_timeline,
    filter_entries,
    format_entry,
    order_entries,
)

_nodes = st.lists(
    st.builds(
        EntryNode,
        node_id=st.text('abc', min_size=1),
        address=st.integers(1, 99).map(str),
        data_centre=st.sampled_from(['dc1', 'dc2']),
        load=st.floats(-1, 2),
        leaving=st.booleans(),
        has_responded=st.booleans(),
    )
)


@given(
    st.lists(
        st.tuples(st.integers(0, 2), st.integers(-5000, 5000), st.booleans())
    )
)
def test_an_effect_is_stamped_after_its_cause_whatever_the_clocks(steps):
    clocks = [ClockState() for _ in range(3)]
    message = None
    for index, skew_ms, is_received in steps:
        received = message if is_received else None
        stamp = advance_clock(clocks[index], 10000 + skew_ms, received)
        if received is not None:
            assert stamp > received
            assert str(stamp) > str(received)
        assert check_stamp(str(stamp)) == stamp
        message = stamp


def _line(stamp_ms, process, name, **fields):
    stamp = f'{stamp_ms:015d}.000000'
    entry = {'stamp': stamp, 'process': process, 'event': 1, 'name': name}
    return json.dumps({**entry, **fields})


def test_logs_merge_into_one_ordered_timeline():
    lines = [
        _line(3, 'n2', 'answered', request='r1'),
        'not a line of a log',
        '{"stamp": 4}',
        _line(1, 'n1', 'received', request='r1'),
        _line(2, 'n1', 'received', request='r2'),
    ]
    entries = list(filter_entries(order_entries(lines), {'request': 'r1'}))
    assert [entry.name for entry in entries] == ['received', 'answered']
    assert 'request=r1' in format_entry(entries[0])
    page = draw_timeline(entries)
    assert page.count('<circle') == 2
    assert '<script' not in page
    assert len(list(filter_entries(entries, {'node': 'n2'}))) == 1


@given(_nodes, st.integers(0, 5))
def test_only_usable_nodes_are_listed_own_data_centre_first(nodes, max_rows):
    answer = plan_addresses(nodes, 'dc1', 5, max_rows, random.Random(1))
    usable = [node for node in nodes if node.has_responded and not node.leaving]
    assert len(answer.rows) == min(max_rows, len(usable))
    centres = [row.data_centre for row in answer.rows]
    assert centres == sorted(centres)
    assert all(1 <= row.weight <= 100 for row in answer.rows)


def test_only_a_planned_stop_waits_for_cached_addresses_to_expire():
    assert plan_refusal_start_s(100, keep_s=5, settle_s=3, hurried=False) == 108
    assert plan_refusal_start_s(100, keep_s=5, settle_s=3, hurried=True) == 100
