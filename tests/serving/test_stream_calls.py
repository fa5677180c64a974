"""Streams: only complete events, in order, and no unnoticed truncation."""

import re
from dataclasses import replace

import pytest
import trio

from tests.router_builders import make_route, make_table
from tests.router_fakes import (
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

_MODELS = ('small', 'large')


def _send_request(*scripts, until=b'0\r\n\r\n', **fields):
    async def main():
        state = make_node_state(make_table(make_route(**fields)))
        async with trio.open_nursery() as nursery:
            fakes = await start_upstreams(nursery, state, *scripts, slots=64)
            client = await open_client(nursery, state)
            await client.send_all(request_bytes())
            received = await read_until(client, until, 9)
            nursery.cancel_scope.cancel()
        requests = [one for fake in fakes for one in fake.requests]
        return received, requests, state

    return trio.run(main)


def _complete_stream(*numbers, **headers):
    chunks = b''.join(event_chunk(number) for number in numbers)
    return [stream_head(**headers) + chunks + END_CHUNK]


def test_all_events_of_a_stream_are_forwarded():
    received, _, _ = _send_request([_complete_stream(1, 2, 3)])
    assert received.count(b'data:') == 3
    assert received.endswith(b'0\r\n\r\n')


def test_each_event_is_forwarded_as_soon_as_it_is_complete():
    script = [stream_head(), event_chunk(1), 3.0, event_chunk(2), END_CHUNK]
    received, _, _ = _send_request([script], until=b'id: 1')
    assert b'id: 1' in received
    assert b'id: 2' not in received


def test_a_broken_stream_is_resumed_after_its_last_complete_event():
    half = event_chunk(3)[:-9]
    broken = [stream_head(), event_chunk(1), event_chunk(2) + half, 'reset']
    rest = _complete_stream(3, 4)
    shared = [broken, rest]
    received, requests, _ = _send_request(shared, shared)
    assert sorted(request['last'] for request in requests) == ['', '2']
    ids = re.findall(rb'^id: \d$', received, re.MULTILINE)
    assert ids == [b'id: 1', b'id: 2', b'id: 3', b'id: 4']
    assert received.endswith(b'0\r\n\r\n')


def test_a_broken_stream_that_is_not_resumable_stays_truncated():
    broken = [stream_head(), event_chunk(1), 'reset']
    shared = [broken, _complete_stream(2)]
    received, requests, _ = _send_request(shared, shared, is_resumable=False)
    assert len(requests) == 1
    assert b'id: 1' in received
    assert not received.endswith(b'0\r\n\r\n')


def test_a_gap_does_not_end_a_stream_without_attempts_left():
    """Replays hunt seed 391920685526.

    An engine paused during the last attempt that the route allows.
    """
    script = [stream_head(), event_chunk(1), 1.9, event_chunk(2), END_CHUNK]
    received, requests, _ = _send_request([script], max_attempts=1)
    assert len(requests) == 1
    assert received.endswith(b'0\r\n\r\n')


def _failure_reasons(state):
    return [
        fields['reason']
        for name, fields in state.log.events
        if name == 'attempt_failed'
    ]


def test_the_log_distinguishes_unresponsive_hosts_from_event_timeouts():
    hanging = [stream_head(), event_chunk(1), 'hang', 6.0]
    pausing = [stream_head(), event_chunk(1), 6.0]
    for script, reason in (
        (hanging, 'host silent'),
        (pausing, 'timed out waiting for an event'),
    ):
        shared = [script, _complete_stream(2)]
        received, _, state = _send_request(shared, shared, timeout_s=9.0)
        assert _failure_reasons(state) == [reason]
        assert received.endswith(b'0\r\n\r\n')


def test_a_saturated_own_link_does_not_make_a_host_unresponsive():
    """Replays incident inc1: no host was reachable for a while."""

    async def main():
        state = make_node_state(make_table(make_route()))
        head = stream_head()
        script = [head, event_chunk(1), 'hang', 2.6, event_chunk(2), END_CHUNK]
        shared = [script]
        async with trio.open_nursery() as nursery:
            fakes = await start_upstreams(
                nursery, state, shared, shared, slots=64
            )
            client = await open_client(nursery, state)
            await client.send_all(request_bytes())
            await read_until(client, b'id: 1')
            idle = next(fake for fake in fakes if not fake.requests)
            idle.stop_accepting()
            received = await read_until(client, END_CHUNK)
            nursery.cancel_scope.cancel()
        return received, [one for fake in fakes for one in fake.requests]

    received, requests = trio.run(main)
    assert len(requests) == 1
    assert received.endswith(b'0\r\n\r\n')


@pytest.mark.parametrize(
    'script',
    [
        [event_chunk(1), 3.6, event_chunk(2), END_CHUNK],
        [event_chunk(1), 'hang', 3.0, event_chunk(2), END_CHUNK],
    ],
)
def test_a_gap_does_not_end_a_stream_without_retry_budget(script):
    """Replays incident inc1: the retry budget of the site was exhausted."""

    async def main():
        state = make_node_state(make_table(make_route(timeout_s=9.0)))
        bounds = replace(state.settings.bounds, retry_slack=1, retry_ratio=0)
        state.settings = replace(state.settings, bounds=bounds)
        reset = [stream_head(), event_chunk(1), 'reset']
        scripts = [reset, _complete_stream(2), [stream_head(), *script]]
        async with trio.open_nursery() as nursery:
            await start_upstreams(nursery, state, scripts, scripts, slots=64)
            responses = []
            for _ in range(2):
                client = await open_client(nursery, state)
                await client.send_all(request_bytes())
                responses.append(await read_until(client, END_CHUNK))
            nursery.cancel_scope.cancel()
        return responses

    for response in trio.run(main):
        assert response.endswith(END_CHUNK)


def test_a_gap_does_not_end_a_stream_without_another_upstream():
    script = [stream_head(), event_chunk(1), 3.8, event_chunk(2), END_CHUNK]
    received, _, _ = _send_request([script], timeout_s=9.0)
    assert received.endswith(END_CHUNK)


def test_an_engine_that_refuses_connections_may_finish_its_streams():
    """Replays the end of a rollout: old engines drain with long gaps."""
    head = stream_head()
    script = [head, event_chunk(1), 'refuse', 1.9, event_chunk(2), END_CHUNK]
    received, requests, _ = _send_request([script])
    assert len(requests) == 1
    assert received.endswith(b'0\r\n\r\n')


def test_an_engine_that_refuses_connections_may_keep_a_queued_request():
    script = ['refuse', 1.9, *_complete_stream(1)]
    received, requests, _ = _send_request([script], objective_s=1.0)
    assert len(requests) == 1
    assert received.endswith(b'0\r\n\r\n')


def test_a_live_engine_may_keep_a_queued_request():
    received, requests, _ = _send_request(
        [[1.9, *_complete_stream(1)]], objective_s=1.0
    )
    assert len(requests) == 1
    assert received.endswith(b'0\r\n\r\n')


def test_a_low_confidence_answer_is_replaced_by_the_large_model():
    doubted = [stream_head(confidence=5), event_chunk(1, 'poor'), 2.0]
    shared = [doubted, _complete_stream(1, 2, confidence=90)]
    received, requests, _ = _send_request(shared, shared, models=_MODELS)
    models = {request['model'] for request in requests}
    assert models == {'small', 'large'}
    assert b'poor' not in received
    assert received.endswith(b'0\r\n\r\n')


def test_a_low_confidence_answer_is_kept_without_retry_budget():
    """Replays grown and large sites, where such a request got a 502.

    Its answer was discarded although the retry budget allowed no escalation.
    """

    async def main():
        state = make_node_state(make_table(make_route(models=_MODELS)))
        bounds = replace(state.settings.bounds, retry_slack=1, retry_ratio=0)
        state.settings = replace(state.settings, bounds=bounds)
        async with trio.open_nursery() as nursery:
            scripts = [_complete_stream(1, confidence=5) for _ in range(4)]
            await start_upstreams(nursery, state, scripts)
            responses = []
            for _ in range(2):
                client = await open_client(nursery, state)
                await client.send_all(request_bytes())
                responses.append(await read_until(client, END_CHUNK))
            nursery.cancel_scope.cancel()
        return responses

    for response in trio.run(main):
        assert response.startswith(b'HTTP/1.1 200')
        assert response.endswith(END_CHUNK)


def test_a_high_confidence_answer_is_kept():
    _, requests, _ = _send_request(
        [_complete_stream(1, confidence=90)], models=_MODELS
    )
    assert [request['model'] for request in requests] == ['small']


def test_an_error_response_of_an_upstream_is_forwarded_unchanged():
    """Replays an incident: an error of a bad version made the router fail."""
    failure = [response_bytes(b'no model', status=500, signed='abc')]
    received, requests, state = _send_request(
        [failure], until=b'model', max_attempts=1
    )
    assert received.startswith(b'HTTP/1.1 500')
    assert b'signed: abc' in received
    assert received.endswith(b'no model')
    assert len(requests) == 1
    assert 'internal_fault' not in state.log.names()


def test_a_client_disconnect_cancels_the_request_at_once():
    async def main():
        state = make_node_state(make_table(make_route()))
        script = [stream_head(), event_chunk(1), 5.0]
        async with trio.open_nursery() as nursery:
            fakes = await start_upstreams(nursery, state, [script])
            client = await open_client(nursery, state)
            await client.send_all(request_bytes())
            await read_until(client, b'id: 1')
            await client.aclose()
            left_s = trio.current_time()
            await trio.sleep(0.6)
            nursery.cancel_scope.cancel()
        assert not state.running_by_id
        ends = [
            fields['departure']
            for name, fields in state.log.events
            if name == 'request_cancelled'
        ]
        assert ends == ['closed']
        return fakes[0].closed_s[0] - left_s

    assert trio.run(main) < 0.5
