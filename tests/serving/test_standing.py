"""When a node accepts requests, and how it rejects them."""

from dataclasses import replace

import trio
from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.membership import Peer, record_peer
from turmericcrank_core.routing import CallKind, ClientLimits, Team
from turmericcrank_node.serving.in_flight_request import (
    InFlightRequest,
    acquire_attempt,
)
from turmericcrank_node.state.node_state import read_boottime_s
from turmericcrank_node.state.router_metrics import write_metrics
from turmericcrank_node.upstreams.upstream_selection import UpstreamRequirements

from tests.router_builders import HOST, KEY, make_route, make_table
from tests.router_fakes import (
    make_node_state,
    open_client,
    read_until,
    request_bytes,
    start_upstreams,
)
from tests.upstream_fakes import (
    response_bytes,
)


def _send_request(state, request=None, until=b'\r\n\r\n', script=None):
    async def main():
        async with trio.open_nursery() as nursery:
            fakes = await start_upstreams(
                nursery, state, [script or [response_bytes()]]
            )
            client = await open_client(nursery, state)
            await client.send_all(request or request_bytes('/bays/1'))
            received = await read_until(client, until)
            nursery.cancel_scope.cancel()
        return received, len(fakes[0].requests)

    return trio.run(main)


def _make_state(**fields):
    route = make_route('bays', CallKind.idempotent, **fields)
    return make_node_state(make_table(route))


def _make_stale(state, age_s):
    state.configuration_proof.current_as_of_s -= age_s


def test_a_node_with_an_old_proof_honours_no_key():
    state = _make_state()
    _make_stale(state, state.settings.bounds.revoke_s)
    received, n_requests = _send_request(state)
    assert received.startswith(b'HTTP/1.1 503')
    assert b'retry-after' in received
    assert n_requests == 0


def test_a_node_with_an_old_proof_serves_what_needs_no_key():
    state = _make_state(is_public=True)
    _make_stale(state, 60)
    received, _ = _send_request(state, request_bytes('/bays/1', key=''))
    assert received.startswith(b'HTTP/1.1 200')


def test_a_key_is_honoured_for_less_than_the_time_to_revoke_it():
    state = _make_state()
    _make_stale(state, state.settings.bounds.revoke_s * 0.7)
    assert state.is_configuration_current
    _make_stale(state, state.settings.bounds.revoke_s * 0.2)
    assert not state.is_configuration_current


def test_a_node_without_tables_says_so():
    state = _make_state()
    state.table = None
    received, _ = _send_request(state)
    assert received.startswith(b'HTTP/1.1 503')
    assert b'3008' in received


def test_unknown_keys_and_routes_are_told_apart():
    received, _ = _send_request(
        _make_state(), request_bytes('/bays/1', key='stolen')
    )
    assert received.startswith(b'HTTP/1.1 401')
    received, _ = _send_request(_make_state(), request_bytes('/nowhere/1'))
    assert received.startswith(b'HTTP/1.1 404')


def test_the_team_of_the_key_is_told_and_not_what_the_client_says():
    async def main():
        state = _make_state()
        async with trio.open_nursery() as nursery:
            fakes = await start_upstreams(nursery, state, [[response_bytes()]])
            client = await open_client(nursery, state)
            await client.send_all(
                request_bytes('/bays/1', key=KEY, team='admins')
            )
            await read_until(client, b'\r\n\r\n')
            nursery.cancel_scope.cancel()
        return fakes[0].requests[0]['team']

    assert trio.run(main) == 'planners'


def test_a_stopping_node_answers_and_closes_the_connection():
    state = _make_state()
    state.is_stopping = True
    assert not state.is_ready
    received, n_requests = _send_request(state)
    assert b'connection: close' in received
    assert n_requests == 1


def test_a_node_that_is_about_to_end_refuses_as_not_run():
    state = _make_state()
    state.is_rejecting_requests = True
    received, n_requests = _send_request(state)
    assert received.startswith(b'HTTP/1.1 503')
    assert n_requests == 0


