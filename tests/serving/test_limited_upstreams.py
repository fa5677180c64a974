"""Upstreams whose responses name a limit of requests, over real sockets."""

import time

import trio
from turmericcrank_core.routing import CallKind

from tests.router_builders import make_route, make_table
from tests.router_fakes import (
    keep_tables_current,
    make_node_state,
    open_client,
    read_until,
    request_bytes,
    start_upstreams,
)
from tests.upstream_fakes import (
    END_CHUNK,
    event_chunk,
    response_bytes,
    stream_head,
)

_LIMITED = [response_bytes(limit='2')]
_FREE = [response_bytes()]


def _call_repeatedly(n_calls, pause_s, *scripts, kind=CallKind.idempotent):
    """Send calls in sequence; return responses, times and request counts."""

    async def main():
        state = make_node_state(make_table(make_route('bays', kind)))
        responses, times_s = [], []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(keep_tables_current, state)
            fakes = await start_upstreams(nursery, state, *scripts)
            for number in range(n_calls):
                began_s = time.perf_counter()
                client = await open_client(nursery, state)
                await client.send_all(request_bytes('/bays/1', id=f'r{number}'))
                responses.append(await read_until(client, b'\r\n\r\n'))
                times_s.append(time.perf_counter() - began_s)
                await trio.sleep(pause_s)
            nursery.cancel_scope.cancel()
        return responses, times_s, [len(fake.requests) for fake in fakes]

    return trio.run(main)


def test_calls_beyond_the_limit_of_the_only_upstream_are_rejected_at_once():
    responses, times_s, (n_requests,) = _call_repeatedly(
        60, 0.05, [_LIMITED] * 60
    )
    assert 3 <= n_requests <= 14
    rejected = [
        (response, duration_s)
        for response, duration_s in zip(responses, times_s, strict=True)
        if not response.startswith(b'HTTP/1.1 200')
    ]
    assert len(rejected) == 60 - n_requests
    for response, duration_s in rejected:
        assert response.startswith(b'HTTP/1.1 503')
        assert b'retry-after: ' in response
        assert duration_s < 0.3


def test_other_upstreams_take_the_calls_beyond_a_limit():
    responses, _, n_requests = _call_repeatedly(
        60, 0.03, [_LIMITED] * 60, [_FREE] * 60
    )
    assert [
        one for one in responses if not one.startswith(b'HTTP/1.1 200')
    ] == []
    assert n_requests[0] <= 12
    assert sum(n_requests) == 60


def test_a_booking_is_not_sent_beyond_a_limit():
    responses, _, (n_requests,) = _call_repeatedly(
        20, 0.02, [_LIMITED] * 20, kind=CallKind.non_idempotent
    )
    n_booked = sum(
        response.startswith(b'HTTP/1.1 200') for response in responses
    )
    assert n_booked == n_requests
    assert n_requests <= 5


def test_retries_count_towards_the_limit():
    """Both upstreams fail every call; a retry may not go beyond a limit."""
    failed = [response_bytes(status=500, limit='2')]
    _, _, n_requests = _call_repeatedly(40, 0.05, [failed] * 60, [failed] * 60)
    assert max(n_requests) <= 12


def test_an_unsure_answer_is_kept_when_no_upstream_takes_another_request():
    """Its larger model would have to run beyond the limit of the upstream."""
    unsure = stream_head(confidence='3', limit='0')
    script = [unsure, event_chunk(1), END_CHUNK]

    async def main():
        state = make_node_state(
            make_table(make_route(models=('small', 'large')))
        )
        async with trio.open_nursery() as nursery:
            fakes = await start_upstreams(nursery, state, [script] * 4)
            client = await open_client(nursery, state)
            await client.send_all(request_bytes())
            response = await read_until(client, END_CHUNK)
            nursery.cancel_scope.cancel()
        return response, len(fakes[0].requests)

    response, n_requests = trio.run(main)
    assert response.startswith(b'HTTP/1.1 200')
    assert response.endswith(END_CHUNK)
    assert n_requests == 1
