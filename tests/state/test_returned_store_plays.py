"""Random plays of nodes that follow a store which returns from copies.

A node may say that its copy was current at a moment only if each row that it
holds, or lacks, is what the store had at that moment or later.
"""

import contextlib
from dataclasses import replace

import orjson
import pytest
import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from turmericcrank_core.table_staleness import TableStaleness
from turmericcrank_node.membership.gossip_fields import make_staleness_rows
from turmericcrank_node.membership.gossip_merge import merge_message
from turmericcrank_node.state import table_watch
from turmericcrank_node.state.node_state import read_boottime_s
from turmericcrank_platform import store as store_calls
from turmericcrank_platform.program import make_platform

from tests.gossip_builders import make_gossip_message
from tests.returning_store import ReturningStore
from tests.router_builders import make_table
from tests.router_fakes import make_node_state
from tests.virtual_clock import CLOCK, use_virtual_clock

_NODES = st.integers(0, 2)
_KEYS_HELD = ('u1', 'u2', 'u3')
_KEYS = st.sampled_from(_KEYS_HELD)
_SOFTWARE = st.sampled_from(('v1', 'v2'))
_STEP_S = 0.1


def _make_entry(version):
    return {
        'service': 'engine',
        'address': '127.0.0.1:9000',
        'zone': 'dc1',
        'version': version,
        'slots': 4,
        'state': 'ready',
    }


class ReturningStorePlay(RuleBasedStateMachine):
    """Three nodes, their store, and what it has held at each moment."""

    def __init__(self):
        super().__init__()
        self._patches = contextlib.ExitStack()
        self.store = ReturningStore()
        self.copied = self.store.copy_rows()
        self.history = []

    @initialize()
    def start(self):
        self._patches.enter_context(use_virtual_clock())
        patch = self._patches.enter_context(pytest.MonkeyPatch.context())
        patch.setattr(store_calls, 'call_store', self.store.call)
        self.nodes = [self._make_node(number) for number in range(3)]
        for key in _KEYS_HELD:
            self.write(key, 'v1')
            self.copied = self.store.copy_rows()
        for number in range(3):
            self.read(number)

    @rule(key=_KEYS, software=_SOFTWARE)
    def write(self, key, software):
        self.store.put('servers', key, _make_entry(software))
        self._advance()

    @rule(key=_KEYS)
    def delete(self, key):
        if self._read_store().get(key):
            self.store.delete('servers', key)
        self._advance()

    @rule()
    def copy(self):
        self.copied = self.store.copy_rows()

    @rule(n_other_writes=st.integers(0, 3))
    def return_from_copy(self, n_other_writes):
        """Go back, and give out some versions again to another table."""
        self.store.restore(self.copied)
        for _ in range(n_other_writes):
            self.store.put('status', 'x', {})
        self._advance()

    @rule(number=_NODES)
    def restart(self, number):
        self.nodes[number] = self._make_node(number)
        self.read(number)
        self.report(number, with_pages=False)

    @rule(number=_NODES)
    def read(self, number):
        state = self.nodes[number]
        watch = table_watch.TableWatch(
            'servers', 1, state.upstream_staleness, table_watch.apply_upstreams
        )
        planned = table_watch.plan_read(
            state, watch, read_boottime_s(), is_starting=True
        )
        read = replace(planned, wait_s=0)
        trio.run(table_watch._read_once, state, watch, read)
        self._advance()

    @rule(number=_NODES, with_pages=st.booleans())
    def report(self, number, with_pages):
        """Let the other nodes hear of a node's copy, and of its changes."""
        sender = self.nodes[number]
        for receiver in self.nodes:
            if receiver is not sender:
                self._report(sender, receiver, with_pages)
        self._advance()

    @invariant()
    def check_copies(self):
        for state in getattr(self, 'nodes', ()):
            as_of_s = state.upstream_staleness.current_as_of_s
            if as_of_s is not None:
                self._check_copy(state, as_of_s)

    def teardown(self):
        self._patches.close()

    def _report(self, sender, receiver, with_pages):
        now_s = read_boottime_s()
        pages = [
            (page.table_number, page.after, page.page.version, page.packed)
            for page in sender.recent_pages
        ]
        message = make_gossip_message(
            node_id=sender.settings.node_id,
            echo_s=now_s,
            echo_incarnation=receiver.incarnation,
            proofs=make_staleness_rows(sender, now_s),
            pages=pages if with_pages else [],
        )
        merge_message(receiver, message, now_s)

    def _check_copy(self, state, as_of_s):
        held = self._read_node(state)
        # What the store held at that moment, and all that it held later.
        after_s = as_of_s + _STEP_S / 2
        later = [rows for until_s, rows in self.history if until_s > after_s]
        for key in _KEYS_HELD:
            found = {rows.get(key) for rows in later}
            assert held.get(key) in found

    def _make_node(self, number):
        state = make_node_state(make_table(), node_id=f'n{number}')
        state.configuration_staleness = TableStaleness()
        state.upstream_staleness = TableStaleness()
        state.platform = make_platform(state.settings, '')
        return state

    def _advance(self):
        """Keep what the store holds until the next event."""
        CLOCK.now_s += _STEP_S
        self.history.append((CLOCK.now_s, self._read_store()))

    def _read_store(self):
        return {
            key: orjson.loads(text)['version']
            for (table, key), (text, _) in self.store.rows.items()
            if table == 'servers' and text is not None
        }

    def _read_node(self, state):
        missing = state.upstream_registry.missing_since_s_by_id
        listed = state.upstream_registry.by_id
        return {key: listed[key].version for key in listed.keys() - missing}


TestReturningStore = ReturningStorePlay.TestCase
TestReturningStore.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None
)
