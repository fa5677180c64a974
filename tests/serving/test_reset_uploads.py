"""An answer of an upstream that resets the connection during an upload.

Guards against the incident MIXED of issue 59: the part of an answer without a
length that had arrived was passed on as complete. The kernel reports a reset
once; where a write got that report, the next read saw a plain end.
"""

import pytest
import trio
from turmericcrank_core.routing import CallKind
from turmericcrank_node.platform_port import StoreUnavailable
from turmericcrank_node.store_connection import StoreConnection, call_store

from tests.mixed_answers import (
    EVENT_STREAM,
    UPLOAD,
    WAYS,
    answer_bytes,
    call_upstream,
)
from tests.upstream_fakes import (
    END_CHUNK,
    FakeUpstream,
    SendAndReset,
    event_chunk,
    response_bytes,
    stream_head,
)

_N_REQUESTS = 8
# Longer than any request here takes; the end of a test cuts it short.
_OPEN_S = 30.0
_EVENT = b'id: 1\ndata: x\n\n'
_PART = b'p' * 64


def _upload(way, answer, **fields):
    """Return the responses to uploads that an upstream answers and resets."""
    return call_upstream(
        way,
        [[SendAndReset(answer)]] * _N_REQUESTS,
        body=UPLOAD,
        reads_bodies=False,
        **fields,
    )


@pytest.mark.parametrize('kind', [CallKind.non_idempotent, CallKind.idempotent])
@pytest.mark.parametrize('way', WAYS)
def test_mixed_no_part_of_an_answer_that_is_reset_during_an_upload(way, kind):
    responses = _upload(way, answer_bytes(_PART), kind=kind, max_attempts=1)
    statuses = {response[9:12] for response in responses}
    assert statuses == {b'502'}


@pytest.mark.parametrize('way', WAYS)
def test_mixed_no_end_of_a_stream_that_is_reset_during_an_upload(way):
    answer = answer_bytes(_EVENT, EVENT_STREAM)
    responses = _upload(way, answer, kind=CallKind.stream)
    # An event may have been passed on before the reset.
    assert {response[9:12] for response in responses} <= {b'200', b'502'}
    assert not any(response.endswith(END_CHUNK) for response in responses)


def test_mixed_no_part_of_an_answer_of_the_store():
    script = [SendAndReset(answer_bytes(_PART))]

    async def main():
        store = FakeUpstream([script], reads_bodies=False)
        async with trio.open_nursery() as nursery:
            await nursery.start(store.serve)
            outcome = await call_store(
                StoreConnection(store.address),
                'POST',
                '/-/rows-tx',
                UPLOAD * 4,
            )
            nursery.cancel_scope.cancel()
        return outcome

    assert trio.run(main) == StoreUnavailable('reset')


@pytest.mark.parametrize(
    'answer',
    [
        response_bytes(b'whole'),
        answer_bytes(b'5\r\nwhole\r\n0\r\n\r\n', b'Transfer-Encoding: chunked'),
    ],
)
@pytest.mark.parametrize('way', WAYS)
def test_mixed_an_early_answer_that_is_whole_passes_despite_a_reset(
    way, answer
):
    responses = _upload(way, answer)
    assert {response[9:12] for response in responses} == {b'200'}
    assert all(b'whole' in response for response in responses)


@pytest.mark.parametrize('way', WAYS)
def test_mixed_an_early_stream_that_is_whole_passes_despite_a_reset(way):
    answer = stream_head() + event_chunk(1) + END_CHUNK
    responses = _upload(way, answer, kind=CallKind.stream)
    assert all(response.endswith(END_CHUNK) for response in responses)


@pytest.mark.parametrize('way', WAYS)
def test_mixed_an_early_answer_without_a_length_that_ends_in_order_passes(way):
    script = [answer_bytes(b'whole'), 'end', _OPEN_S]
    responses = call_upstream(way, [script] * _N_REQUESTS, body=UPLOAD)
    assert {response[9:12] for response in responses} == {b'200'}
    assert all(response.endswith(b'whole') for response in responses)


@pytest.mark.parametrize('way', WAYS)
def test_mixed_an_early_stream_without_a_length_that_ends_in_order_passes(way):
    script = [answer_bytes(_EVENT, EVENT_STREAM), 'end', _OPEN_S]
    responses = call_upstream(
        way, [script] * _N_REQUESTS, kind=CallKind.stream, body=UPLOAD
    )
    assert all(response.endswith(END_CHUNK) for response in responses)
