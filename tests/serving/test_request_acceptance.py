"""When a node accepts requests, and how it rejects them."""

from dataclasses import replace

import trio
from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.membership import Peer, record_peer
from turmericcrank_core.routing import CallKind, ClientLimits
from turmericcrank_node.serving.in_flight_request import acquire_attempt
from turmericcrank_node.state.node_state import read_boottime_s
from turmericcrank_node.state.router_metrics import write_metrics

from tests.request_builders import make_in_flight
from tests.router_builders import KEY, make_route, make_table
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
    state.configuration_staleness.current_as_of_s -= age_s


def test_a_node_with_a_stale_configuration_accepts_no_key():
    state = _make_state()
    _make_stale(state, state.settings.bounds.revoke_s)
    received, n_requests = _send_request(state)
    assert received.startswith(b'HTTP/1.1 503')
    assert b'retry-after' in received
    assert n_requests == 0


def test_a_node_with_a_stale_configuration_serves_public_routes():
    state = _make_state(is_public=True)
    _make_stale(state, 60)
    received, _ = _send_request(state, request_bytes('/bays/1', key=''))
    assert received.startswith(b'HTTP/1.1 200')


def test_a_key_is_accepted_for_less_than_the_revocation_limit():
    state = _make_state()
    _make_stale(state, state.settings.bounds.revoke_s * 0.7)
    assert state.is_configuration_current
    _make_stale(state, state.settings.bounds.revoke_s * 0.2)
    assert not state.is_configuration_current


def test_a_node_without_tables_rejects_with_its_own_code():
    state = _make_state()
    state.table = None
    received, _ = _send_request(state)
    assert received.startswith(b'HTTP/1.1 503')
    assert b'3008' in received


def test_unknown_keys_and_unknown_routes_get_different_statuses():
    received, _ = _send_request(
        _make_state(), request_bytes('/bays/1', key='stolen')
    )
    assert received.startswith(b'HTTP/1.1 401')
    received, _ = _send_request(_make_state(), request_bytes('/nowhere/1'))
    assert received.startswith(b'HTTP/1.1 404')


def test_the_forwarded_team_is_that_of_the_key():
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


def test_a_draining_node_responds_and_closes_the_connection():
    state = _make_state()
    state.is_stopping = True
    assert not state.is_ready
    received, n_requests = _send_request(state)
    assert b'connection: close' in received
    assert n_requests == 1


def test_a_node_that_rejects_requests_sends_nothing_to_upstreams():
    state = _make_state()
    state.rejects_from_s = 0
    received, n_requests = _send_request(state)
    assert received.startswith(b'HTTP/1.1 503')
    assert n_requests == 0


def test_a_body_over_the_limit_is_rejected():
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


def test_a_body_may_arrive_more_slowly_than_a_head():
    raw = request_bytes('/bays/1', body=b'five parts')
    head, body = raw[:-10], raw[-10:]
    received = _send_slowly(
        head, *(body[at : at + 2] for at in range(0, 10, 2))
    )
    assert received.startswith(b'HTTP/1.1 200')


def test_an_incomplete_request_head_is_rejected_after_its_timeout():
    raw = request_bytes('/bays/1')
    received = _send_slowly(raw[:10], raw[10:20], raw[20:30])
    assert received.startswith(b'HTTP/1.1 408')


def test_pipelined_requests_are_answered_in_order():
    two = request_bytes('/bays/1') + request_bytes('/nowhere/2')
    received, _ = _send_request(_make_state(), two, until=b'HTTP/1.1 404')
    assert received.index(b'HTTP/1.1 200') < received.index(b'HTTP/1.1 404')


def test_a_request_with_two_content_lengths_is_rejected():
    raw = request_bytes('/bays/1').replace(
        b'Content-Length: 2', b'Content-Length: 2\r\nContent-Length: 3'
    )
    received, n_requests = _send_request(_make_state(), raw)
    assert received.startswith(b'HTTP/1.1 400')
    assert n_requests == 0


def test_an_internal_error_of_the_router_gets_a_response():
    state = _make_state()
    state.upstream_health = None
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
def test_all_nodes_together_keep_the_retry_limit_of_the_site(
    n_nodes, n_requested
):
    """Replays a crash that made requests fail at all nodes at once."""
    allowed = 50.0
    n_acquired = sum(
        trio.run(_acquire_retries, n_nodes, n_requested, allowed)
        for _ in range(n_nodes)
    )
    assert n_acquired <= max(allowed, n_nodes)


async def _acquire_retries(n_nodes, n_requested, allowed):
    state = _make_state()
    _add_alive_peers(state, n_nodes - 1)
    bounds = replace(state.settings.bounds, retry_slack=allowed)
    state.settings = replace(state.settings, bounds=bounds)
    in_flight = make_in_flight('r1', trio.current_time())
    return sum(acquire_attempt(state, in_flight, 1) for _ in range(n_requested))


def _add_alive_peers(state, count):
    for number in range(count):
        now_s = read_boottime_s()
        peer = Peer(f'p{number}', 'a', 'dc1', '', '', True, now_s)
        record_peer(state.members, peer)
