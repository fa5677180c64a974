"""Tests of the sums of the loads that other nodes report."""

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.peer_loads import (
    PeerLoads,
    record_peer_loads,
    remove_peer_loads,
)

_sources = st.sampled_from(['n1', 'n2', 'cell'])
_loads = st.dictionaries(st.sampled_from(['u1', 'u2']), st.integers(1, 9))


@given(st.lists(st.tuples(_sources, st.none() | _loads)))
def test_the_totals_are_the_sums_of_the_last_reports(reports):
    loads = PeerLoads()
    last_by_source = {}
    for source, running_by_id in reports:
        if running_by_id is None:
            remove_peer_loads(loads, source)
            last_by_source.pop(source, None)
        else:
            record_peer_loads(loads, source, running_by_id)
            last_by_source[source] = running_by_id
    for upstream_id in ('u1', 'u2'):
        reported = [one.get(upstream_id, 0) for one in last_by_source.values()]
        assert loads.total_by_id[upstream_id] == sum(reported)
