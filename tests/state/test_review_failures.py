"""The two failures that the review found, played with a few nodes.

The store is met through the adapter, and the nodes hear of each other's copies
by gossip.
"""

import itertools
from dataclasses import replace

import pytest
import trio
from turmericcrank_core.table_staleness import TableStaleness
from turmericcrank_core.upstream_registry import iter_usable
from turmericcrank_node.membership.gossip_fields import make_staleness_rows
from turmericcrank_node.membership.gossip_merge import merge_message
from turmericcrank_node.state import table_watch
from turmericcrank_node.state.node_state import read_boottime_s
from turmericcrank_platform import store as store_calls
from turmericcrank_platform.program import make_platform
from turmericcrank_platform.versions import split_version

from tests.gossip_builders import make_gossip_message
from tests.returning_store import ReturningStore
from tests.router_builders import make_table
from tests.router_fakes import make_node_state
from tests.virtual_clock import CLOCK, use_virtual_clock

_KEPT_KEY, _TAKEN_KEY = 'kept', 'taken'
_SERVICE = 'engine'
# Time between two events of a play, in seconds.
_STEP_S = 0.2
_TABLES = (
    ('op', table_watch.apply_configuration),
    ('servers', table_watch.apply_upstreams),
)


@pytest.fixture(name='store')
def make_returning_store(monkeypatch):
    store = ReturningStore()
    monkeypatch.setattr(store_calls, 'call_store', store.call)
    with use_virtual_clock():
        yield store


def _make_manifest(version, *keys):
    team = {'name': 'planners', 'api-keys': list(keys)}
    return {'version': version, 'routes': [], 'tenants': [team]}


def _make_entry(number, state='ready'):
    return {
        'service': _SERVICE,
        'address': f'127.0.0.1:{9000 + number}',
        'zone': 'dc1',
        'version': 'v1',
        'slots': 4,
        'state': state,
        'born': 1000 + number,
    }


def _start_node(node_id):
    """Start a node, which reads both tables."""
    state = make_node_state(make_table(), node_id=node_id)
    state.table = None
    state.configuration_staleness = TableStaleness()
    state.upstream_staleness = TableStaleness()
    state.platform = make_platform(state.settings, '')
    _read_if_due(state)
    return state


def _read_if_due(state):
    """Let a node make the reads that are due; return how many these were."""
    n_reads = 0
    staleness = (state.configuration_staleness, state.upstream_staleness)
    for number, (table, apply) in enumerate(_TABLES):
        watch = table_watch.TableWatch(table, number, staleness[number], apply)
        planned = table_watch.plan_read(
            state, watch, read_boottime_s(), is_starting=True
        )
        if planned.due_s <= 0:
            n_reads += 1
            trio.run(
                table_watch._read_once, state, watch, replace(planned, wait_s=0)
            )
    return n_reads


def _report(sender, receiver):
    """Let one node receive what another one knows of its copies."""
    now_s = read_boottime_s()
    message = make_gossip_message(
        node_id=sender.settings.node_id,
        echo_s=now_s,
        echo_incarnation=receiver.incarnation,
        proofs=make_staleness_rows(sender, now_s),
    )
    merge_message(receiver, message, now_s)


@pytest.mark.parametrize('n_returns', [1, 2])
def test_config_a_key_taken_away_stays_in_use_after_the_store_returned(
    store, n_returns
):
    """Guards CONFIG, review/1: a version given out again hid the change.

    The change that takes the key away gets the version that all nodes had
    read before the return, and each node vouched for the others' copies. One
    node starts between the return and the changes; the store may return twice.
    """
    store.put('op', 'config', _make_manifest(3, _KEPT_KEY, _TAKEN_KEY))
    copied = store.copy_rows()
    changes = [_make_manifest(5, _KEPT_KEY, _TAKEN_KEY)]
    changes.append(_make_manifest(8, _KEPT_KEY, _TAKEN_KEY))
    store.put('turmericcrank-nodes', 'n1', {'address': '127.0.0.1:1'})
    for manifest in changes:
        store.put('op', 'config', manifest)
    nodes = [_start_node(f'n{number}') for number in range(3)]
    for _ in range(n_returns):
        store.restore(copied)
    nodes.append(_start_node('late'))
    for manifest in (*changes, _make_manifest(9, _KEPT_KEY)):
        store.put('op', 'config', manifest)
    read_version = nodes[0].configuration_staleness.read_version
    assert store.version == split_version(read_version)[1]
    for _ in range(20):
        CLOCK.now_s += _STEP_S
        for sender, receiver in itertools.permutations(nodes, 2):
            _read_if_due(sender)
            _report(sender, receiver)
    in_use = [set(node.table.teams_by_key) for node in nodes]
    assert in_use == [{_KEPT_KEY}] * len(nodes)


def test_drain_a_removed_upstream_stays_in_use_while_nodes_restart(store):
    """Guards DRAIN, review/2: a whole read passed for one of the deletion.

    Nodes restart one after the other and read the table without the row; what
    they said kept the other node from reading the deletion.
    """
    store.put('servers', 'u1', _make_entry(1))
    store.put('servers', 'u2', _make_entry(2))
    other = _start_node('other')
    store.delete('servers', 'u1')
    for number in range(20):
        CLOCK.now_s += _STEP_S
        _report(_start_node(f'restarted-{number}'), other)
        _read_if_due(other)
    usable = iter_usable(other.upstream_registry, _SERVICE, read_boottime_s())
    assert [upstream.upstream_id for upstream in usable] == ['u2']
