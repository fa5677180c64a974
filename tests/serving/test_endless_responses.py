"""Upstreams that send without end, to many requests at once."""

import re
import resource
import time
from functools import partial

import pytest
import trio
from turmericcrank_core.inbound import ByteBudget
from turmericcrank_core.routing import CallKind, ServiceShare

from tests.router_builders import make_route, make_table, make_upstream
from tests.router_fakes import (
    list_upstreams,
    make_node_state,
    open_client,
    read_until,
    request_bytes,
)
from tests.upstream_fakes import FakeUpstream, response_bytes, stream_head

_MIB = 0x100000
_N_CLIENTS = 12
_ROOM_BYTES = 24 * _MIB
_PART = b'x' * 65536
_CHUNK = b'10000\r\n%s\r\n' % _PART
_LENGTH_HEAD = (
    b'HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: yes\r\n'
    b'content-length: 1000000000000\r\n\r\n'
)
_CLOSE_HEAD = b'HTTP/1.1 200 OK\r\nid: {id}\r\nsigned: yes\r\n\r\n'
_FLOOD_S = 2.0
# At least half of the processor stays with the other requests.
_MAX_PROCESSOR_SHARE = 0.5


def _fill_chunk(pattern):
    body = pattern * (65536 // len(pattern))
    return b'%x\r\n%s\r\n' % (len(body), body)


async def _serve_flood(head, part, stream):
    """Send a response head, then the same part until the node closes."""
    received = b''
    while b'\r\n\r\n' not in received:
        read = await stream.receive_some()
        if not read:
            return
        received += read
    request_id = re.search(rb'id: (\S+)', received).group(1)
    try:
        await stream.send_all(head.replace(b'{id}', request_id))
        while True:
            await stream.send_all(part)
    except trio.BrokenResourceError:
        return


async def _start_flood(nursery, state, head, part):
    """Start an upstream that sends without end; register it."""
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    host, port = listeners[0].socket.getsockname()
    await nursery.start(
        trio.serve_listeners, partial(_serve_flood, head, part), listeners
    )
    return make_upstream('u0', address=f'{host}:{port}')


async def _watch(budget, peak):
    """Keep the largest number of reserved bytes."""
    while True:
        peak['bytes'] = max(peak['bytes'], budget.reserved_bytes)
        await trio.sleep(0)


def _run_floods(kind, head, part, duration_s, *, is_watched=False):
    """Send requests to an upstream that sends without end, and sound ones.

    Returns:
        What the sound requests got, the largest number of reserved bytes, the
        growth of the peak memory in bytes, and the share of the time in which
        the processor was busy.
    """

    async def main():
        flooded = make_route(
            kind=kind, timeout_s=9.0, max_attempts=1, objective_s=9.0
        )
        sound = make_route(
            'slots',
            CallKind.idempotent,
            shares=(ServiceShare('booking', 1),),
        )
        state = make_node_state(make_table(flooded, sound))
        state.body_budget = ByteBudget(_ROOM_BYTES)
        peak = {'bytes': 0}
        answers = []
        async with trio.open_nursery() as nursery:
            flood = await _start_flood(nursery, state, head, part)
            booking = FakeUpstream([[response_bytes()] for _ in range(100)])
            await nursery.start(booking.serve)
            list_upstreams(
                state,
                flood,
                make_upstream('b1', 'booking', address=booking.address),
            )
            clients = [
                await open_client(nursery, state) for _ in range(_N_CLIENTS)
            ]
            other = await open_client(nursery, state)
            if is_watched:
                nursery.start_soon(_watch, state.body_budget, peak)
            before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            began_s, began_busy_s = time.monotonic(), time.process_time()
            for client in clients:
                await client.send_all(request_bytes())
                nursery.start_soon(read_until, client, b'no marker', 9)
            while time.monotonic() < began_s + duration_s:
                await other.send_all(request_bytes('/slots/1'))
                answers.append(await read_until(other, b'\r\n\r\nok'))
                await trio.sleep(0.05)
            busy_s = time.process_time() - began_busy_s
            share = busy_s / (time.monotonic() - began_s)
            nursery.cancel_scope.cancel()
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        return answers, peak['bytes'], (after - before) * 1024, share

    return trio.run(main)


@pytest.mark.parametrize(
    ('head', 'part'),
    [
        (stream_head(), _CHUNK),
        (_LENGTH_HEAD, _PART),
        (_CLOSE_HEAD, _PART),
    ],
    ids=['chunks', 'length', 'no_length'],
)
@pytest.mark.parametrize('kind', [CallKind.idempotent, CallKind.non_idempotent])
def test_lost_endless_bodies_take_a_node_over_its_memory(kind, head, part):
    """Each body is bounded, and their sum took all memory of a node."""
    answers, most_bytes, grown_bytes, _ = _run_floods(
        kind, head, part, 1.0, is_watched=True
    )
    assert answers
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)
    assert _ROOM_BYTES / 4 < most_bytes <= _ROOM_BYTES
    assert grown_bytes < 2 * _ROOM_BYTES


@pytest.mark.parametrize(
    'part',
    [
        _CHUNK,
        _fill_chunk(b'data: x\n'),
        _fill_chunk(b':\n\n'),
        b'1\r\nx\r\n' * 8192,
    ],
    ids=['one_line', 'lines', 'comments', 'small_chunks'],
)
def test_an_endless_stream_starves_no_other_request(part):
    """Streams without end kept the processor, so others waited for seconds."""
    answers, _, grown_bytes, share = _run_floods(
        CallKind.stream, stream_head(), part, _FLOOD_S
    )
    assert answers
    assert all(answer.startswith(b'HTTP/1.1 200') for answer in answers)
    assert share < _MAX_PROCESSOR_SHARE
    assert grown_bytes < 2 * _ROOM_BYTES
