"""Upstreams whose responses state that they are draining or at capacity."""

import re

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

_AT_CAPACITY = {'status': 503, 'signed': '', 'not_run': '1'}


def _send_in_sequence(n_calls, *scripts, pause_s=0.0, kind=CallKind.idempotent):
    """Send calls in sequence; return responses, request counts and state."""

    async def main():
        state = make_node_state(make_table(make_route('bays', kind)))
        responses = []
        async with trio.open_nursery() as nursery:
            fakes = await start_upstreams(nursery, state, *scripts)
            for _number in range(n_calls):
                client = await open_client(nursery, state)
                await client.send_all(request_bytes('/bays/1'))
                responses.append(await read_until(client, b'\r\n\r\n'))
                await trio.sleep(pause_s)
            nursery.cancel_scope.cancel()
        return responses, [len(fake.requests) for fake in fakes], state

    return trio.run(main)


def test_an_upstream_that_announces_draining_gets_no_more_requests():
    """Replays a worker that was drained before its store row said so."""
    leaving = [[response_bytes(leaving='1')], [response_bytes()]]
    responses, n_requests, state = _send_in_sequence(2, leaving)
    assert responses[0].startswith(b'HTTP/1.1 200')
    assert responses[1].startswith(b'HTTP/1.1 503')
    assert n_requests == [1]
    assert 'upstream_leaving' in state.log.names()


def test_other_upstreams_serve_the_calls_of_a_draining_one():
    responses, n_requests, _ = _send_in_sequence(
        6,
        [[response_bytes(leaving='1')]] * 6,
        [[response_bytes()] for _ in range(6)],
    )
    assert all(response.startswith(b'HTTP/1.1 200') for response in responses)
    assert n_requests[0] <= 1
    assert sum(n_requests) == 6


def test_a_rejection_may_announce_draining():
    scripts = [[response_bytes(**_AT_CAPACITY, leaving='1')]]
    _, n_requests, _ = _send_in_sequence(3, scripts)
    assert n_requests == [1]


def test_an_upstream_at_capacity_is_deferred_for_its_retry_after():
    """Replays engines at capacity, which further calls overload."""
    full = [
        [response_bytes(**_AT_CAPACITY, retry_after='0.5')] for _ in range(9)
    ]
    responses, n_requests, _ = _send_in_sequence(4, full, pause_s=0.02)
    assert n_requests == [1]
    for response in responses[1:]:
        assert response.startswith(b'HTTP/1.1 503')
        retry_after_s = float(re.search(rb'retry-after: ([\d.]+)', response)[1])
        assert 0.3 <= retry_after_s <= 0.7


def test_an_upstream_gets_calls_again_after_its_deferral():
    scripts = [
        [response_bytes(**_AT_CAPACITY, retry_after='0.2')],
        [response_bytes()],
    ]
    responses, n_requests, _ = _send_in_sequence(2, scripts, pause_s=0.3)
    assert responses[1].startswith(b'HTTP/1.1 200')
    assert n_requests == [2]


def test_a_503_without_a_not_run_statement_is_not_forwarded():
    """The booking may have been executed; a 503 would state that it was not."""
    scripts = [[response_bytes(b'busy', status=503)]]
    responses, n_requests, _ = _send_in_sequence(
        1, scripts, kind=CallKind.non_idempotent
    )
    assert responses[0].startswith(b'HTTP/1.1 502')
    assert b'signed' not in responses[0]
    assert n_requests == [1]
