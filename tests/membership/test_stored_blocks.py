"""Blocks of requests that crash upstreams, kept in the store."""

from dataclasses import replace

import trio
from turmericcrank_core.crash_block import CrashBlock, is_active
from turmericcrank_core.stored_blocks import plan_block_writes, shift_block
from turmericcrank_node.membership.crash_fields import make_crash_fields
from turmericcrank_node.state.crash_reports import Audience
from turmericcrank_node.state.node_state import read_cluster_time_s
from turmericcrank_node.upstreams.block_storage import (
    BlockStorage,
    keep_blocks,
)
from turmericcrank_node.upstreams.crash_block_checks import is_blocked
from turmericcrank_node.upstreams.poison_detection import make_suspect

from tests.router_builders import make_route, make_table
from tests.router_fakes import FakeRows, make_node_state

_SUSPECT = make_suspect('engine', '', ['crashing'])
_KEYS = _SUSPECT.parts
_AGE_S = 60.0


def _make_state(rows):
    return make_node_state(make_table(make_route()), rows)


def _block(state):
    now_s = read_cluster_time_s(state)
    block = CrashBlock(_KEYS, now_s - _AGE_S, now_s - _AGE_S, 1, now_s - 30)
    state.crash_guard.blocks_by_keys[_KEYS] = block


def _keep(state, storage=None):
    return trio.run(keep_blocks, state, storage or BlockStorage())


def test_a_node_that_starts_alone_reads_what_another_one_has_blocked():
    """Its clocks differ, and it tells the others."""
    rows = FakeRows()
    first, second = _make_state(rows), _make_state(rows)
    first.cluster_clock.offset_s = 5e5
    first.store_clock_offset_s = -300
    second.store_clock_offset_s = -300
    _block(first)
    assert _keep(first)
    assert not is_blocked(second, _SUSPECT)
    assert _keep(second)
    assert is_blocked(second, _SUSPECT)
    block = second.crash_guard.blocks_by_keys[_KEYS]
    age_s = read_cluster_time_s(second) - block.crash_s
    assert _AGE_S - 1 < age_s < _AGE_S + 1
    assert block.n_tests == 1
    sent = make_crash_fields(second, Audience.everyone)['blocks']
    assert [row[0] for row in sent] == [sorted(_KEYS)]


def test_a_block_that_has_ended_is_removed_from_the_store():
    rows = FakeRows()
    state, storage = _make_state(rows), BlockStorage()
    _block(state)
    assert _keep(state, storage)
    assert list(rows.blocks) == [_KEYS]
    by_keys = state.crash_guard.blocks_by_keys
    by_keys[_KEYS] = replace(
        by_keys[_KEYS], lifted_s=read_cluster_time_s(state)
    )
    assert _keep(state, storage)
    assert not rows.blocks


def test_a_block_is_written_once_the_store_is_back():
    rows = FakeRows(is_down=True)
    state, storage = _make_state(rows), BlockStorage()
    _block(state)
    assert not _keep(state, storage)
    rows.is_down = False
    assert _keep(state, storage)
    rows.is_down = True
    assert _keep(state, storage)
    assert list(rows.blocks) == [_KEYS]


def test_only_blocks_that_last_are_written():
    block = CrashBlock(_KEYS, since_s=10, crash_s=9)
    by_keys = {_KEYS: block}
    assert plan_block_writes(by_keys, {}, now_s=10.5).is_empty
    assert plan_block_writes(by_keys, {}, now_s=11).blocks == [block]
    assert plan_block_writes(by_keys, by_keys, now_s=11).is_empty
    tested = {_KEYS: replace(block, n_tests=1, tested_s=30)}
    assert plan_block_writes(tested, by_keys, now_s=31).blocks
    assert plan_block_writes({}, by_keys, now_s=31).ended == [_KEYS]


def test_no_time_of_a_block_is_after_the_present():
    """The store's clock may have begun anew; a later crash ends no block."""
    block = CrashBlock(_KEYS, 900, 900, 1, 950, lifted_s=100)
    shifted = shift_block(block, shift_s=100, now_s=500)
    assert (shifted.since_s, shifted.crash_s, shifted.tested_s) == (500,) * 3
    assert is_active(shifted)
    assert shift_block(replace(block, n_tests=0), 0, 1000).tested_s == 0
