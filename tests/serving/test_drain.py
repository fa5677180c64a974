"""Draining a node in steps, even if further signals arrive."""

import os
import signal
from dataclasses import replace

import trio
from turmericcrank_node import router_node

from tests.router_builders import make_route, make_table
from tests.router_fakes import make_node_state


def _drain_node(*later, busy_s=0.0, grace_s=8.0):
    """Drain a node while further signals arrive.

    Returns:
        The state, the times of the steps, and the total time, in seconds.
    """

    async def main():
        state = make_node_state(make_table(make_route()))
        bounds = replace(state.settings.bounds, grace_s=grace_s)
        state.settings = replace(state.settings, bounds=bounds)
        began_s = trio.current_time()
        steps = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(router_node._drain_on_signal, state)
            nursery.start_soon(_record_steps, state, steps, began_s)
            await trio.sleep(0.05)
            os.kill(os.getpid(), signal.SIGTERM)
            for number in later:
                await trio.sleep(0.2)
                os.kill(os.getpid(), number)
            state.n_requests = int(busy_s > 0)
            await trio.sleep(busy_s)
            state.n_requests = 0
        return state, steps, trio.current_time() - began_s

    return trio.run(main)


async def _record_steps(state, steps, began_s):
    while not state.is_rejecting_requests:
        await trio.sleep(0.01)
        if state.is_stopping and not steps:
            steps.append(trio.current_time() - began_s)
    steps.append(trio.current_time() - began_s)


def test_drain_withdraws_the_address_at_once_and_rejects_later():
    state, steps, total_s = _drain_node()
    withdrawn_s, rejected_s = steps
    assert withdrawn_s < 0.3
    assert 2.5 < rejected_s < 3.2
    assert total_s < 5
    assert not state.is_ready


def test_further_signals_do_not_cut_the_drain_short():
    later = signal.SIGTERM, signal.SIGHUP, signal.SIGINT
    state, steps, _ = _drain_node(*later)
    assert len(steps) == 2
    names = state.log.names()
    assert names.count('drain_started') == 4
    assert names[-2:] == ['drain_left_addresses', 'drain_ended']


def test_drain_of_a_busy_node_ends_within_the_grace_period():
    _, _, total_s = _drain_node(busy_s=4.5, grace_s=4.0)
    assert total_s < 4.0 + 0.8
