"""Checks of response heads that parsers of HTTP/1.1 leave to their users."""

import re

__all__ = ('FoldedLineError', 'check_lines', 'is_valid_status')

_LAST_STATUS = 599
# What follows a line break: the end of the head, or a folded line.
_HEAD_END_OR_FOLD = re.compile(rb'\n(\r?\n|[ \t])')
_INTERIM_STATUS = re.compile(rb'HTTP/1\.\d 1\d\d')
_BLANKS = frozenset((b' ', b'\t'))


class FoldedLineError(ValueError):
    """A line of a head begins with a blank or a tab."""


def check_lines(raw: bytes) -> bytes | None:
    """Check that no line of a response head begins with a blank or a tab.

    Parsers join such a line to the value of the field before it. A gateway
    may refuse the response instead (RFC 9112, section 5.2), since it can't
    tell a folded value from a field whose name is malformed.

    Args:
        raw: What has arrived of a response, from its first byte on; interim
            responses may precede it.

    Returns:
        The bytes of the first head that is incomplete, to be passed again
        with those that follow; None once the head of the final response is
        complete.

    Raises:
        FoldedLineError: If a line begins with a blank or a tab.
    """
    start = 0
    while True:
        found = _HEAD_END_OR_FOLD.search(raw, start)
        if found is None:
            return raw[start:]
        if found.group(1) in _BLANKS:
            raise FoldedLineError('a line of the head begins with a blank')
        if not _INTERIM_STATUS.match(raw, start):
            return None
        start = found.end()


def is_valid_status(status: int) -> bool:
    """Return whether a final status is one of HTTP.

    A client treats any other one as a server error, or its library raises an
    error, so a gateway has no answer to forward (RFC 9110, section 15).

    Args:
        status: Status of a parsed response, at least 200.
    """
    return status <= _LAST_STATUS
