"""Non-streaming calls: at most one execution, or a retry elsewhere."""

import trio
from turmericcrank_core.routing import CallKind, ServiceShare

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

_NOT_RUN = response_bytes(b'', status=503, signed='', not_run='1')


def _make_state(kind, **fields):
    route = make_route('bays', kind, **{'max_attempts': 2, **fields})
    return make_node_state(make_table(route))


def _send_request(kind, *scripts, request=None, **fields):
    """Send one request; return the response, request count and state."""

    async def main():
        state = _make_state(kind, **fields)
        async with trio.open_nursery() as nursery:
            fakes = await start_upstreams(nursery, state, *scripts)
            client = await open_client(nursery, state)
            await client.send_all(request or request_bytes('/bays/1'))
            received = await read_until(client, b'\r\n\r\n')
            nursery.cancel_scope.cancel()
        return received, sum(len(fake.requests) for fake in fakes), state

    return trio.run(main)


def test_a_response_is_forwarded_with_its_status_headers_and_body():
    good = response_bytes(b'bay 4', status=201, signed='abc')
    received, n_requests, _ = _send_request(CallKind.non_idempotent, [[good]])
    assert received.startswith(b'HTTP/1.1 201')
    assert b'signed: abc' in received
    assert received.endswith(b'bay 4')
    assert n_requests == 1


def test_a_non_idempotent_call_with_a_lost_response_is_not_retried():
    scripts = [['reset']], [['reset']]
    received, n_requests, _ = _send_request(CallKind.non_idempotent, *scripts)
    assert received.startswith(b'HTTP/1.1 502')
    assert n_requests == 1


def test_a_non_idempotent_call_that_was_not_run_is_retried_elsewhere():
    shared = [[_NOT_RUN], [response_bytes()]]
    received, n_requests, _ = _send_request(
        CallKind.non_idempotent, shared, shared, max_attempts=1
    )
    assert received.startswith(b'HTTP/1.1 200')
    assert n_requests == 2


def test_a_rejection_without_execution_has_a_retry_after_header():
    received, _, _ = _send_request(CallKind.non_idempotent, [[_NOT_RUN]])
    assert b'retry-after: 0.' in received


def test_an_idempotent_call_with_a_lost_response_is_retried():
    shared = [['reset'], [response_bytes()]]
    received, n_requests, _ = _send_request(CallKind.idempotent, shared, shared)
    assert n_requests == 2
    assert received.startswith(b'HTTP/1.1 200')


def test_the_route_limits_the_attempts_of_an_idempotent_call():
    shared = [['reset'], ['reset'], [response_bytes()]]
    received, n_requests, _ = _send_request(
        CallKind.idempotent, shared, shared, shared, max_attempts=2
    )
    assert n_requests == 2
    assert received.startswith(b'HTTP/1.1 502')


def test_a_response_to_another_request_is_not_forwarded():
    stray = response_bytes(b'not yours', id='r9')
    received, _, _ = _send_request(CallKind.non_idempotent, [[stray]])
    assert received.startswith(b'HTTP/1.1 502')
    assert b'not yours' not in received


def test_a_success_without_a_signature_is_not_forwarded():
    received, _, _ = _send_request(
        CallKind.non_idempotent, [[response_bytes(b'bad', signed='')]]
    )
    assert received.startswith(b'HTTP/1.1 502')


def test_a_truncated_response_is_not_forwarded():
    half = response_bytes(b'bay 4')[:-2]
    received, _, _ = _send_request(CallKind.non_idempotent, [[half]])
    assert received.startswith(b'HTTP/1.1 502')


def test_an_upstream_may_respond_before_it_has_read_the_body():
    early = response_bytes(b'too long', status=400)
    big = request_bytes('/bays/1', body=b'x' * 3_000_000)
    received, _, _ = _send_request(
        CallKind.non_idempotent, [[early, 1.0]], request=big
    )
    assert received.startswith(b'HTTP/1.1 400')


def test_a_call_with_one_attempt_may_use_its_complete_timeout():
    """Replays calls that got 502 after 0.45 of their route's timeout.

    The soft timeout of an attempt must not apply if no retry can follow.
    """
    slow = [0.4, response_bytes()]
    received, _, _ = _send_request(
        CallKind.idempotent, [slow], max_attempts=1, timeout_s=0.6
    )
    assert received.startswith(b'HTTP/1.1 200')


