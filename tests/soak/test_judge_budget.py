"""Tests of the judge of BUDGET: each line, just broken and just kept."""

import pytest

from tests.soak.judge_budget import find_many_attempts, judge_budget
from tests.soak.record import (
    Bounds,
    NodeEventKind,
    RouteKind,
    Run,
    UpstreamEventKind,
)
from tests.soak.record_builders import (
    make_arrival,
    make_crash,
    make_node_event,
    make_request,
    make_run,
    make_upstream_event,
)
from tests.soak.retry_windows import find_retry_shares
from tests.soak.time_handed import Moment, find_time_handed

_ATTEMPTS = 'max-attempts'
_TIME = 'time handed on, by reading'
_TIME_SENT = 'time handed on, by sending'
_TIME_CONNECTED = 'time handed on, by connection'
_CRASHING = 'crashing requests'
_PARTS = 'crashing parts'
_WINDOW = 'retries in a window'


def _find_lines(run: Run) -> list[str]:
    return [finding.line for finding in judge_budget(run)]


def _make_many_attempts(n_requests: int, **fields) -> Run:
    names = [f'r{number}' for number in range(n_requests)]
    return make_run(
        requests=[make_request(name) for name in names],
        arrivals=[
            make_arrival(name, 100 + at, upstream=f'upstream-{at}')
            for name in names
            for at in range(3)
        ],
        **fields,
    )


def test_attempts_on_too_many_upstreams():
    """Four requests beyond max-attempts are too many, three are not."""
    assert _ATTEMPTS in _find_lines(_make_many_attempts(4))
    assert _ATTEMPTS not in _find_lines(_make_many_attempts(3))


def test_attempts_beside_crashed_upstreams():
    """An upstream that ended meanwhile does not count; a reset one does."""
    run = _make_many_attempts(4)
    run.upstream_events.append(make_crash(101, '', 'upstream-0'))
    assert not find_many_attempts(run)
    reset = make_upstream_event(101, UpstreamEventKind.reset, 'upstream-0')
    run.upstream_events = [reset]
    assert len(find_many_attempts(run)) == 4


def test_attempts_rejected_or_at_one_upstream():
    """Rejected requests, and two runs at one upstream, do not count."""
    run = _make_many_attempts(4)
    for arrival in run.arrivals:
        if arrival.upstream == 'upstream-2':
            arrival.began_s = 0
            arrival.is_rejected = True
    assert not find_many_attempts(run)
    for arrival in run.arrivals:
        arrival.began_s = arrival.read_s
        arrival.upstream = 'upstream-1'
    assert not find_many_attempts(run)


def _make_late_repeats(n_long: int, n_right: int, **fields) -> Run:
    names = [f'r{number}' for number in range(n_long + n_right)]
    late = [
        make_arrival(name, 102, deadline_s=12 if at < n_long else 10, **fields)
        for at, name in enumerate(names)
    ]
    return make_run(
        requests=[make_request(name) for name in names],
        arrivals=[make_arrival(name) for name in names] + late,
    )


def test_time_of_late_repeats():
    """More than 20 of them, and more than a fifth, break the line."""
    assert _TIME in _find_lines(_make_late_repeats(21, 83))
    assert _TIME not in _find_lines(_make_late_repeats(20, 0))
    assert _TIME not in _find_lines(_make_late_repeats(21, 84))


def test_time_of_repeats_that_are_read_late():
    """By the time of sending, what was sent in time is right."""
    run = _make_late_repeats(30, 0, handed_s=100.2)
    for arrival in run.arrivals[:30]:
        arrival.handed_s = 100
    lines = _find_lines(run)
    assert _TIME in lines
    assert _TIME_SENT not in lines
    for arrival in run.arrivals:
        arrival.connected_s = 100.1
    assert _TIME_CONNECTED not in _find_lines(run)


def test_time_of_repeats_that_are_sent_late():
    """By the time of sending only what is known of each arrival counts."""
    run = _make_late_repeats(30, 0, handed_s=101.9)
    assert _TIME_SENT not in _find_lines(run)
    for arrival in run.arrivals[:30]:
        arrival.handed_s = 99.9
    assert _TIME_SENT in _find_lines(run)


def test_time_of_first_arrivals():
    """No deadline, or one over 0.5 s longer than the client's, counts."""
    for deadline_s, n_long in ((None, 21), (12.6, 21), (12.4, 0)):
        names = [f'r{number}' for number in range(21)]
        run = make_run(
            requests=[make_request(name) for name in names],
            arrivals=[
                make_arrival(name, deadline_s=deadline_s) for name in names
            ],
        )
        assert len(find_time_handed(run).too_long) == n_long
        assert (_TIME in _find_lines(run)) is bool(n_long)


@pytest.mark.parametrize('moment', list(Moment))
def test_time_of_streams_and_of_nodes_out_of_touch(moment):
    """Neither counts."""
    run = _make_late_repeats(30, 0)
    for arrival in run.arrivals:
        arrival.handed_s = arrival.read_s
    assert find_time_handed(run, moment).too_long
    run.node_events.append(make_node_event(99.5, NodeEventKind.term))
    assert not find_time_handed(run, moment).too_long
    run = _make_late_repeats(30, 0)
    for request in run.requests:
        request.kind = RouteKind.stream
    assert not find_time_handed(run, moment).n_counted


