"""Faulty upstreams: endless responses, and bytes that only trickle in."""

import resource
import socket
import threading

import trio
from turmericcrank_core.routing import CallKind

from tests.router_builders import make_route, make_table, make_upstream
from tests.router_fakes import (
    list_upstreams,
    make_node_state,
    open_client,
    read_until,
    request_bytes,
    start_upstreams,
)
from tests.upstream_fakes import END_CHUNK, event_chunk, stream_head

_MIB = 0x100000
_JUNK = b'x' * 65536
_CHUNK = b'10000\r\n%s\r\n' % _JUNK


def _send_request(script, kind=CallKind.stream, until=b'\r\n\r\n', **fields):
    """Send one request.

    Returns:
        The response, the time in seconds, the growth of the peak memory in
        bytes, and the upstream.
    """

    async def main():
        defaults = {'max_attempts': 2, 'timeout_s': 8.0}
        route = make_route(kind=kind, **{**defaults, **fields})
        state = make_node_state(make_table(route))
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        async with trio.open_nursery() as nursery:
            fakes = await start_upstreams(nursery, state, [script])
            client = await open_client(nursery, state)
            began_s = trio.current_time()
            await client.send_all(request_bytes())
            received = await read_until(client, until, 9)
            elapsed_s = trio.current_time() - began_s
            nursery.cancel_scope.cancel()
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        return received, elapsed_s, (after - before) * 1024, fakes[0]

    return trio.run(main)


def test_an_endless_response_head_is_abandoned():
    script = [b'HTTP/1.1 200 X\r\nlong: ', *[_JUNK] * 400]
    received, elapsed_s, n_bytes, _ = _send_request(script)
    assert received.startswith(b'HTTP/1.1 502')
    assert elapsed_s < 4
    assert n_bytes < 20 * _MIB


def test_endless_interim_responses_are_abandoned():
    script = [b'HTTP/1.1 102 X\r\n\r\n'] * 100_000
    received, elapsed_s, _, _ = _send_request(script)
    assert received.startswith(b'HTTP/1.1 502')
    assert elapsed_s < 4


def test_an_endless_unary_response_is_abandoned():
    script = [stream_head(), *[_CHUNK] * 1000]
    received, elapsed_s, n_bytes, _ = _send_request(
        script, CallKind.non_idempotent
    )
    assert received.startswith(b'HTTP/1.1 502')
    assert elapsed_s < 8
    assert n_bytes < 64 * _MIB


def test_an_endless_event_is_abandoned():
    script = [stream_head(), event_chunk(1), *[_CHUNK] * 1000]
    received, elapsed_s, n_bytes, _ = _send_request(script, until=b'no marker')
    assert b'id: 1' in received
    assert not received.endswith(END_CHUNK)
    assert elapsed_s < 8
    assert n_bytes < 20 * _MIB


def test_bytes_that_are_not_http_are_rejected():
    received, _, _, _ = _send_request([b'\x00\xffnoise' * 9000])
    assert received.startswith(b'HTTP/1.1 502')


def test_a_stream_with_bytes_but_no_events_is_resumed_elsewhere():
    drip = [step for _ in range(40) for step in (b'1\r\nx\r\n', 0.2)]

    async def main():
        state = make_node_state(make_table(make_route()))
        stalled = [stream_head(), event_chunk(1), *drip]
        rest = [stream_head(), event_chunk(2), END_CHUNK]
        scripts = [stalled, rest]
        async with trio.open_nursery() as nursery:
            await start_upstreams(nursery, state, scripts, scripts)
            client = await open_client(nursery, state)
            await client.send_all(request_bytes())
            received = await read_until(client, END_CHUNK, 9)
            nursery.cancel_scope.cancel()
        return received

    received = trio.run(main)
    assert b'id: 2' in received
    assert received.endswith(END_CHUNK)


def test_a_slow_stream_with_regular_events_is_not_abandoned():
    """Guards against cutting a stream whose events arrive in small parts.

    The gaps between its complete events are as long as clients tolerate.
    """
    raw = event_chunk(2)
    parts = [raw[:4], 0.9, raw[4:9], 0.9, raw[9:], 0.9]
    script = [stream_head(), event_chunk(1), 0.9, *parts, END_CHUNK]
    received, elapsed_s, _, fake = _send_request(script, until=END_CHUNK)
    assert elapsed_s > 3
    assert len(fake.requests) == 1
    assert received.endswith(END_CHUNK)


def _close_connections(listener):
    """Accept connections and close them at once, until it is shut down."""
    while True:
        try:
            listener.accept()[0].close()
        except OSError:
            return


def test_lost_no_request_to_an_upstream_that_closes_each_connection():
    # The connection had ended before the request was encoded.
    async def main():
        route = make_route(kind=CallKind.idempotent, max_attempts=2)
        state = make_node_state(make_table(route))
        statuses = set()
        with socket.create_server(('127.0.0.1', 0)) as listener:
            address = '{}:{}'.format(*listener.getsockname())
            list_upstreams(state, make_upstream('u0', address=address))
            thread = threading.Thread(
                target=_close_connections, args=(listener,)
            )
            thread.start()
            async with trio.open_nursery() as nursery:
                for number in range(100):
                    client = await open_client(nursery, state)
                    await client.send_all(request_bytes(id=f'r{number}'))
                    received = await read_until(client, b'\r\n\r\n', 9)
                    statuses.add(received[9:12])
                nursery.cancel_scope.cancel()
            listener.shutdown(socket.SHUT_RDWR)
            thread.join()
        return statuses

    assert b'500' not in trio.run(main)
