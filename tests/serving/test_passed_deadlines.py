"""A deadline that passes just before a request is sent."""

import time

import pytest
import trio
from turmericcrank_core.routing import CallKind

from tests.router_builders import make_route, make_table
from tests.router_fakes import (
    FakeLog,
    make_node_state,
    open_client,
    read_until,
    request_bytes,
    start_upstreams,
)
from tests.upstream_fakes import response_bytes

_DEADLINE_S = 0.1


class _SlowLog(FakeLog):
    """Holds the process up when a request is about to be sent.

    Attributes:
        client: Client that leaves meanwhile, if there is one.
    """

    client = None

    def write(self, event, /, **fields):
        super().write(event, **fields)
        if event.name == 'request_sent':
            time.sleep(_DEADLINE_S * 1.2)
            if self.client is not None:
                self.client.socket.close()


@pytest.mark.parametrize(
    'kind', [CallKind.idempotent, CallKind.non_idempotent, CallKind.stream]
)
def test_lost_no_response_when_a_deadline_passes_before_sending(kind):
    """A held-up process gave status 500, or closed if the client left too."""

    async def main():
        state = make_node_state(make_table(make_route('bays', kind)))
        state.log = _SlowLog()
        async with trio.open_nursery() as nursery:
            fakes = await start_upstreams(nursery, state, [[response_bytes()]])
            client = await open_client(nursery, state)
            await client.send_all(
                request_bytes('/bays/1', wait=str(_DEADLINE_S))
            )
            received = await read_until(client, b'\r\n\r\n')
            nursery.cancel_scope.cancel()
        return received, [one for fake in fakes for one in fake.requests], state

    received, arrived, state = trio.run(main)
    assert 'request_sent' in state.log.names()
    assert 'internal_fault' not in state.log.names()
    assert received.startswith(b'HTTP/1.1 50')
    assert not received.startswith(b'HTTP/1.1 500')
    assert not arrived


@pytest.mark.parametrize('kind', [CallKind.idempotent, CallKind.stream])
def test_lost_no_connection_when_its_client_leaves_at_the_deadline(kind):
    """The error passed by the handler of internal faults."""

    async def main():
        state = make_node_state(make_table(make_route('bays', kind)))
        state.log = _SlowLog()
        async with trio.open_nursery() as nursery:
            await start_upstreams(nursery, state, [[response_bytes()]])
            client = await open_client(nursery, state)
            state.log.client = client
            await client.send_all(
                request_bytes('/bays/1', wait=str(_DEADLINE_S))
            )
            await trio.sleep(_DEADLINE_S * 3)
            nursery.cancel_scope.cancel()
        return state

    state = trio.run(main)
    assert 'request_sent' in state.log.names()
    assert 'internal_fault' not in state.log.names()


@pytest.mark.parametrize('kind', [CallKind.idempotent, CallKind.stream])
def test_budget_no_retry_of_a_request_with_too_little_time_to_connect(kind):
    """Each upstream was ejected for it, and a retry charged for the next."""

    async def main():
        route = make_route('bays', kind, max_attempts=3)
        state = make_node_state(make_table(route))
        async with trio.open_nursery() as nursery:
            scripts = [[response_bytes()] for _ in range(4)]
            await start_upstreams(nursery, state, *scripts)
            client = await open_client(nursery, state)
            await client.send_all(request_bytes('/bays/1', wait='0.015'))
            received = await read_until(client, b'\r\n\r\n')
            nursery.cancel_scope.cancel()
        return state, received

    state, received = trio.run(main)
    assert received.startswith(b'HTTP/1.1 503')
    assert not state.upstream_health.ejected_until_s_by_id
    assert 'request_retried' not in state.log.names()
