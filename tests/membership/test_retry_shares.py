"""The fixed part of the retry budget is shared between all nodes."""

import time
from dataclasses import replace

import pytest
import trio
from turmericcrank_node.serving.in_flight_request import (
    acquire_attempt,
    has_retry_budget,
)

from tests.gossip_simulation import make_node, start_simulation
from tests.limit_simulation import make_in_flight

_SLACK = 20
_SERVICE = 'engine'


def _start(monkeypatch, n_nodes):
    """Start nodes that have known each other for longer than the window."""
    now_s = [1000.0]
    monkeypatch.setattr(time, 'clock_gettime', lambda _clock: now_s[0])
    simulation = start_simulation({'north': n_nodes}, duration_s=0)
    for node in simulation.nodes:
        _limit_retries(node)
    _run(simulation, now_s, 20)
    return simulation, now_s


def _limit_retries(node):
    bounds = replace(
        node.state.settings.bounds, retry_ratio=0, retry_slack=_SLACK
    )
    node.state.settings = replace(node.state.settings, bounds=bounds)


def _run(simulation, now_s, duration_s):
    ends_s = simulation.now_s + duration_s
    while simulation.now_s < ends_s:
        simulation.run_step()
        now_s[0] = simulation.now_s


def _retry_all(nodes, now_s):
    """Start all retries that the nodes allow; return their number."""

    async def main():
        n_started = 0
        for node in nodes:
            in_flight = make_in_flight('r1', now_s[0])
            while has_retry_budget(node.state, _SERVICE):
                assert acquire_attempt(node.state, in_flight, 1)
                n_started += 1
        return n_started

    return trio.run(main)


@pytest.mark.parametrize('n_nodes', [7, 14, 50])
def test_all_nodes_together_keep_the_retry_budget(monkeypatch, n_nodes):
    """Also where there are more nodes than retries."""
    simulation, now_s = _start(monkeypatch, n_nodes)
    assert _retry_all(simulation.nodes, now_s) <= _SLACK


def test_nodes_that_lose_each_other_keep_the_retry_budget(monkeypatch):
    """Each of them used to take the parts of the nodes that it lost."""
    simulation, now_s = _start(monkeypatch, 7)
    simulation.loss_rate = 1
    _run(simulation, now_s, 5)
    n_retries = _retry_all(simulation.nodes, now_s)
    assert 7 <= n_retries <= _SLACK


def test_nodes_that_start_again_keep_the_retry_budget(monkeypatch):
    """A new process forgets the retries of the one before it."""
    simulation, now_s = _start(monkeypatch, 7)
    n_retries = _retry_all(simulation.nodes, now_s)
    for old in simulation.nodes[1:]:
        number = int(old.node_id.rpartition('-')[2])
        node = make_node(number, old.data_centre, simulation.now_s)
        _limit_retries(node)
        simulation.add(node)
        simulation.join(node)
    n_retries += _retry_all(simulation.nodes, now_s)
    _run(simulation, now_s, 5)
    n_retries += _retry_all(simulation.nodes, now_s)
    assert n_retries <= _SLACK


def test_a_node_that_has_been_alone_for_long_retries_within_its_part(
    monkeypatch,
):
    simulation, now_s = _start(monkeypatch, 7)
    node = simulation.nodes[3]
    simulation.loss_rate = 1
    _run(simulation, now_s, 90)
    assert _retry_all([node], now_s) <= _SLACK / 7
