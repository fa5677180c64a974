"""The fixed part of the retry budget is shared between all nodes."""

from dataclasses import replace

import pytest
import trio
from turmericcrank_node.serving.in_flight_request import acquire_attempt
from turmericcrank_node.upstreams.retry_permits import has_retry_budget

from tests.gossip_simulation import make_node, start_simulation
from tests.request_builders import make_in_flight
from tests.virtual_clock import CLOCK, use_virtual_clock

_SLACK = 20
_SERVICE = 'engine'


@pytest.fixture(autouse=True, scope='module')
def _virtual_clock():
    with use_virtual_clock():
        yield


def _start(n_nodes):
    """Start nodes that have known each other for longer than the window."""
    simulation = start_simulation({'north': n_nodes}, duration_s=0)
    for node in simulation.nodes:
        _limit_retries(node)
    simulation.run(20)
    return simulation


def _limit_retries(node):
    bounds = replace(
        node.state.settings.bounds, retry_ratio=0, retry_slack=_SLACK
    )
    node.state.settings = replace(node.state.settings, bounds=bounds)


def _retry_all(nodes):
    """Start all retries that the nodes allow; return their number."""

    async def main():
        n_started = 0
        for node in nodes:
            in_flight = make_in_flight('r1', CLOCK.now_s)
            while has_retry_budget(node.state, _SERVICE):
                assert acquire_attempt(node.state, in_flight, 1)
                n_started += 1
        return n_started

    return trio.run(main)


@pytest.mark.parametrize('n_nodes', [7, 14, 50])
def test_all_nodes_together_keep_the_retry_budget(n_nodes):
    """Also where there are more nodes than retries."""
    simulation = _start(n_nodes)
    assert _retry_all(simulation.nodes) <= _SLACK


def test_nodes_that_lose_each_other_keep_the_retry_budget():
    """Each of them used to take the parts of the nodes that it lost."""
    simulation = _start(7)
    simulation.loss_rate = 1
    simulation.run(5)
    n_retries = _retry_all(simulation.nodes)
    assert 7 <= n_retries <= _SLACK


def test_nodes_that_start_again_keep_the_retry_budget():
    """A new process forgets the retries of the one before it."""
    simulation = _start(7)
    n_retries = _retry_all(simulation.nodes)
    for old in simulation.nodes[1:]:
        number = int(old.node_id.rpartition('-')[2])
        node = make_node(number, old.data_centre, simulation.now_s)
        _limit_retries(node)
        simulation.add(node)
        simulation.join(node)
    n_retries += _retry_all(simulation.nodes)
    simulation.run(5)
    n_retries += _retry_all(simulation.nodes)
    assert n_retries <= _SLACK


def test_a_node_that_has_been_alone_for_long_retries_within_its_part():
    simulation = _start(7)
    node = simulation.nodes[3]
    simulation.loss_rate = 1
    simulation.run(90)
    assert _retry_all([node]) <= _SLACK / 7


def test_budget_halves_that_lose_each_other_for_minutes_keep_the_sum():
    """Each half forgot the other after a minute, and took its parts."""
    simulation = _start(8)
    half = {node.node_id for node in simulation.nodes[:4]}
    simulation.groups = (half,)
    simulation.run(90)
    assert 8 <= _retry_all(simulation.nodes) <= _SLACK
