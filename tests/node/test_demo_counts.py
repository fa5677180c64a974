"""What the demo counts as an unknown outcome, and what as lost."""

import json

from turmericcrank_core.codes import ResultCode
from turmericcrank_core.event_codes import EventCode
from turmericcrank_dev.caller import Outcome
from turmericcrank_dev.demo_counts import find_unknown

_UNKNOWN = Outcome(503, int(ResultCode.outcome_unknown), 'unknown')
_FAILED = Outcome(0)


def _make_log(*events):
    lines = [
        json.dumps({'event': int(code), 'claim': f'8:planners:key-{name}'})
        for code, name in events
    ]
    return '\n'.join([*lines, '{"event": 3'])


def test_a_booking_that_the_killed_node_had_sent_is_unknown():
    """It was counted as lost, in one of nine runs beside load."""
    log = _make_log((EventCode.claim_won, '0-5'))
    assert find_unknown({'booking 0-5': _UNKNOWN}, log) == {'booking 0-5'}


def test_a_booking_whose_claim_the_killed_node_had_written_is_unknown():
    """It was killed before it learned of that, so its log shows nothing."""
    other_log = _make_log((EventCode.claim_won, '1-1'))
    assert find_unknown({'booking 1-2': _UNKNOWN}, '', other_log)


def test_bookings_that_a_living_node_claimed_or_that_were_kept_are_lost():
    log = _make_log(
        (EventCode.claim_won, '0-4'), (EventCode.answer_kept, '0-4')
    )
    other_log = _make_log((EventCode.claim_won, '3-2'))
    outcomes = {'booking 0-4': _UNKNOWN, 'booking 3-2': _UNKNOWN}
    assert not find_unknown(outcomes, log, other_log)


def test_a_booking_without_any_response_is_lost():
    log = _make_log((EventCode.claim_won, '1-1'))
    assert not find_unknown({'booking 1-1': _FAILED}, log)
