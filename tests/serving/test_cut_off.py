"""A node that reaches no upstream serves its clients through its peers.

Guards against the RECOVER incident: clients of nodes that had lost their links
to all upstreams were rejected for as long as the cut lasted.
"""

from dataclasses import replace

import pytest
import trio
from turmericcrank_core.routing import CallKind
from turmericcrank_node.state.node_state import describe_self, read_boottime_s
from turmericcrank_node.upstreams.upstream_access import (
    check_path,
    serve_path_probes,
)

from tests.cut_site import CutSite
from tests.router_builders import make_route
from tests.router_fakes import (
    open_client,
    read_until,
    request_bytes,
)
from tests.upstream_fakes import (
    END_CHUNK,
    FakeUpstream,
    event_chunk,
    response_bytes,
    stream_head,
)


def _run(act, scripts, *, kind=CallKind.non_idempotent, is_silent=False):
    async def main():
        route = make_route('bays', kind)
        async with trio.open_nursery() as nursery:
            site = CutSite(nursery, [route])
            await site.start(scripts, is_silent=is_silent)
            seen = await act(site)
            nursery.cancel_scope.cancel()
        return seen

    return trio.run(main)


@pytest.mark.parametrize('is_silent', [True, False])
def test_clients_of_a_node_that_is_cut_off_from_all_upstreams_are_served(
    is_silent,
):
    async def act(site):
        calls = [
            request_bytes('/bays/1', id=f'r{number}') for number in range(6)
        ]
        return [await site.send(call) for call in calls], site

    scripts = [[response_bytes(b'bay 4')] for _ in range(6)]
    responses, site = _run(act, scripts, is_silent=is_silent)
    assert [response[9:12] for response in responses] == [b'200'] * 6
    assert all(response.endswith(b'bay 4') for response in responses)
    assert site.n_received() == 6
    assert 'upstreams_cut_off' in site.cut.log.names()
    assert not describe_self(site.cut).is_ready
    assert site.cut.is_ready


def test_an_upstream_gets_only_the_time_that_the_way_to_it_has_left():
    """The check of the own links takes most of a second here."""

    async def act(site):
        await site.send(request_bytes('/bays/1', wait='4'))
        heads = [up.requests for up in site.upstreams if up.requests]
        return float(heads[0][0]['left'])

    left_s = _run(act, [[response_bytes()]], is_silent=True)
    assert left_s < 3.5


def test_a_stream_passes_a_tunnel_event_by_event():
    async def act(site):
        return await site.send(request_bytes('/bays/1'), b'0\r\n\r\n')

    script = [stream_head(), event_chunk(1), 0.2, event_chunk(2), END_CHUNK]
    received = _run(act, [script], kind=CallKind.stream)
    assert b'id: 1' in received
    assert b'id: 2' in received
    assert received.endswith(b'0\r\n\r\n')


def test_a_call_is_not_run_twice_when_its_tunnel_is_lost():
    """The peer between may have forwarded a call before it went away."""

    async def act(site):
        await site.send(request_bytes('/bays/1', id='r0'))
        site.nursery.start_soon(_stop_helping, site, 0.3)
        return await site.send(request_bytes('/bays/1')), site.n_received()

    scripts = [[response_bytes()], [1.0, response_bytes()], [response_bytes()]]
    received, n_received = _run(act, scripts)
    assert received.startswith(b'HTTP/1.1 502')
    assert n_received == 2


async def _stop_helping(site, delay_s):
    await trio.sleep(delay_s)
    site.helping.cancel()


def test_a_response_without_a_length_is_not_complete_when_its_tunnel_is_lost():
    """Only the end of the upstream's connection ends such a response."""

    async def act(site):
        await site.send(request_bytes('/bays/1', id='r0'))
        site.nursery.start_soon(_stop_helping, site, 0.3)
        return await site.send(request_bytes('/bays/1'))

    head = b'HTTP/1.1 200 X\r\nid: {id}\r\nsigned: yes\r\n\r\n'
    received = _run(act, [[response_bytes()], [head, b'half', 1.0]])
    assert received.startswith(b'HTTP/1.1 502')


