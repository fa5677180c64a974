"""Decodes what engines answer, in the format of chat completions.

Engines are not trusted: whatever they send decodes to a typed value or to
nothing, and unknown fields are ignored.
"""

from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta

__all__ = (
    'Completion',
    'TokenUsage',
    'decode_completion',
    'join_text',
    'read_usage',
)

_EVENT_START = b'data: '
_EVENT_END = b'\n\n'
_MAX_TOKENS = 0xFFFFFFFF
_Count = Annotated[int, Meta(ge=0, le=_MAX_TOKENS)]


class TokenUsage(msgspec.Struct, frozen=True):
    """Tokens that an engine reports for one answer.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        completion_tokens: Tokens of the answer.
    """

    prompt_tokens: _Count = 0
    completion_tokens: _Count = 0


class Message(msgspec.Struct, frozen=True):
    """A message, or a part of one.

    Attributes:
        text: Its text; None if it has none.
    """

    text: str | None = msgspec.field(default=None, name='content')


class Choice(msgspec.Struct, frozen=True):
    """One alternative of an answer."""

    message: Message


class Completion(msgspec.Struct, frozen=True):
    """A complete answer.

    Attributes:
        choices: Alternatives, at least one.
        usage: Tokens; None if the engine does not report them.
    """

    choices: Annotated[list[Choice], Meta(min_length=1)]
    usage: TokenUsage | None = None

    @property
    def text(self) -> str:
        """Return the text of the first alternative."""
        return self.choices[0].message.text or ''


class _ChunkChoice(msgspec.Struct, frozen=True):
    delta: Message


class _UsageChunk(msgspec.Struct, frozen=True):
    usage: TokenUsage


class _TextChunk(msgspec.Struct, frozen=True):
    choices: Annotated[list[_ChunkChoice], Meta(min_length=1)]


_Decoded = TypeVar('_Decoded')
_COMPLETION_DECODER = msgspec.json.Decoder(Completion)
_USAGE_DECODER = msgspec.json.Decoder(_UsageChunk)
_TEXT_DECODER = msgspec.json.Decoder(_TextChunk)


def decode_completion(raw: bytes) -> Completion | None:
    """Decode a complete answer; None if it is not one."""
    return _decode(_COMPLETION_DECODER, raw)


def read_usage(event: bytes) -> TokenUsage | None:
    """Read the usage that an event of a stream reports; None without one."""
    chunk = _decode(_USAGE_DECODER, event.removeprefix(_EVENT_START))
    return chunk.usage if chunk else None


def join_text(events: bytes) -> str:
    """Join the text of the events of a stream; others are left out."""
    chunks = (
        _decode(_TEXT_DECODER, event.removeprefix(_EVENT_START))
        for event in events.split(_EVENT_END)
    )
    return ''.join(
        chunk.choices[0].delta.text or '' for chunk in chunks if chunk
    )


def _decode(
    decoder: msgspec.json.Decoder[_Decoded], raw: bytes
) -> _Decoded | None:
    try:
        return decoder.decode(raw)
    except (ValueError, RecursionError):
        return None
