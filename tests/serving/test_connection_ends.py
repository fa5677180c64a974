"""Requests that arrive while their connection is about to be closed."""

import os
import socket
import time
from dataclasses import replace

import trio
import trio.testing
from turmericcrank_core.routing import CallKind

from tests.router_builders import make_route, make_table
from tests.router_fakes import (
    make_node_state,
    open_client,
    read_until,
    request_bytes,
    start_upstreams,
)
from tests.upstream_fakes import response_bytes

_N_CLIENTS = 8
_IDLE_S = 0.3
_HELD_UP_S = 0.05
_FIRST_REQUEST_S = 0.3


def _make_state(idle_s):
    table = make_table(make_route('bays', CallKind.idempotent))
    limits = replace(table.limits, idle_s=idle_s)
    return make_node_state(replace(table, limits=limits))


def _send_at_once(clients):
    """Send a request of each client while no other task can run."""
    time.sleep(_HELD_UP_S)
    for number, client in enumerate(clients):
        request = request_bytes('/bays/1', id=f'r{number}')
        with socket.socket(fileno=os.dup(client.socket.fileno())) as raw:
            raw.send(request)
    time.sleep(_HELD_UP_S)


async def _send_at_drain(state, clients, is_sent):
    await state.closing.wait()
    _send_at_once(clients)
    is_sent.set()


async def _send_at_timeout(clients, is_sent, at_s):
    await trio.sleep_until(at_s)
    _send_at_once(clients)
    is_sent.set()


async def _open_clients(nursery, state):
    script = [[response_bytes()] for _ in range(_N_CLIENTS)]
    await start_upstreams(nursery, state, script)
    return [await open_client(nursery, state) for _ in range(_N_CLIENTS)]


async def _read_statuses(clients):
    heads = [await read_until(client, b'\r\n', 3) for client in clients]
    return [head[9:12] for head in heads]


def test_lost_requests_that_arrive_as_a_drain_closes_their_connections():
    # They were read and discarded, and the clients saw an empty response.
    async def main():
        state = _make_state(idle_s=15)
        is_sent = trio.Event()
        async with trio.open_nursery() as nursery:
            clients = await _open_clients(nursery, state)
            nursery.start_soon(_send_at_drain, state, clients, is_sent)
            await trio.sleep(_FIRST_REQUEST_S)
            state.is_stopping = True
            state.rejects_from_s = trio.current_time()
            state.closing.set()
            await is_sent.wait()
            statuses = await _read_statuses(clients)
            nursery.cancel_scope.cancel()
        return state, statuses

    state, statuses = trio.run(main)
    assert statuses == [b'503'] * _N_CLIENTS
    assert 'connection_discarded' not in state.log.names()


def test_lost_requests_that_arrive_at_the_idle_timeout():
    # The timeout passed while the event loop was held up.
    async def main():
        state = _make_state(_IDLE_S)
        is_sent = trio.Event()
        async with trio.open_nursery() as nursery:
            clients = await _open_clients(nursery, state)
            await trio.testing.wait_all_tasks_blocked()
            at_s = trio.current_time() + _IDLE_S - _HELD_UP_S
            nursery.start_soon(_send_at_timeout, clients, is_sent, at_s)
            await trio.sleep_until(at_s - _HELD_UP_S)
            time.sleep(3 * _HELD_UP_S)
            await is_sent.wait()
            statuses = await _read_statuses(clients)
            nursery.cancel_scope.cancel()
        return statuses

    assert trio.run(main) == [b'200'] * _N_CLIENTS


def test_an_idle_connection_is_closed_at_its_timeout():
    async def main():
        state = _make_state(_IDLE_S)
        async with trio.open_nursery() as nursery:
            client = await open_client(nursery, state)
            received = await client.receive_some()
            nursery.cancel_scope.cancel()
        return received

    assert trio.run(main) == b''


def test_lost_response_to_a_head_request_that_is_refused():
    # The text of the refusal was sent as a body, which ended the connection.
    async def main():
        state = _make_state(idle_s=15)
        async with trio.open_nursery() as nursery:
            client = await open_client(nursery, state)
            heads = []
            for _ in range(2):
                await client.send_all(
                    request_bytes('/unknown', method='HEAD', body=b'')
                )
                heads.append(await read_until(client, b'\r\n\r\n', 1))
            nursery.cancel_scope.cancel()
        return heads

    heads = trio.run(main)
    assert [head[:12] for head in heads] == [b'HTTP/1.1 404'] * 2


def test_lost_no_connection_is_reused_whose_response_comes_while_draining():
    # Its request had begun before; the next one was read and discarded.
    async def main():
        state = _make_state(idle_s=15)
        script = [0.2, response_bytes()]
        async with trio.open_nursery() as nursery:
            await start_upstreams(nursery, state, [script])
            client = await open_client(nursery, state)
            await client.send_all(request_bytes('/bays/1'))
            await trio.sleep(0.1)
            state.is_stopping = True
            received = await read_until(client, b'\r\n\r\n', 3)
            nursery.cancel_scope.cancel()
        return received

    received = trio.run(main)
    assert received.startswith(b'HTTP/1.1 200')
    assert b'connection: close' in received
