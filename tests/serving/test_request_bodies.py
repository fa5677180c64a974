"""What a node does when request bodies fill its memory."""

from dataclasses import replace

import trio
import trio.testing
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.inbound import ByteBudget
from turmericcrank_core.routing import CallKind, ClientLimits

from tests.router_builders import HOST, KEY, make_route, make_table
from tests.router_fakes import (
    make_node_state,
    open_client,
    read_until,
    request_bytes,
    start_upstreams,
)
from tests.upstream_fakes import response_bytes

_BODY = b'x' * 150_000
_ROOM_BYTES = 200_000
_HEAD_END = b'\r\n\r\n'
_REJECTION = b'x-result-code: %d' % ResultCode.memory_full
_CHUNKED_HEAD = (
    f'POST /bays/1 HTTP/1.1\r\nHost: {HOST}\r\nid: r1\r\nkey: {KEY}\r\n'
    'Transfer-Encoding: chunked\r\n\r\n'
).encode()


def _make_state():
    route = make_route('bays', CallKind.idempotent)
    table = make_table(route)
    state = make_node_state(
        replace(table, limits=ClientLimits(body_bytes=len(_BODY)))
    )
    state.body_budget = ByteBudget(_ROOM_BYTES)
    return state


def _play(state, act):
    """Run a function on a node with one upstream; return its result."""

    async def main():
        async with trio.open_nursery() as nursery:
            scripts = [[response_bytes()] for _ in range(3)]
            fakes = await start_upstreams(nursery, state, scripts)
            received = await act(nursery, fakes)
            nursery.cancel_scope.cancel()
        return received

    return trio.run(main)


async def _send(nursery, state, raw):
    client = await open_client(nursery, state)
    await client.send_all(raw)
    return client


def test_a_body_without_room_is_refused_before_it_is_read():
    state = _make_state()
    request = request_bytes('/bays/1', body=_BODY)

    async def act(nursery, fakes):
        first = await _send(nursery, state, request[:-1])
        await trio.testing.wait_all_tasks_blocked(0.05)
        second = await _send(nursery, state, request[: -len(_BODY)])
        refused = await read_until(second, _HEAD_END)
        await first.send_all(request[-1:])
        served = await read_until(first, _HEAD_END)
        return refused, served, sum(len(fake.requests) for fake in fakes)

    refused, served, n_sent = _play(state, act)
    assert refused.startswith(b'HTTP/1.1 503')
    assert _REJECTION in refused
    assert b'retry-after: 0.50' in refused
    assert served.startswith(b'HTTP/1.1 200')
    assert n_sent == 1


def test_the_room_of_a_body_is_free_once_its_request_has_ended():
    state = _make_state()
    request = request_bytes('/bays/1', body=_BODY)

    async def act(nursery, _fakes):
        heads = []
        for _ in range(2):
            client = await _send(nursery, state, request)
            heads.append(await read_until(client, _HEAD_END))
            await client.aclose()
        await trio.testing.wait_all_tasks_blocked(0.05)
        return heads

    heads = _play(state, act)
    assert all(head.startswith(b'HTTP/1.1 200') for head in heads)
    assert state.body_budget.reserved_bytes == 0


def test_a_body_in_chunks_is_refused_when_the_room_ends():
    state = _make_state()
    state.body_budget = ByteBudget(max_bytes=100_000)
    chunk = b'%x\r\n%s\r\n' % (50_000, b'x' * 50_000)

    async def act(nursery, _fakes):
        client = await _send(nursery, state, _CHUNKED_HEAD + chunk * 2)
        refused = await read_until(client, _HEAD_END)
        await trio.testing.wait_all_tasks_blocked(0.05)
        return refused

    assert _REJECTION in _play(state, act)
    assert state.body_budget.reserved_bytes == 0