def test_a_response_without_a_length_that_is_reset_upstream_is_not_complete():
    async def act(site):
        await site.send(request_bytes('/bays/1', id='r0'))
        return await site.send(request_bytes('/bays/1'))

    head = b'HTTP/1.1 200 X\r\nid: {id}\r\nsigned: yes\r\n\r\n'
    received = _run(act, [[response_bytes()], [head, b'half', 0.1, 'reset']])
    assert received.startswith(b'HTTP/1.1 502')


def test_an_upstream_stops_when_the_client_of_a_tunnel_leaves():
    async def act(site):
        await site.send(request_bytes('/bays/1', id='r0'))
        client = await open_client(site.nursery, site.cut)
        await client.send_all(request_bytes('/bays/1'))
        await trio.sleep(0.2)
        await client.aclose()
        left_s = trio.current_time()
        await trio.sleep(0.6)
        return [
            closed_s - left_s
            for upstream in site.upstreams
            for closed_s in upstream.closed_s
        ]

    scripts = [[response_bytes()], [3.0, response_bytes()]]
    closed_s = _run(act, scripts, kind=CallKind.idempotent)
    assert closed_s
    assert max(closed_s) < 0.5


def test_a_cut_blames_no_request_and_ejects_no_upstream():
    """Connections that a cut refuses look like those of crashed upstreams."""

    async def act(site):
        for number in range(4):
            await site.send(request_bytes('/bays/1', id=f'r{number}'))
        return site.cut

    scripts = [[response_bytes()] for _ in range(4)]
    state = _run(act, scripts, kind=CallKind.idempotent)
    assert 'upstream_failed' not in state.log.names()
    assert not state.upstream_health.ejected_until_s_by_id
    assert not state.crash_guard.history.crashes


def test_a_node_whose_cut_has_healed_uses_its_own_connections_again():
    async def act(site):
        site.nursery.start_soon(serve_path_probes, site.cut)
        await site.send(request_bytes('/bays/1', id='r0'))
        assert site.cut.upstream_path.is_cut_off
        site.heal()
        with trio.fail_after(3):
            while site.cut.upstream_path.is_cut_off:
                await trio.sleep(0.05)
        site.helping.cancel()
        return await site.send(request_bytes('/bays/1'))

    received = _run(act, [[response_bytes()], [response_bytes()]])
    assert received.startswith(b'HTTP/1.1 200')


def test_a_node_whose_peers_reach_no_upstream_either_is_not_cut_off():
    async def act(site):
        for upstream in site.upstreams:
            upstream.refuse_connections()
        response = await site.send(request_bytes('/bays/1'))
        return response, site.cut

    response, state = _run(act, [])
    assert response.startswith(b'HTTP/1.1 503')
    assert not state.upstream_path.is_cut_off


def test_a_check_without_any_reply_delays_a_request_only_briefly():
    """Upstreams and peers are silent; the request may go elsewhere instead."""

    async def act(site):
        site.unreachable.append(FakeUpstream([]))
        await site.nursery.start(site.unreachable[-1].serve)
        site.unreachable[-1].stop_accepting()
        peer = next(iter(site.cut.members.by_id.values()))
        for name in ('n2', 'n3', 'n4'):
            site.cut.members.by_id[name] = replace(
                peer, node_id=name, peer_address=site.unreachable[-1].address
            )
        upstream = next(iter(site.cut.upstream_registry.by_id.values()))
        began_s = trio.current_time()
        is_cut_off = await check_path(site.cut, upstream, read_boottime_s())
        return is_cut_off, trio.current_time() - began_s

    is_cut_off, elapsed_s = _run(act, [], is_silent=True)
    assert not is_cut_off
    assert elapsed_s < 1


def test_a_malformed_request_for_a_tunnel_only_ends_its_connection():
    async def act(site):
        address = next(iter(site.cut.members.by_id.values())).peer_address
        host, _, port = address.partition(':')
        for raw in (
            b'\xff\xff\xff\xff',
            b'\0\0\0\4abcd',
            b'\0\0\0\0',
            b'GET /',
        ):
            stream = await trio.open_tcp_stream(host, int(port))
            await stream.send_all(raw)
            assert await read_until(stream, b'never', 1) == b''
        return site.helper.n_tunnels, site.helper.n_requests

    assert _run(act, []) == (0, 0)
