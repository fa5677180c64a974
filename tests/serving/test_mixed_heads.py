"""Answers of upstreams in trouble whose head is not HTTP.

Guards against the incident MIXED of issue 59: on other systems such an answer
reached the client, or its head gave the body another end.
"""

import pytest
from turmericcrank_core.routing import CallKind

from tests.mixed_answers import (
    BAD_LINES,
    BAD_STATUSES,
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
    return answer_bytes(_EVENT, _LENGTH, EVENT_STREAM, *lines, status=status)


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('way', WAYS)
def test_mixed_no_answer_with_a_malformed_status_such_as_000(way, kind):
    answers = [_answer(status=status) for status in BAD_STATUSES]
    assert _call(way, kind, answers) == [b'502'] * len(answers)


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('way', WAYS)
def test_mixed_no_answer_with_a_blank_or_control_byte_in_a_name(way, kind):
    answers = [_answer(line) for line in BAD_LINES]
    answers += [answer_bytes(_EVENT, EVENT_STREAM, line) for line in BAD_LINES]
    assert _call(way, kind, answers) == [b'502'] * len(answers)


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


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('way', WAYS)
def test_mixed_no_answer_with_a_line_that_begins_with_a_blank(way, kind):
    """Such a line used to be joined to the value of the field before it."""
    folded = [b' X-Foo: 1', b'\tContent-Length: 4', b' : 1', b' ', b'\t']
    answers = [_answer(line, b'X-Bar: 1') for line in folded]
    # The last line of a head.
    answers.append(_answer(b' X-Foo: 1'))
    answers.append(b'HTTP/1.1 103 X\r\nLink: x\r\n y\r\n\r\n%s' % _answer())
    answers.append(_answer(b' X-Foo: 1').replace(b'\r\n', b'\n'))
    assert _call(way, kind, answers) == [b'502'] * len(answers)


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize('way', WAYS)
def test_mixed_no_answer_whose_folded_line_arrives_in_parts(way, kind):
    head, _, rest = _answer(b' X-Foo: 1').partition(b' X-Foo')
    scripts = [[head, 0.1, b' X-Foo%s' % rest]]
    responses = call_upstream(way, scripts, kind=kind)
    assert responses[0][9:12] == b'502'


@pytest.mark.parametrize('way', WAYS)
def test_mixed_a_body_with_lines_that_begin_with_a_blank_passes(way):
    body = b'one\n two\r\n\r\n\tthree'
    interim = b'HTTP/1.1 103 X\r\nLink: x\r\n\r\n'
    answer = answer_bytes(body, b'Content-Length: %d' % len(body))
    responses = call_upstream(way, [[answer], [interim + answer]])
    assert all(response.endswith(body) for response in responses)
