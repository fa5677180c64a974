"""The operators' client takes no part of an answer for a whole one."""

from turmericcrank_client.node_calls import NodeClient
from turmericcrank_client.settings import ClientSettings

from tests.early_resets import serve_early_resets
from tests.mixed_answers import UPLOAD

_BODY = {'text': UPLOAD.decode()}
_PART = b'HTTP/1.1 200 X\r\n\r\n{"revision": 1'
_WHOLE = b'HTTP/1.1 200 X\r\nContent-Length: 15\r\n\r\n{"revision": 2}'


def _make_client(*addresses):
    return NodeClient(ClientSettings(addresses, 'key', 'none', 5, 10))


def test_mixed_a_call_whose_answer_is_reset_goes_on_to_the_next_node():
    with (
        serve_early_resets(_PART) as broken,
        serve_early_resets(_WHOLE, is_reset=False) as sound,
    ):
        outcome = _make_client(broken, sound).post('/admin/tables', _BODY)
    assert outcome.ok == {'revision': 2}


def test_mixed_a_call_whose_answer_is_reset_is_an_error_at_the_last_node():
    with serve_early_resets(_PART) as address:
        outcome = _make_client(address).post('/admin/tables', _BODY)
    assert outcome.is_error()
    assert address in outcome.error.message
