"""Clients that send requests before they have received the responses."""

from dataclasses import dataclass, field

import trio
from turmericcrank_core.inbound import ByteBudget, ConnectionCounts
from turmericcrank_core.routing import ClientLimits
from turmericcrank_node.serving.client_connection import (
    serve_client_connection,
)
from turmericcrank_node.serving.connection_state import ConnectionHandlers

_HEAD = b'GET / HTTP/1.1\r\nHost: a\r\nfiller: %s\r\n\r\n' % (b'x' * 4000)
_N_REQUESTS = 300
_ROOM_BYTES = 10_000_000
_WORK_S = 0.001
_N_CLIENTS = 20
_N_PIPELINED = 60
_SMALL_ROOM_BYTES = 200_000
_LONG_HEAD_BYTES = 15_000
_PART_BYTES = 4096
_BODY_BYTES = 6000
_N_BEHIND_BODY = 14
_POST = (
    b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n' % _BODY_BYTES
)
# What is kept before the connection is no longer watched, and one read more.
_MOST_HELD_BYTES = 2 * 65536


@dataclass
class Play:
    """What a node has read from one client, and served.

    Attributes:
        budget: Room for what the node holds.
        work_s: How long it handles a request.
        n_received: Bytes that it has read.
        held: Bytes read and not served, at each request.
    """

    budget: ByteBudget
    work_s: float = _WORK_S
    n_received: int = 0
    held: list = field(default_factory=list)


def _count_reads(play, stream):
    receive = stream.receive_some

    async def receive_some(max_bytes=None):
        received = await receive(max_bytes)
        play.n_received += len(received)
        return received

    stream.receive_some = receive_some
    return stream


def _make_handlers(play):
    async def respond(_request, exchange):
        await trio.sleep(play.work_s)
        n_served = (len(play.held) + 1) * len(_HEAD)
        play.held.append(play.n_received - n_served)
        await exchange.send_response(200, [], b'')

    return ConnectionHandlers(
        respond,
        respond,
        ClientLimits,
        bool,
        trio.Event(),
        play.budget,
        ConnectionCounts(),
        lambda _cause, _n_bytes: None,
    )


async def _send(client, raw):
    """Send requests and read all responses."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_discard, client)
        await client.send_all(raw)


async def _discard(stream):
    while await stream.receive_some():
        continue


def _pipeline(play, act):
    """Start a node, and run a function that connects clients to it."""

    async def main():
        handlers = _make_handlers(play)

        async def serve(stream):
            counted = _count_reads(play, stream)
            await serve_client_connection(handlers, counted)

        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_listeners, serve, listeners)
            await act(nursery, listeners[0].socket.getsockname())
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_lost_a_client_that_pipelines_on_and_on_takes_little_memory():
    """Each request let one more read be kept, however much there was."""
    play = Play(ByteBudget(_ROOM_BYTES))

    async def act(nursery, address):
        client = await trio.open_tcp_stream(*address)
        nursery.start_soon(_send, client, _HEAD * _N_REQUESTS)
        with trio.move_on_after(20):
            while len(play.held) < _N_REQUESTS:
                await trio.sleep(0.01)

    _pipeline(play, act)
    assert len(play.held) == _N_REQUESTS
    assert max(play.held) <= _MOST_HELD_BYTES


def test_lost_many_clients_that_pipeline_keep_to_the_room_together():
    """Each was bounded, their sum was not."""
    play = Play(ByteBudget(_SMALL_ROOM_BYTES), work_s=0.5)

    async def act(nursery, address):
        clients = [
            await trio.open_tcp_stream(*address) for _ in range(_N_CLIENTS)
        ]
        async with trio.open_nursery() as senders:
            for client in clients:
                senders.start_soon(client.send_all, _HEAD * _N_PIPELINED)
            await trio.sleep(0.3)
            senders.cancel_scope.cancel()
        assert 0 < play.budget.reserved_bytes <= _SMALL_ROOM_BYTES / 2
        for client in clients:
            await client.aclose()
        await trio.sleep(1.5)

    _pipeline(play, act)
    n_parts = _N_CLIENTS * _PART_BYTES * 2
    assert max(play.held) <= _SMALL_ROOM_BYTES / 2 + n_parts
    assert play.budget.reserved_bytes == 0


def test_lost_many_clients_with_unfinished_heads_keep_to_the_room_together():
    """Heads were in no budget, and came on top of bodies."""
    play = Play(ByteBudget(_SMALL_ROOM_BYTES))
    raw = _HEAD[:-4].ljust(_LONG_HEAD_BYTES, b'x')
    answers = []

    async def send(client):
        await client.send_all(raw)
        answers.append(await client.receive_some())

    async def act(nursery, address):
        clients = [
            await trio.open_tcp_stream(*address) for _ in range(_N_CLIENTS)
        ]
        for client in clients:
            nursery.start_soon(send, client)
        await trio.sleep(0.5)
        assert _SMALL_ROOM_BYTES / 2 < play.budget.reserved_bytes
        assert play.budget.reserved_bytes <= _SMALL_ROOM_BYTES

    _pipeline(play, act)
    assert play.budget.reserved_bytes == 0
    n_held = _SMALL_ROOM_BYTES // _LONG_HEAD_BYTES
    assert len(answers) >= _N_CLIENTS - n_held
    assert all(raw.startswith(b'HTTP/1.1 503') for raw in answers)


def test_lost_bytes_behind_bodies_keep_to_the_room_together():
    """They are read with the end of a body, and are in no budget."""
    play = Play(ByteBudget(_SMALL_ROOM_BYTES), work_s=1)
    rest = b'x' * (_BODY_BYTES // 2)
    begin = _POST + rest
    n_kept = []

    async def act(nursery, address):
        clients = [
            await trio.open_tcp_stream(*address) for _ in range(_N_CLIENTS)
        ]
        for client in clients:
            await client.send_all(begin)
        await trio.sleep(0.3)
        for client in clients:
            nursery.start_soon(client.send_all, rest + _HEAD * _N_BEHIND_BODY)
        await trio.sleep(0.5)
        n_read = _N_CLIENTS * len(begin + rest)
        n_kept.append(play.n_received - n_read)

    _pipeline(play, act)
    n_parts = _N_CLIENTS * _PART_BYTES * 2
    assert n_kept[0] <= _SMALL_ROOM_BYTES / 2 + n_parts
