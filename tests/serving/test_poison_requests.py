"""Poison requests, which crash each upstream that runs them."""

import functools
from dataclasses import replace

import trio
from turmericcrank_core.connection_breaks import record_answered_keys
from turmericcrank_core.crash_block import CrashBlock, is_active
from turmericcrank_core.routing import CallKind
from turmericcrank_core.upstream_registry import record_listed
from turmericcrank_node.membership.crash_fields import make_crash_fields
from turmericcrank_node.state.crash_reports import Audience
from turmericcrank_node.state.node_state import read_cluster_time_s
from turmericcrank_node.upstreams.crash_detection import judge_crashes
from turmericcrank_node.upstreams.poison_detection import (
    make_suspect,
    merge_reported_block,
)

from tests.router_builders import make_route, make_table, make_upstream
from tests.router_fakes import (
    list_upstreams,
    make_node_state,
    open_client,
    read_until,
    request_bytes,
    start_upstreams,
)
from tests.upstream_fakes import (
    response_bytes,
)

_PART = 'crashing'


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


class _HeldUpstream:
    """An upstream whose socket stays open while it crashes.

    It breaks all its connections and starts again with a later start time.
    """

    def __init__(self):
        self.crashes_s = []
        self.streams = set()

    async def serve(self, task_status):
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self.address = '{}:{}'.format(*listeners[0].socket.getsockname())
        await trio.serve_listeners(
            self._serve_connection, listeners, task_status=task_status
        )

    async def _serve_connection(self, stream):
        self.streams.add(stream)
        try:
            await self._answer(stream, await stream.receive_some())
        except (trio.ClosedResourceError, trio.BrokenResourceError):
            return
        finally:
            self.streams.discard(stream)

    async def _answer(self, stream, raw):
        if b'poison' in raw:
            self.crashes_s.append(trio.current_time())
            for open_stream in list(self.streams):
                await open_stream.aclose()
        elif b'long' in raw:
            await trio.sleep(5)
        elif raw:
            await stream.send_all(response_bytes().replace(b'{id}', b'r1'))


async def _send(nursery, state, **fields):
    return (await _request_head(nursery, state, **fields))[9:12]


async def _request_head(nursery, state, **fields):
    client = await open_client(nursery, state)
    await client.send_all(request_bytes('/bays/1', **fields))
    return await read_until(client, b'\r\n\r\n')


async def _start_held_upstreams(nursery, state, count):
    held = [_HeldUpstream() for _ in range(count)]
    for upstream in held:
        await nursery.start(upstream.serve)
    list_upstreams(
        state,
        *(
            make_upstream(f'u{number}', address=one.address, born_ms=1)
            for number, one in enumerate(held)
        ),
    )
    return held


def _list_again(state, held):
    """List the crashed upstreams with the start time of their new process."""
    for number, upstream in enumerate(held):
        if upstream.crashes_s:
            born_ms = 1 + len(upstream.crashes_s)
            row = make_upstream(
                f'u{number}', address=upstream.address, born_ms=born_ms
            )
            record_listed(state.upstream_registry, row)
    judge_crashes(state)


def test_budget_a_poison_request_is_rejected_though_its_upstreams_accept():
    # The probe reached a socket that outlived the process.
    async def main():
        state = _make_state()
        async with trio.open_nursery() as nursery:
            held = await _start_held_upstreams(nursery, state, 4)
            for number in range(6):
                await _send(nursery, state, body=b'poison', id=f'p{number}')
                await trio.sleep(0.35)
                _list_again(state, held)
            other = await _send(nursery, state)
            nursery.cancel_scope.cancel()
        return sum(len(one.crashes_s) for one in held), other

    n_crashes, other = trio.run(main)
    assert n_crashes <= 4
    assert other == b'200'


def test_budget_connections_that_all_break_at_once_are_a_crash():
    async def main():
        state = _make_state()
        async with trio.open_nursery() as nursery:
            await _start_held_upstreams(nursery, state, 1)
            nursery.start_soon(
                functools.partial(
                    _send, nursery, state, body=b'long', id='long'
                )
            )
            await trio.sleep(0.2)
            await _send(nursery, state, body=b'poison', id='p')
            nursery.cancel_scope.cancel()
        return state.crash_guard.history.crashes

    crashes = trio.run(main)
    assert [len(crash.suspects) for crash in crashes] == [2]


