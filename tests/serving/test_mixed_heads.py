"""Answers of upstreams in trouble whose head is not HTTP.

Guards against the incident MIXED of issue 59: on other systems such an answer
reached the client, or its head gave the body another end.
"""

import pytest
from turmericcrank_core.routing import CallKind

from tests.mixed_answers import (
    EVENT_STREAM,
    WAYS,
    answer_bytes,
    call_upstream,
)

KINDS = (CallKind.non_idempotent, CallKind.stream)
_LENGTH = b'Content-Length: 15'
_EVENT = b'id: 1\ndata: x\n\n'


def _call(way, kind, answers):
    """Return the statuses that clients get for answers of an upstream."""
    responses = call_upstream(way, [[one] for one in answers], kind=kind)
    return [response[9:12] for response in responses]


def _answer(*lines, status=b'200'):
    return answer_bytes(_EVENT, EVENT_STREAM, _LENGTH, *lines, status=status)


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('way', WAYS)
def test_mixed_no_answer_whose_status_is_not_in_http(way, kind):
    answers = [_answer(status=status) for status in (b'600', b'999')]
    assert _call(way, kind, answers) == [b'502'] * len(answers)


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('way', WAYS)
def test_mixed_an_answer_with_any_status_of_http_passes(way, kind):
    statuses = [b'200', b'299', b'404', b'599']
    answers = [_answer(status=status) for status in statuses]
    assert _call(way, kind, answers) == statuses
