"""Tests of the store load when many nodes see the same event at once."""

import pytest
from turmericcrank_core.store_backoff import (
    plan_read_retry_delay_s,
    plan_step_delay_s,
    plan_step_retry_delay_s,
    should_register,
)
from turmericcrank_core.table_staleness import plan_read_threshold_s

_NODES_PER_CELL = 16
_STORE_CAPACITY_READS_PER_S = 2000


def _iter_nodes(n_nodes):
    """Yield, for each node, its rank and whether its cell reads the store."""
    for number in range(n_nodes):
        yield number % _NODES_PER_CELL, number < _NODES_PER_CELL


def _count_calls(first_call_s, delay_s, outage_s):
    if first_call_s > outage_s:
        return 0
    return 1 + int((outage_s - first_call_s) / delay_s)


@pytest.mark.parametrize('n_nodes', [65, 195, 490])
def test_a_store_outage_causes_few_calls(n_nodes):
    """Simulates a store outage of ten seconds; each node reads two tables."""
    n_calls = 2 * sum(
        _count_calls(
            plan_read_threshold_s(*node), plan_read_retry_delay_s(*node, 9), 10
        )
        for node in _iter_nodes(n_nodes)
    )
    assert n_calls / 10 < 0.1 * _STORE_CAPACITY_READS_PER_S
    assert n_calls < 2 * (2 * n_nodes + 10 / 0.25 * 4)


@pytest.mark.parametrize('n_nodes', [65, 195, 490])
def test_a_rollout_step_due_in_a_store_outage_causes_few_calls(n_nodes):
    """Simulates a rollout step that is due during a store outage."""
    n_calls = sum(
        _count_calls(
            plan_step_delay_s(*node), plan_step_retry_delay_s(*node), 10
        )
        for node in _iter_nodes(n_nodes)
    )
    assert n_calls < 2 * n_nodes + 10 / 0.3 * 4


def test_the_reading_cell_retries_reads_often():
    ranks = range(_NODES_PER_CELL)
    retry_delays_s = [plan_read_retry_delay_s(rank, True, 9) for rank in ranks]
    assert retry_delays_s[0] <= 0.25
    assert sum(1 / delay_s for delay_s in retry_delays_s) > 8


def test_nodes_try_a_rollout_step_one_after_another():
    delays_s = [plan_step_delay_s(*node) for node in _iter_nodes(32)]
    assert delays_s[0] == 0
    assert len(set(delays_s[:_NODES_PER_CELL])) == _NODES_PER_CELL
    assert min(delays_s[_NODES_PER_CELL:]) >= 1.9


def test_two_nodes_of_each_cell_and_a_lone_node_register():
    registered = [should_register(rank, False) for rank in range(16)]
    assert sum(registered) == 2
    assert should_register(9, True)


def test_a_node_rejected_while_peers_are_served_retries_less_often():
    """Simulates a store that rejects the first node and serves the others."""
    assert plan_read_retry_delay_s(0, True, 0.9) >= 1
