"""Upstreams that say that they fall over when they must reject too much."""

import math

import trio
from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.routing import CallKind
from turmericcrank_core.running_shares import (
    plan_rejection_wait_s,
    plan_running_share,
)

from tests.router_builders import make_route, make_table
from tests.router_fakes import (
    make_node_state,
    open_client,
    read_until,
    request_bytes,
    start_upstreams,
)
from tests.upstream_fakes import response_bytes

_SLOTS = 2
# Its slots and half as many more.
_PLACES = 3
_WORK_S = 0.4
_BRITTLE = response_bytes(brittle='20')
_SOUND = response_bytes()
_REJECTION = response_bytes(b'full', 503, not_run='yes', brittle='20')


def _play(scripts, n_requests):
    """Send one request, then more at once; return their statuses and state."""

    async def main():
        statuses = []
        route = make_route(kind=CallKind.idempotent)
        state = make_node_state(make_table(route))

        async def send(number):
            client = await open_client(nursery, state)
            await client.send_all(request_bytes(id=f'r{number}'))
            received = await read_until(client, b'\r\n\r\n')
            statuses.append(int(received.split()[1]))

        async with trio.open_nursery() as nursery:
            fakes = await start_upstreams(nursery, state, scripts, slots=_SLOTS)
            await send(0)
            async with trio.open_nursery() as clients:
                for number in range(1, n_requests + 1):
                    clients.start_soon(send, number)
            nursery.cancel_scope.cancel()
        return statuses, len(fakes[0].requests), state

    return trio.run(main)


def test_limit_a_brittle_upstream_gets_no_more_than_it_has_room_for():
    """It got all, had to reject most, and fell over again and again."""
    scripts = [[_BRITTLE], *[[_WORK_S, _BRITTLE] for _ in range(8)]]
    statuses, n_arrived, state = _play(scripts, 8)
    assert sorted(statuses) == [200] * (1 + _PLACES) + [503] * (8 - _PLACES)
    assert n_arrived == 1 + _PLACES
    assert state.log.names().count('upstream_brittle') == 1


def test_an_upstream_that_is_brittle_no_longer_gets_more_again():
    scripts = [[_SOUND], *[[_WORK_S, _SOUND] for _ in range(8)]]
    statuses, _, _ = _play(scripts, 8)
    assert statuses == [200] * 9


def test_a_node_that_was_rejected_waits_before_it_sends_more():
    scripts = [[_REJECTION], *[[_BRITTLE] for _ in range(4)]]
    statuses, n_arrived, _ = _play(scripts, 4)
    assert set(statuses) == {503}
    assert n_arrived == 1


@given(st.integers(1, 70), st.integers(1, 500), st.integers(0, 10**6))
def test_the_shares_of_all_nodes_are_the_places(n_slots, n_nodes, now_s):
    node_ids = frozenset(f'n{number}' for number in range(n_nodes))
    shares = [
        plan_running_share(n_slots, node_ids, node_id, 'u1', now_s)
        for node_id in sorted(node_ids)
    ]
    assert sum(shares) == math.ceil(n_slots * 1.5)
    assert max(shares) - min(shares) <= 1


def test_each_node_gets_a_turn_where_there_are_more_nodes_than_slots():
    node_ids = frozenset(f'n{number}' for number in range(195))
    for node_id in node_ids:
        assert any(
            plan_running_share(6, node_ids, node_id, 'u1', now_s)
            for now_s in range(195)
        )


@given(st.floats(0.1, 1000), st.integers(1, 500))
def test_all_nodes_together_cause_half_of_the_rejections_borne(
    max_per_s, n_nodes
):
    wait_s = plan_rejection_wait_s(max_per_s, n_nodes)
    assert n_nodes / wait_s <= max_per_s * 0.5 * (1 + 1e-9)
