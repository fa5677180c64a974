"""Broken connections that turn out to be crashes."""

import itertools

import pytest
from turmericcrank_core.connection_breaks import (
    BreakHistory,
    ConnectionBreak,
    add_break,
    has_ended_before,
    record_answer,
    take_ended,
    take_repeated,
)
from turmericcrank_core.crash_blocks import CrashGuard, report_crash
from turmericcrank_core.crash_evidence import CrashRecord, Suspect
from turmericcrank_core.upstream_registry import (
    UpstreamRegistry,
    record_listed,
    record_missing,
)

from tests.router_builders import make_upstream

_SOUND = frozenset(('sound',))


def _make_upstream(upstream_id='u0', **fields):
    address = f'127.0.0.1:900{upstream_id[1]}'
    return make_upstream(
        upstream_id, **{'address': address, 'born_ms': 5, **fields}
    )


_OTHER = _make_upstream('u9')
_OTHER_SERVICE = _make_upstream('u8', service='other')


def _make_registry(*upstreams):
    registry = UpstreamRegistry()
    for upstream in upstreams:
        record_listed(registry, upstream)
    return registry


def _make_break(upstream_id='u0', at_s=10.0, key='r', parts=(), **fields):
    return ConnectionBreak(
        _make_upstream(upstream_id),
        at_s,
        f'request-{at_s}',
        Suspect(key, frozenset(parts)),
        **fields,
    )


def _break_at(upstream_ids, n_answers=0, **fields):
    history = BreakHistory()
    for number, upstream_id in enumerate(upstream_ids):
        add_break(history, _make_break(upstream_id, 10.0 + number, **fields))
    for _ in range(n_answers):
        record_answer(history, _OTHER, _SOUND, 20)
    return history


@pytest.mark.parametrize(
    'listed',
    [
        _make_upstream(born_ms=6),
        _make_upstream('u0-again', born_ms=6),
    ],
    ids=['same id', 'new id'],
)
def test_budget_a_break_before_a_new_start_at_the_address_is_a_crash(listed):
    history = _break_at(['u0'])
    registry = _make_registry(_make_upstream(), listed)
    assert take_ended(history, registry, 12)
    assert not take_ended(history, registry, 12)


def test_budget_a_break_before_the_row_is_removed_is_a_crash():
    history = _break_at(['u0'])
    registry = _make_registry(_make_upstream())
    assert not take_ended(history, registry, 11)
    record_missing(registry, 'u0', 11)
    assert take_ended(history, registry, 12)


@pytest.mark.parametrize('state', ['is_leaving', 'is_unresponsive'])
def test_lost_no_request_to_a_planned_end_or_a_pause(state):
    history = BreakHistory()
    add_break(history, _make_break(**{state: True}))
    assert not take_ended(history, _make_registry(), 12)


def test_a_break_long_before_a_new_start_is_no_crash():
    history = _break_at(['u0'])
    registry = _make_registry(_make_upstream(born_ms=6))
    assert not take_ended(history, registry, 25)


def test_requests_sent_to_an_ended_upstream_are_not_to_blame():
    history = _break_at(['u0', 'u0', 'u0'])
    taken = take_ended(history, _make_registry(), 14)
    assert [one.at_s for one in taken] == [10]


@pytest.mark.parametrize(
    'fields',
    [{}, {'key': '', 'parts': ['p']}],
    ids=['request', 'part'],
)
def test_budget_what_breaks_three_upstreams_crashes_them(fields):
    history = _break_at(['u0', 'u1', 'u2'], n_answers=6, **fields)
    suspect = history.breaks[0].suspect
    assert len(take_repeated(history, suspect)) == 3
    assert not history.breaks


@pytest.mark.parametrize(
    ('upstream_ids', 'n_answers', 'answered'),
    [
        (['u0', 'u1'], 6, _SOUND),
        (['u0', 'u1', 'u1'], 6, _SOUND),
        (['u0', 'u1', 'u2'], 5, _SOUND),
        (['u0', 'u1', 'u2'], 6, frozenset('r')),
    ],
    ids=['two', 'two twice', 'service fails', 'answered since'],
)
def test_lost_no_request_to_connections_that_break_by_themselves(
    upstream_ids, n_answers, answered
):
    history = _break_at(upstream_ids, n_answers)
    record_answer(history, _OTHER_SERVICE, answered, 20)
    assert not take_repeated(history, Suspect('r'))


def test_lost_no_request_to_one_attempt_at_three_upstreams():
    history = BreakHistory()
    for upstream_id in ('u0', 'u1', 'u2'):
        add_break(history, _make_break(upstream_id))
    for _ in range(6):
        record_answer(history, _OTHER, _SOUND, 20)
    assert not take_repeated(history, Suspect('r'))


def test_an_answer_clears_the_parts_that_it_carries():
    history = _break_at(['u0', 'u1', 'u2'], key='', parts=['p', 'q'])
    for _ in itertools.repeat(None, 6):
        record_answer(history, _OTHER, frozenset('p'), 20)
    assert not take_repeated(history, Suspect('', frozenset('p')))
    assert take_repeated(history, Suspect('', frozenset('q')))


def test_the_number_of_breaks_is_bounded():
    history = _break_at(['u0'])
    for number in range(400):
        add_break(history, _make_break(at_s=10 + number / 100))
    assert len(history.breaks) == 256


def test_lost_no_request_sent_to_an_upstream_that_had_ended():
    history = _break_at(['u0'])
    assert not has_ended_before(history, (), 'u0', 10.1)
    assert has_ended_before(history, (), 'u0', 12)
    record_answer(history, _make_upstream(), _SOUND, 13)
    assert not has_ended_before(history, (), 'u0', 14)


def test_lost_no_request_sent_after_a_crash_that_another_node_saw():
    crashes = [CrashRecord('u0', 10.0, frozenset())]
    assert has_ended_before(BreakHistory(), crashes, 'u0', 12)
    assert not has_ended_before(BreakHistory(), crashes, 'u1', 12)


def test_lost_no_request_that_was_answered_before_its_crash_was_reported():
    guard = CrashGuard()
    record_answer(guard.breaks, _OTHER, frozenset('r'), 20)
    for at_s in (10.0, 13.0, 16.0):
        suspects = frozenset((Suspect('r'),))
        crash = CrashRecord(f'u{at_s}', at_s, suspects)
        assert report_crash(guard, crash, 21) == []


def test_the_number_of_answered_keys_is_bounded():
    history = BreakHistory()
    for number in range(5000):
        record_answer(history, _OTHER, frozenset((str(number),)), number)
    assert len(history.answered_s_by_key) == 4096
    assert '4999' in history.answered_s_by_key