def test_the_timeout_of_the_route_ends_the_wait():
    async def main():
        state = _make_state(CallKind.non_idempotent, timeout_s=0.4)
        async with trio.open_nursery() as nursery:
            await start_upstreams(nursery, state, [[9.0]])
            client = await open_client(nursery, state)
            began_s = trio.current_time()
            await client.send_all(request_bytes('/bays/1'))
            received = await read_until(client, b'\r\n\r\n')
            nursery.cancel_scope.cancel()
            return received, trio.current_time() - began_s

    received, elapsed_s = trio.run(main)
    assert received.startswith(b'HTTP/1.1 504')
    assert elapsed_s < 0.9


def test_the_time_left_sent_to_an_upstream_respects_the_client_timeout():
    async def main():
        state = _make_state(CallKind.non_idempotent, timeout_s=3)
        async with trio.open_nursery() as nursery:
            fakes = await start_upstreams(nursery, state, [[response_bytes()]])
            client = await open_client(nursery, state)
            await client.send_all(request_bytes('/bays/1', wait='1.5'))
            await read_until(client, b'\r\n\r\n')
            nursery.cancel_scope.cancel()
        return float(fakes[0].requests[0]['left'])

    assert 1 < trio.run(main) <= 1.5


def test_only_idempotent_calls_are_cancelled_when_the_client_disconnects():
    async def main(kind):
        state = _make_state(kind)
        async with trio.open_nursery() as nursery:
            fakes = await start_upstreams(
                nursery, state, [[0.8, response_bytes()]]
            )
            client = await open_client(nursery, state)
            await client.send_all(request_bytes('/bays/1'))
            await trio.sleep(0.2)
            await client.aclose()
            left_s = trio.current_time()
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        return [closed_s - left_s for closed_s in fakes[0].closed_s]

    assert trio.run(main, CallKind.non_idempotent) == []
    assert trio.run(main, CallKind.idempotent)[0] < 0.5


def test_a_call_reaches_no_upstream_of_another_service():
    received, n_requests, _ = _send_request(
        CallKind.idempotent,
        [[response_bytes()]],
        shares=(ServiceShare('booking', 1),),
    )
    assert received.startswith(b'HTTP/1.1 503')
    assert n_requests == 0


def test_a_client_that_pauses_reading_gets_the_complete_response():
    """Replays incident inc1: a saturated link delayed responses for seconds."""
    body = bytes(8_000_000)

    async def main():
        state = _make_state(CallKind.idempotent, timeout_s=9.0)
        async with trio.open_nursery() as nursery:
            await start_upstreams(nursery, state, [[response_bytes(body)]])
            client = await open_client(nursery, state)
            await client.send_all(request_bytes('/bays/1'))
            await trio.sleep(4.5)
            received = await read_until(client, b'never', 3)
            nursery.cancel_scope.cancel()
        return received

    assert len(trio.run(main)) > len(body)


def test_a_non_idempotent_call_waits_for_an_unresponsive_host():
    shared = [['hang', 2.6, response_bytes(b'bay 4')]]
    received, n_requests, _ = _send_request(
        CallKind.non_idempotent, shared, shared, timeout_s=9.0
    )
    assert n_requests == 1
    assert received.startswith(b'HTTP/1.1 200')


def test_a_call_that_could_not_be_sent_in_time_gets_503():
    async def main():
        state = _make_state(CallKind.non_idempotent, timeout_s=0.3)
        async with trio.open_nursery() as nursery:
            fakes = await start_upstreams(nursery, state, [])
            await trio.sleep(0)
            fakes[0].stop_accepting()
            client = await open_client(nursery, state)
            await client.send_all(request_bytes('/bays/1'))
            received = await read_until(client, b'\r\n\r\n')
            nursery.cancel_scope.cancel()
        return received

    assert trio.run(main).startswith(b'HTTP/1.1 503')


def test_lost_responses_to_two_requests_with_one_id_at_one_upstream():
    # The second client got status 500, after its request had been executed.
    async def main():
        state = make_node_state(
            make_table(make_route('bays', CallKind.idempotent))
        )
        script = [[0.2, response_bytes()] for _ in range(2)]
        async with trio.open_nursery() as nursery:
            await start_upstreams(nursery, state, script)
            clients = [await open_client(nursery, state) for _ in range(2)]
            for client in clients:
                await client.send_all(request_bytes('/bays/1'))
            heads = [await read_until(one, b'\r\n') for one in clients]
            nursery.cancel_scope.cancel()
        return state, [head[9:12] for head in heads]

    state, statuses = trio.run(main)
    assert statuses == [b'200', b'200']
    assert not state.attempts_by_upstream
