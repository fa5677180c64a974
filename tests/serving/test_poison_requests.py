"""Poison requests, which crash each upstream that runs them."""

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
from tests.upstream_fakes import (
    response_bytes,
)


class _CrashingUpstream:
    """An upstream that stops listening once it reads a poison request."""

    def __init__(self):
        self.n_crashes = 0

    async def serve(self, task_status):
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self.address = listeners[0].socket.getsockname()
        scope = trio.CancelScope()
        self.scope = scope
        with scope:
            await trio.serve_listeners(
                self._serve_connection, listeners, task_status=task_status
            )

    async def _serve_connection(self, stream):
        raw = await stream.receive_some()
        if b'poison' in raw:
            self.n_crashes += 1
            self.scope.cancel()
        elif raw:
            rest = response_bytes().replace(b'{id}', b'r1')
            await stream.send_all(rest)


async def _start_crashing_upstreams(nursery, state, count):
    fakes = await start_upstreams(nursery, state, *([] for _ in range(count)))
    crashing = [_CrashingUpstream() for _ in fakes]
    for number, upstream in enumerate(crashing):
        await nursery.start(upstream.serve)
        host, port = upstream.address
        listed = state.upstream_registry.by_id[f'u{number}']
        state.upstream_registry.by_id[f'u{number}'] = type(listed)(
            listed.upstream_id,
            listed.service,
            f'{host}:{port}',
            listed.data_centre,
            listed.version,
            listed.slots,
            is_draining=False,
        )
    return crashing


def _make_state():
    route = make_route('bays', CallKind.idempotent, max_attempts=2)
    return make_node_state(make_table(route))


def test_a_poison_request_is_rejected_after_a_few_crashes():
    async def main():
        state = _make_state()
        statuses = []
        async with trio.open_nursery() as nursery:
            crashing = await _start_crashing_upstreams(nursery, state, 6)
            for number in range(4):
                client = await open_client(nursery, state)
                request = request_bytes(
                    '/bays/1', body=b'poison', id=f'p{number}'
                )
                await client.send_all(request)
                statuses.append((await read_until(client, b'\r\n\r\n'))[9:12])
            client = await open_client(nursery, state)
            await client.send_all(request_bytes('/bays/1'))
            other = await read_until(client, b'\r\n\r\n')
            nursery.cancel_scope.cancel()
        return sum(one.n_crashes for one in crashing), statuses, other, state

    n_crashes, statuses, other, state = trio.run(main)
    assert n_crashes <= 3
    assert statuses[-1] == b'502'
    assert other.startswith(b'HTTP/1.1 200')
    refused = [
        fields['code']
        for name, fields in state.log.events
        if name == 'request_refused'
    ]
    assert refused[-1] == 4005


def test_a_reset_by_a_live_upstream_is_no_crash():
    async def main():
        state = _make_state()
        async with trio.open_nursery() as nursery:
            shared = [['reset'], ['reset']]
            await start_upstreams(nursery, state, shared, shared)
            client = await open_client(nursery, state)
            await client.send_all(request_bytes('/bays/1'))
            await read_until(client, b'\r\n\r\n')
            nursery.cancel_scope.cancel()
        return state

    state = trio.run(main)
    assert not state.crash_guard.history.crashes
    causes = [
        (fields['reason'], fields['cause'])
        for name, fields in state.log.events
        if name == 'crash_not_recorded'
    ]
    assert causes == [('reset', 'takes')] * 2


def test_a_reset_is_no_crash_while_no_host_is_reachable():
    """Replays incident inc1: the VM's own link was saturated.

    No host is reachable for a while, but all upstreams are alive, so a
    broken connection is no evidence of a crash.
    """

    async def main():
        state = _make_state()
        async with trio.open_nursery() as nursery:
            scripts = [['hang', 0.3, 'reset']]
            fakes = await start_upstreams(nursery, state, scripts, scripts)
            client = await open_client(nursery, state)
            await client.send_all(request_bytes('/bays/1'))
            await trio.sleep(0.2)
            idle = next(fake for fake in fakes if not fake.requests)
            idle.stop_accepting()
            await read_until(client, b'\r\n\r\n')
            nursery.cancel_scope.cancel()
        return state

    assert not trio.run(main).crash_guard.history.crashes
