"""Properties of the checks of response heads that arrive in any parts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.response_heads import FoldedLineError, check_lines

_STATUS_LINE = b'HTTP/1.1 200 X'
_LINES = st.lists(
    st.sampled_from([b'id: 1', b'signed: yes', b'Content-Length: 3', b'a:']),
    min_size=1,
    max_size=5,
)
_BREAKS = st.sampled_from([b'\r\n', b'\n'])
_INTERIM = st.lists(st.sampled_from([b'100', b'103', b'199']), max_size=2)
_FOLDED = st.sampled_from([b' x', b'\tx: 1', b' ', b'\t', b' : 1'])
_BODY = b' one\n two\r\n\tthree'


def _make_head(lines, line_break, status_line=_STATUS_LINE):
    return line_break.join([status_line, *lines, b'', b''])


def _make_heads(interim, lines, line_break):
    heads = [
        _make_head([b'Link: x'], line_break, b'HTTP/1.1 %s X' % status)
        for status in interim
    ]
    return b''.join([*heads, _make_head(lines, line_break)])


def _check_in_parts(raw, sizes):
    """Pass parts of some sizes, as they would arrive."""
    pending = b''
    start = 0
    for size in [*sizes, len(raw)]:
        pending = check_lines(pending + raw[start : start + size])
        start += size
        if pending is None:
            return start
    return None


_SIZES = st.lists(st.integers(1, 12), max_size=40)


@given(_INTERIM, _LINES, _BREAKS, _SIZES)
def test_a_head_without_folded_lines_is_complete_with_its_last_line(
    interim, lines, line_break, sizes
):
    heads = _make_heads(interim, lines, line_break)
    assert check_lines(heads[:-1]) is not None
    n_read = _check_in_parts(heads + _BODY, sizes)
    assert n_read is not None
    assert n_read >= len(heads)


@given(_INTERIM, _LINES, _BREAKS, _SIZES, _FOLDED, st.integers(0, 5))
def test_a_folded_line_anywhere_in_a_head_is_rejected(
    interim, lines, line_break, sizes, folded, place
):
    place = min(place, len(lines))
    with_fold = [*lines[:place], folded, *lines[place:]]
    heads = _make_heads(interim, with_fold, line_break)
    with pytest.raises(FoldedLineError):
        _check_in_parts(heads + _BODY, sizes)