def test_lost_no_connection_that_goes_on_beside_one_that_breaks():
    async def main():
        state = _make_state()
        async with trio.open_nursery() as nursery:
            scripts = [[0.6, response_bytes()], ['reset']]
            await start_upstreams(nursery, state, scripts)
            nursery.start_soon(
                functools.partial(_send, nursery, state, id='long')
            )
            await trio.sleep(0.2)
            await _send(nursery, state, body=b'other', id='p')
            nursery.cancel_scope.cancel()
        return state.crash_guard.history.crashes

    assert not trio.run(main)


def _block_part(state, service):
    """Block a part at a service; return its crash time, in seconds."""
    crash_s = read_cluster_time_s(state) - 1
    keys = make_suspect(service, '', [_PART]).parts
    block = CrashBlock(keys, since_s=crash_s, crash_s=crash_s)
    merge_reported_block(state, block, 'n2', None)
    return crash_s


def _send_blocked_part(service, *, is_answered_before=False, age_s=0):
    """Send a part to one service that is blocked there or at another one.

    Args:
        service: Service at which it is blocked; it is sent to ``engine``.
        is_answered_before: Whether that has answered it.
        age_s: Age of the blocks when it is sent again, in seconds; 0 for not.

    Returns:
        The heads of the responses, the requests that arrived, and the node.
    """

    async def main():
        state = _make_state()
        async with trio.open_nursery() as nursery:
            fakes = await start_upstreams(
                nursery, state, [[response_bytes()] for _ in range(9)]
            )
            list_upstreams(state, make_upstream('o1', 'other'))
            answers = []
            if is_answered_before:
                await _send(nursery, state, id='r1', parts=_PART)
            _block_part(state, service)
            answer = await _request_head(nursery, state, id='r2', parts=_PART)
            answers.append(answer)
            if age_s:
                for keys, block in state.crash_guard.blocks_by_keys.items():
                    aged = replace(block, since_s=block.since_s - age_s)
                    state.crash_guard.blocks_by_keys[keys] = aged
                for name in ('r3', 'r4'):
                    answer = await _request_head(
                        nursery, state, id=name, parts=_PART
                    )
                    answers.append(answer)
            nursery.cancel_scope.cancel()
        return answers, len(fakes[0].requests), state

    return trio.run(main)


def test_budget_a_blocked_part_stays_blocked_when_its_route_moves():
    """A route moved to another service, whose upstreams it crashed again."""
    answers, n_arrived, _ = _send_blocked_part('other')
    assert answers[0].startswith(b'HTTP/1.1 503')
    assert b'retry-after' in answers[0].lower()
    assert n_arrived == 0


def test_a_part_that_a_service_has_answered_is_not_blocked_there():
    answers, _, _ = _send_blocked_part('other', is_answered_before=True)
    assert answers[0].startswith(b'HTTP/1.1 200')


def test_a_block_that_a_node_only_heard_of_ends_by_its_test():
    """A node that knew no crash recorded no output, so its test was in vain."""
    answers, n_arrived, state = _send_blocked_part('engine', age_s=21)
    assert [answer[9:12] for answer in answers] == [b'503', b'200', b'200']
    assert n_arrived == 2
    own = make_suspect('engine', '', [_PART]).parts
    assert not is_active(state.crash_guard.blocks_by_keys[own])


def test_a_reported_block_ends_where_its_part_was_answered_since():
    """Another node blocked it again, as it had not seen the answers."""
    state = _make_state()
    keys = make_suspect('engine', '', [_PART]).parts
    crash_s = _block_part(state, 'engine')
    record_answered_keys(state.crash_guard.breaks, keys, crash_s + 0.5)
    assert is_active(state.crash_guard.blocks_by_keys[keys])
    _block_part(state, 'engine')
    assert not is_active(state.crash_guard.blocks_by_keys[keys])
    rows = make_crash_fields(state, Audience.everyone)['blocks']
    assert [row[0] for row in rows] == [sorted(keys)]