def test_a_body_over_the_limit_is_refused():
    state = _make_state()
    table = state.table
    state.table = type(table)(
        table.revision,
        table.routes_by_host,
        table.teams_by_key,
        ClientLimits(body_bytes=10),
    )
    received, _ = _send_request(state, request_bytes('/bays/1', body=b'x' * 11))
    assert received.startswith(b'HTTP/1.1 413')


def _send_slowly(*parts, header_s=0.4):
    """Send the parts of a request, 0.3 s apart; return the response."""

    async def main():
        state = _make_state()
        limits = ClientLimits(header_s=header_s, idle_s=2)
        state.table = replace(state.table, limits=limits)
        async with trio.open_nursery() as nursery:
            await start_upstreams(nursery, state, [[response_bytes()]])
            client = await open_client(nursery, state)
            for part in parts:
                await client.send_all(part)
                await trio.sleep(0.3)
            received = await read_until(client, b'\r\n\r\n')
            nursery.cancel_scope.cancel()
        return received

    return trio.run(main)


def test_a_slow_body_is_waited_for_longer_than_a_head():
    raw = request_bytes('/bays/1', body=b'five parts')
    head, body = raw[:-10], raw[-10:]
    received = _send_slowly(
        head, *(body[at : at + 2] for at in range(0, 10, 2))
    )
    assert received.startswith(b'HTTP/1.1 200')


def test_a_head_that_does_not_end_is_refused_as_not_run():
    raw = request_bytes('/bays/1')
    received = _send_slowly(raw[:10], raw[10:20], raw[20:30])
    assert received.startswith(b'HTTP/1.1 408')


def test_requests_that_come_together_are_answered_in_order():
    two = request_bytes('/bays/1') + request_bytes('/nowhere/2')
    received, _ = _send_request(_make_state(), two, until=b'HTTP/1.1 404')
    assert received.index(b'HTTP/1.1 200') < received.index(b'HTTP/1.1 404')


def test_a_request_with_two_lengths_is_refused():
    raw = request_bytes('/bays/1').replace(
        b'Content-Length: 2', b'Content-Length: 2\r\nContent-Length: 3'
    )
    received, n_requests = _send_request(_make_state(), raw)
    assert received.startswith(b'HTTP/1.1 400')
    assert n_requests == 0


def test_a_fault_of_the_router_is_answered():
    state = _make_state()
    state.outcomes = None
    received, _ = _send_request(state)
    assert received.startswith(b'HTTP/1.1 500')
    assert 'internal_fault' in state.log.names()


def test_metrics_count_requests_and_events():
    state = _make_state()
    _send_request(state)
    text = write_metrics(state.metrics).decode()
    assert 'turmericcrank_request_seconds_count{code="200"' in text
    assert 'turmericcrank_head_seconds_count{service="engine"' in text


@given(st.integers(1, 60), st.integers(0, 200))
def test_nodes_together_spend_no_more_retries_than_the_site_allows(
    n_nodes, n_wanted
):
    """Replays a crash that made requests fail at all nodes at once."""
    allowed = 50.0
    spent = sum(
        trio.run(_spend_retries, n_nodes, n_wanted, allowed)
        for _ in range(n_nodes)
    )
    assert spent <= max(allowed, n_nodes)


async def _spend_retries(n_nodes, n_wanted, allowed):
    state = _make_state()
    _add_alive_peers(state, n_nodes - 1)
    bounds = replace(state.settings.bounds, retry_slack=allowed)
    state.settings = replace(state.settings, bounds=bounds)
    in_flight = _make_in_flight(state)
    return sum(acquire_attempt(state, in_flight, 1) for _ in range(n_wanted))


def _add_alive_peers(state, count):
    for number in range(count):
        now_s = read_boottime_s()
        peer = Peer(f'p{number}', 'a', 'dc1', '', '', True, now_s)
        record_peer(state.members, peer)


def _make_in_flight(state):
    route = state.table.routes_by_host[HOST][0]
    requirements = UpstreamRequirements('engine', 's', '', '')
    call = None
    return InFlightRequest(call, route, Team('t'), requirements, float('inf'))
