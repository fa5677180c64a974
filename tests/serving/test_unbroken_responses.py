"""Faulty responses on connections that did not break are no crashes."""

import pytest
import trio
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

_N_UPSTREAMS = 3
_N_CLIENTS = 2
_UNSIGNED = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\nid: {id}\r\n\r\nok'
_UNSTATED = response_bytes(b'full', 503)


@pytest.mark.parametrize(
    'response', [_UNSIGNED, _UNSTATED], ids=['unsigned', 'unstated']
)
def test_lost_no_request_whose_upstreams_respond_wrongly_is_a_suspect(response):
    """Two such responses at once counted as a crash of their upstream."""

    async def main():
        route = make_route('bays', CallKind.idempotent, max_attempts=2)
        state = make_node_state(make_table(route))
        async with trio.open_nursery() as nursery:
            script = [0.3, response]
            await start_upstreams(nursery, state, [script] * _N_UPSTREAMS)
            clients = [
                await open_client(nursery, state) for _ in range(_N_CLIENTS)
            ]
            for number, client in enumerate(clients):
                body = b'%d' % number
                await client.send_all(
                    request_bytes('/bays/1', id=f'r{number}', body=body)
                )
            for client in clients:
                await read_until(client, b'\r\n\r\n')
            nursery.cancel_scope.cancel()
        return state

    state = trio.run(main)
    assert not state.crash_guard.history.crashes
    assert not state.crash_guard.breaks.breaks
    assert 'crash_not_recorded' in state.log.names()
