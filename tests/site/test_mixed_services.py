"""Broken answers of services never reach clients of the own interface."""

import pytest

from tests.mixed_answers import (
    BAD_LINES,
    BAD_STATUSES,
    UPLOAD,
    answer_bytes,
)
from tests.site.conftest import TestSite
from tests.site.service_calls import call_service
from tests.upstream_fakes import SendAndReset, response_bytes

_PART = b'p' * 64
# Longer than any request here takes; the end of a test cuts it short.
_OPEN_S = 30.0
_KINDS = ('non_idempotent_service', 'idempotent_service')


@pytest.fixture(scope='module')
def site():
    started = TestSite()
    try:
        started.start_platform()
        started.tables = {'routes': {}, 'pools': {}}
        started.start_nodes(['n1'])
        yield started
    finally:
        started.stop()


@pytest.mark.parametrize('kind', _KINDS)
def test_mixed_no_part_of_a_service_answer_that_is_reset_during_an_upload(
    site, kind
):
    """The part was even stored, and sent again to a repeat of the call."""
    responses, _ = call_service(
        site,
        [SendAndReset(answer_bytes(_PART))],
        kind=kind,
        body=UPLOAD,
        n_calls=2,
        reads_bodies=False,
    )
    assert [response.status_code for response in responses] == [503, 503]
    assert not any(_PART in response.content for response in responses)


@pytest.mark.parametrize(
    'answer',
    [
        response_bytes(b'whole'),
        answer_bytes(b'5\r\nwhole\r\n0\r\n\r\n', b'Transfer-Encoding: chunked'),
    ],
)
def test_mixed_an_early_service_answer_that_is_whole_passes_despite_a_reset(
    site, answer
):
    responses, _ = call_service(
        site, [SendAndReset(answer)], body=UPLOAD, reads_bodies=False
    )
    assert responses[0].content == b'whole'


@pytest.mark.parametrize('body', [UPLOAD, b'{}'])
def test_mixed_a_service_answer_without_a_length_that_ends_in_order_passes(
    site, body
):
    script = [answer_bytes(b'whole'), 'end', _OPEN_S]
    responses, _ = call_service(site, script, body=body)
    assert responses[0].content == b'whole'


@pytest.mark.parametrize('status', BAD_STATUSES)
def test_mixed_no_service_answer_with_a_malformed_status_such_as_000(
    site, status
):
    answer = answer_bytes(b'whole', b'Content-Length: 5', status=status)
    responses, _ = call_service(site, [answer])
    assert responses[0].status_code == 503
    assert b'whole' not in responses[0].content


@pytest.mark.parametrize('line', BAD_LINES)
def test_mixed_no_service_answer_with_a_blank_or_control_byte_in_a_name(
    site, line
):
    answer = answer_bytes(b'whole', b'Content-Length: 5', line)
    responses, _ = call_service(site, [answer])
    assert responses[0].status_code == 503
    assert b'whole' not in responses[0].content


@pytest.mark.parametrize('status', [b'600', b'999'])
def test_mixed_no_service_answer_whose_status_is_not_in_http(site, status):
    answer = answer_bytes(b'whole', b'Content-Length: 5', status=status)
    responses, _ = call_service(site, [answer])
    assert responses[0].status_code == 503
    assert b'whole' not in responses[0].content


def test_mixed_a_service_answer_with_the_last_status_of_http_passes(site):
    answer = answer_bytes(b'whole', b'Content-Length: 5', status=b'599')
    responses, _ = call_service(site, [answer])
    assert responses[0].status_code == 599


@pytest.mark.parametrize('line', [b' X-Foo: 1', b'\tContent-Length: 4', b' '])
def test_mixed_no_service_answer_with_a_line_that_begins_with_a_blank(
    site, line
):
    answer = answer_bytes(
        b'whole', b'Content-Type: text/plain', line, b'Content-Length: 5'
    )
    responses, _ = call_service(site, [answer])
    assert responses[0].status_code == 503
    assert 'X-Foo' not in responses[0].headers['Content-Type']
