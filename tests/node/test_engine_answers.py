"""Answers of engines decode to typed values, whatever the engine sends."""

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_node.api.engine_answers import (
    TokenUsage,
    decode_completion,
    join_text,
    read_usage,
)
from turmericcrank_node.api.model_stream import StreamState, extract_relayable

_USAGE_EVENT = (
    b'data: {"usage": {"prompt_tokens": 3, "completion_tokens": 5}}\n\n'
)


def test_a_completion_has_a_text_and_its_usage():
    completion = decode_completion(
        b'{"id": "x", "choices": [{"message": {"content": "hi"}}],'
        b' "usage": {"prompt_tokens": 3, "completion_tokens": 5}}'
    )
    assert completion.text == 'hi'
    assert completion.usage == TokenUsage(3, 5)


def test_the_text_of_a_stream_is_joined():
    event = b'data: {"choices": [{"delta": {"content": "%s"}}]}\n\n'
    first = b'data: {"choices": [{"delta": {"role": "assistant"}}]}\n\n'
    done = b'data: [DONE]\n\n'
    events = b''.join((first, event % b'a', done, event % b'b'))
    assert join_text(events) == 'ab'


@pytest.mark.parametrize(
    'raw',
    [
        b'[]',
        b'3',
        b'{"choices": []}',
        b'{"choices": [{"message": "x"}]}',
        b'{"choices": [{"message": {"content": 3}}]}',
        b'[' * 100000,
        b'\xff',
    ],
)
def test_what_is_no_completion_decodes_to_nothing(raw):
    assert decode_completion(raw) is None


@pytest.mark.parametrize(
    'usage',
    [
        '"many"',
        '{"prompt_tokens": "3"}',
        '{"completion_tokens": -1}',
        '{"completion_tokens": 1e400}',
        '{"completion_tokens": 123456789012345678901234567890}',
        '[' * 100000,
    ],
)
def test_a_malformed_usage_ends_no_stream(usage):
    """It used to raise an error while the bill of the stream was made."""
    event = f'data: {{"choices": [], "usage": {usage}}}\n\n'.encode()
    state = StreamState()
    assert extract_relayable(state, event) == event
    assert state.usage is None


def test_a_usage_event_is_held_back():
    state = StreamState()
    assert not extract_relayable(state, _USAGE_EVENT)
    assert state.usage == TokenUsage(3, 5)


_PARSED = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.text('ab', max_size=2),
    lambda inner: (
        st.lists(inner, max_size=2)
        | st.dictionaries(
            st.sampled_from(
                ('choices', 'message', 'delta', 'content', 'usage')
            ),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)


@given(st.binary(max_size=60) | _PARSED.map(orjson.dumps))
def test_anything_that_an_engine_sends_raises_no_error(raw):
    completion = decode_completion(raw)
    assert completion is None or isinstance(completion.text, str)
    assert isinstance(join_text(b'data: %s\n\n' % raw), str)
    read_usage(raw)
