"""When a node reads a table itself."""

import trio
from turmericcrank_core.gossip_topology import GossipPlan
from turmericcrank_core.table_staleness import TableStaleness, record_read
from turmericcrank_node.state import table_watch
from turmericcrank_node.state.node_state import read_boottime_s

from tests.router_builders import make_route, make_table
from tests.router_fakes import FakeRows, make_node_state

# Longest time until a configuration is in force.
_APPLY_S = 2


def _fail_one_read(plan):
    """Let a read fail at a node with a given place in the gossip topology."""
    rows = FakeRows(is_down=True)
    state = make_node_state(make_table(make_route()), rows)
    state.gossip_plan = plan
    staleness = TableStaleness()
    record_read(staleness, 1, 1, read_boottime_s())
    watch = table_watch.TableWatch(
        'configuration', 0, staleness, table_watch.apply_configuration
    )
    planned = table_watch.plan_read(
        state, watch, read_boottime_s(), is_starting=False
    )
    trio.run(table_watch._read_once, state, watch, planned)
    return state, watch


def test_a_node_that_lost_its_peers_after_a_failed_read_reads_in_time():
    """Nobody else reads for a node that hears of no other one."""
    state, watch = _fail_one_read(
        GossipPlan('west/1', n_cells=4, is_reading_cell=False)
    )
    state.gossip_plan = GossipPlan()
    later_s = read_boottime_s() + _APPLY_S / 2
    planned = table_watch.plan_read(state, watch, later_s, is_starting=False)
    assert planned.due_s <= 0


def test_a_node_whose_peers_read_for_it_waits_after_a_failed_read():
    """Hundreds of nodes that retry at once would exceed the store's rate."""
    state, watch = _fail_one_read(
        GossipPlan('west/1', n_cells=4, is_reading_cell=False)
    )
    later_s = read_boottime_s() + _APPLY_S * 2
    planned = table_watch.plan_read(state, watch, later_s, is_starting=False)
    assert planned.due_s > 0