@pytest.mark.parametrize(
    ('begin_s', 'end_s', 'is_counted'),
    [(100.5, 101.9, False), (80, 98, True), (96, 99.5, False)],
)
def test_time_over_links_that_were_silent(begin_s, end_s, is_counted):
    """What comes late over a link that was harmed lately does not count."""
    run = _make_late_repeats(30, 0)
    for upstream in {arrival.upstream for arrival in run.arrivals}:
        run.upstream_events += [
            make_upstream_event(begin_s, UpstreamEventKind.silent, upstream),
            make_upstream_event(end_s, UpstreamEventKind.resumed, upstream),
        ]
    assert (_TIME in _find_lines(run)) is is_counted


def _make_crashing(n_retries: int, at_s: float, *, is_part: bool) -> Run:
    n_crashes = 5 if is_part else 3
    names = [f'r{number}' for number in range(n_retries)]
    return make_run(
        requests=[
            make_request(name, 100, crash_key='key', is_crash_part=is_part)
            for name in names
        ],
        arrivals=[make_arrival(name, 100) for name in names]
        + [make_arrival(name, at_s) for name in names],
        upstream_events=[
            make_crash(105 + at, 'key') for at in range(n_crashes)
        ],
    )


@pytest.mark.parametrize(('line', 'n_crashes'), [(_CRASHING, 3), (_PARTS, 5)])
def test_arrivals_after_crashes(line, n_crashes):
    """Four later than contact-ms after the last crash that counts."""
    is_part = line == _PARTS
    limit_s = 105 + n_crashes - 1 + 3
    late = _make_crashing(4, limit_s + 0.1, is_part=is_part)
    assert _find_lines(late) == [line]
    assert not _find_lines(_make_crashing(3, limit_s + 0.1, is_part=is_part))
    assert not _find_lines(_make_crashing(4, limit_s, is_part=is_part))
    late.upstream_events.pop()
    assert not _find_lines(late)


def test_arrivals_after_crashes_from_nodes_out_of_touch():
    """They do not count."""
    late = _make_crashing(4, 112.5, is_part=True)
    late.node_events.append(make_node_event(110, NodeEventKind.paused))
    late.node_events.append(make_node_event(110.5, NodeEventKind.resumed))
    assert not _find_lines(late)


def test_new_requests_with_crashing_content_and_part():
    """New ones count for a part; for a request only its retries do."""
    for is_part, lines in ((True, [_PARTS]), (False, [])):
        run = _make_crashing(4, 130, is_part=is_part)
        run.arrivals = [one for one in run.arrivals if one.read_s == 130]
        assert _find_lines(run) == lines


def _make_repeats(n_repeats: int, span_s: float = 9) -> Run:
    """Make two requests a second, of which some are repeated at once."""
    run = make_run(
        bounds=Bounds(retry_ratio=0.5, retry_slack=5),
        requests=[make_request(f'r{at}', 60 + at * 0.5) for at in range(160)],
    )
    run.arrivals.extend(
        make_arrival(one.request_id, one.began_s) for one in run.requests
    )
    for number in range(n_repeats):
        at_s = 100 + number * span_s / n_repeats
        request_id = f'r{int((at_s - 60) * 2)}'
        run.arrivals.append(make_arrival(request_id, at_s))
    return run


def test_retries_in_a_window():
    """16 of 15 are too many, 15 are not."""
    assert _find_lines(_make_repeats(16)) == [_WINDOW]
    kept = _make_repeats(15)
    assert not _find_lines(kept)
    assert find_retry_shares(kept)['service-1'].share == 1


def test_retries_in_two_windows():
    """Half of them in each window hold; rejected ones count too."""
    assert not _find_lines(_make_repeats(28, span_s=21))
    run = _make_repeats(16)
    for arrival in run.arrivals:
        arrival.is_rejected = True
    assert _find_lines(run) == [_WINDOW]


def test_retries_when_requests_came_before():
    """The window before, or half a window before, has the requests."""
    run = _make_repeats(15)
    run.requests = [one for one in run.requests if one.began_s < 100]
    run.arrivals = [one for one in run.arrivals if one.read_s >= 100][-15:]
    first = [make_arrival(one.request_id, 90) for one in run.arrivals]
    run.arrivals.extend(first)
    for arrival in run.arrivals[:15]:
        arrival.read_s = 100
    worst = find_retry_shares(run)['service-1']
    assert (worst.n_repeats, worst.allowed) == (15, 15)


def test_retries_without_any_allowed():
    """With bounds of 0 one repeat is too many."""
    run = _make_repeats(1)
    run.bounds = Bounds(retry_ratio=0, retry_slack=0)
    assert _find_lines(run) == [_WINDOW]


def test_retries_at_another_service():
    """The first arrival at another service is no repeat there."""
    run = _make_repeats(16)
    for arrival in run.arrivals[160:]:
        arrival.service = 'service-2'
    assert not find_retry_shares(run).keys()


def test_retries_worst_window_lies_anywhere():
    """The worst window is found where requests leave it."""
    run = make_run(
        bounds=Bounds(retry_ratio=1, retry_slack=1),
        requests=[make_request('a', 50), make_request('b', 50)],
        arrivals=[
            make_arrival('a', 50),
            *(make_arrival('a', 75) for _ in range(2)),
        ],
    )
    worst = find_retry_shares(run)['service-1']
    assert (worst.n_repeats, worst.allowed) == (2, 1)
