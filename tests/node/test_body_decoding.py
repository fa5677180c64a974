"""Bodies that clients and operators send decode to a value or an error."""

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.codes import ResultCode
from turmericcrank_node.api.admin_routes import parse_edit
from turmericcrank_node.api.app import read_model_request

_DECODERS = (parse_edit, read_model_request)
# A lone surrogate, escaped as in JSON.
_SURROGATE = r'\ud800'
_HOSTILE = (
    f'"{_SURROGATE}"'.encode(),
    f'{{"token": "{_SURROGATE}", "revision": 1, "tables": {{}}}}'.encode(),
    b'[' * 100000,
    b'{"a":' * 100000,
    b'{"revision": NaN}',
    b'{"revision": 1e999}',
    b'{"revision": 123456789012345678901234567890}',
    b'{"revision": 1, "revision": "x"}',
    b'\xff\xfe{}',
    b'null',
    b'',
)


@pytest.mark.parametrize('decode', _DECODERS)
@pytest.mark.parametrize('body', _HOSTILE)
def test_a_malformed_body_yields_a_typed_error(decode, body):
    assert decode(body).error.code in {
        ResultCode.bad_json,
        ResultCode.bad_field,
    }


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_no_error(raw):
    for decode in _DECODERS:
        outcome = decode(raw)
        assert outcome.is_ok() or outcome.error.code


_PARSED = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(st.characters(exclude_categories=('Cs',)), max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                ('model', 'messages', 'stream', 'revision', 'tables', 'token')
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=8,
)


@given(_PARSED)
def test_any_json_value_raises_no_error(parsed):
    raw = orjson.dumps(parsed)
    for decode in _DECODERS:
        outcome = decode(raw)
        assert outcome.is_ok() or outcome.error.code
