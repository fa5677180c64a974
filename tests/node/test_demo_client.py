"""The client of the demo takes no part of an answer for a whole one."""

from turmericcrank_dev.caller import ApiClient

from tests.early_resets import serve_early_resets
from tests.mixed_answers import UPLOAD

_N_REQUESTS = 8
_HEAD = b'HTTP/1.1 200 X\r\nX-Result-Code: 1000\r\n'
_BODY = {'text': UPLOAD.decode()}


def test_mixed_the_client_of_the_demo_takes_no_part_for_a_booking():
    with serve_early_resets(b'%s\r\nbook' % _HEAD) as address:
        client = ApiClient([address], 'key', 'dc1')
        client.find_addresses = lambda: [address]
        outcomes = [
            client.book('bays', _BODY, max_attempts=1)
            for _ in range(_N_REQUESTS)
        ]
    assert not any(outcome.is_complete for outcome in outcomes)
    assert {outcome.status for outcome in outcomes} == {0}
