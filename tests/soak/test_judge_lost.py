"""Tests of the judge of LOST: each line, just broken and just kept."""

import pytest

from tests.soak.in_touch import make_in_touch
from tests.soak.judge_lost import find_kept_losses, judge_lost
from tests.soak.record import (
    ConfigurationChange,
    Ending,
    NodeEventKind,
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

_KEPT = 'kept connections'
_TERM = 'SIGTERM'
_HUP = 'SIGHUP'
_CHANGE = 'configuration'
_BESIDE = 'sound requests beside crashing parts'


def _find_lines(run: Run) -> list[str]:
    return [finding.line for finding in judge_lost(run)]


def _make_broken(request_id: str = 'r', began_s: float = 100, **fields):
    fields.setdefault('ended_s', began_s + 1)
    return make_request(request_id, began_s, ending=Ending.broken, **fields)


def _make_kept(n_requests: int, **fields) -> Run:
    names = [f'r{number}' for number in range(n_requests)]
    return make_run(
        requests=[_make_broken(name) for name in names],
        arrivals=[make_arrival(name) for name in names],
        **fields,
    )


def test_kept_connections():
    """Four are too many, three are not; others have to be passed on."""
    assert _find_lines(_make_kept(4)) == [_KEPT]
    assert not _find_lines(_make_kept(3))
    crossing = _make_kept(4)
    crossing.arrivals.clear()
    assert not _find_lines(crossing)
    new = _make_kept(4)
    for request in new.requests:
        request.is_kept = False
    assert not _find_lines(new)


def test_kept_connections_with_incomplete_responses():
    """A response that was begun is one; only its end is missing."""
    run = _make_kept(4)
    for request in run.requests:
        request.status = 200
    assert not _find_lines(run)


@pytest.mark.parametrize(
    'kind', [UpstreamEventKind.reset, UpstreamEventKind.paused]
)
def test_kept_connections_and_unsound_upstreams(kind):
    """An upstream that was not sound all the while excuses the loss."""
    run = _make_kept(4, upstream_events=[make_upstream_event(100.5, kind)])
    assert not find_kept_losses(run)
    run.upstream_events[0] = make_upstream_event(101.5, kind)
    assert len(find_kept_losses(run)) == 4


def test_kept_connections_of_nodes_out_of_touch():
    """A kill or SIGTERM within contact-ms excuses the loss."""
    for kind in (NodeEventKind.term, NodeEventKind.started):
        event = make_node_event(98.5, kind)
        assert not find_kept_losses(_make_kept(4, node_events=[event]))


def _make_term(**fields) -> Run:
    return make_run(
        requests=[_make_broken(**fields)],
        node_events=[make_node_event(100.5, NodeEventKind.term)],
    )


def test_loss_at_term():
    """A request that was passed on, or is cut after loss-slack-ms."""
    assert _find_lines(_make_term()) == [_TERM]
    assert not _find_lines(_make_term(began_s=100.8, ended_s=100.95))
    passed_on = _make_term(began_s=100.8, ended_s=100.95)
    passed_on.arrivals.append(make_arrival('r', 100.9))
    assert _find_lines(passed_on) == [_TERM]
    assert not _find_lines(_make_term(sent_s=0))


def test_loss_long_after_term():
    """It counts until 1 s after grace-s."""
    assert _find_lines(_make_term(began_s=109, ended_s=109.5)) == [_TERM]
    assert not _find_lines(_make_term(began_s=109, ended_s=109.6))


def test_loss_at_term_at_the_deadline():
    """A request whose time is over does not count."""
    assert not _find_lines(_make_term(deadline_s=1))
    assert not _find_lines(_make_term(route_timeout_s=0.9))
    assert _find_lines(_make_term(deadline_s=1.1)) == [_TERM]


def _make_grace_end(sent_s: float, ends_s: float) -> Run:
    run = _make_term(began_s=sent_s, ended_s=108.5)
    run.arrivals.append(make_arrival('r', sent_s, ended_s=ends_s))
    return run


def test_loss_at_the_end_of_the_grace():
    """Work in its last sixth excuses requests of the first 3 s only."""
    assert not _find_lines(_make_grace_end(103.4, 108.5))
    assert _find_lines(_make_grace_end(103.6, 108.5)) == [_TERM]
    assert _find_lines(_make_grace_end(103.4, 107)) == [_TERM]


@pytest.mark.parametrize(
    'event',
    [
        make_node_event(97.5, NodeEventKind.killed),
        make_node_event(97.5, NodeEventKind.paused),
        make_node_event(100.9, NodeEventKind.cut),
    ],
)
def test_loss_at_term_beside_unplanned_disruptions(event):
    """They excuse it, from contact-ms before the request to its end."""
    run = _make_term()
    run.node_events.insert(0, event)
    assert not _find_lines(run)


def test_loss_at_term_while_the_store_is_away():
    """Trouble of the store alone excuses nothing."""
    run = _make_term()
    run.store_troubles.append((90, 110))
    assert _find_lines(run) == [_TERM]


def test_loss_at_term_when_the_upstream_breaks_off():
    """It does not count."""
    run = _make_term()
    run.arrivals.append(make_arrival('r'))
    assert _find_lines(run) == [_TERM]
    run.upstream_events.append(make_crash(100.9, ''))
    assert not _find_lines(run)


def test_loss_at_hup():
    """Sent up to config-apply-ms after it, and cut after it."""
    hup = [make_node_event(98, NodeEventKind.hup)]
    assert _find_lines(
        make_run(requests=[_make_broken(began_s=100)], node_events=hup)
    ) == [_HUP]
    assert not _find_lines(
        make_run(requests=[_make_broken(began_s=100.1)], node_events=hup)
    )
    assert not _find_lines(
        make_run(requests=[_make_broken(began_s=96.5)], node_events=hup)
    )


def test_loss_at_hup_at_the_end_of_the_grace():
    """Work in its last sixth excuses it there as well."""
    run = _make_grace_end(103.4, 108.5)
    run.node_events.append(make_node_event(101.5, NodeEventKind.hup))
    assert not _find_lines(run)
    run.arrivals[0].ended_s = 107
    assert _find_lines(run) == [_TERM, _HUP]


def _make_change(n_cut: int, n_cut_else: int, **fields) -> Run:
    beside = [_make_broken(f'b{at}', **fields) for at in range(n_cut)]
    beside += [make_request(f'a{at}') for at in range(20 - n_cut)]
    other = [_make_broken(f'c{at}', 200) for at in range(n_cut_else)]
    other += [make_request(f'd{at}', 200) for at in range(20 - n_cut_else)]
    return make_run(
        requests=[*beside, *other],
        changes=[ConfigurationChange(99, 100, 'route')],
    )


def test_loss_at_a_change():
    """Only where cuts are over three times as frequent as at other times."""
    assert _find_lines(_make_change(4, 1)) == [_CHANGE]
    assert not _find_lines(_make_change(3, 1))
    assert _find_lines(_make_change(1, 0)) == [_CHANGE]


def test_loss_at_a_change_late_in_its_time():
    """Not for a request that has used seven tenths of its time."""
    assert not _find_lines(_make_change(4, 1, deadline_s=1.4))
    assert _find_lines(_make_change(4, 1, deadline_s=1.5)) == [_CHANGE]


def test_loss_after_a_change():
    """It counts until config-apply-ms + 1 s after its acknowledgement."""
    late = _make_change(4, 0, began_s=102, ended_s=103.1)
    assert not _find_lines(late)
    early = _make_change(4, 0, began_s=102, ended_s=103)
    assert _find_lines(early) == [_CHANGE]


def _make_beside(n_begun: int, n_sound: int = 20, n_crashes: int = 5) -> Run:
    shared = frozenset({'team-1'})
    crashing = [
        make_request(
            f'c{at}',
            100 + at,
            crash_key='part',
            is_crash_part=True,
            shared_keys=shared,
        )
        for at in range(30)
    ]
    sound = [
        make_request(f's{at}', 111 + at * 0.5, shared_keys=shared)
        for at in range(n_sound)
    ]
    before = [
        make_request(f'b{at}', 60 + at, shared_keys=shared) for at in range(20)
    ]
    begun = sound[:n_begun] + before
    return make_run(
        requests=[*crashing, *sound, *before],
        arrivals=[make_arrival(one.request_id, one.began_s) for one in begun],
        upstream_events=[
            make_crash(100 + at, 'part') for at in range(n_crashes)
        ]
        + [make_upstream_event(106, UpstreamEventKind.started)],
    )


def test_loss_beside_crashing_parts():
    """Less than half as often as outside, for 20 or more of each."""
    assert _find_lines(_make_beside(9)) == [_BESIDE]
    assert not _find_lines(_make_beside(10))
    assert not _find_lines(_make_beside(0, n_sound=19))


def test_loss_beside_few_crashes():
    """The last crash counts if there are fewer than five."""
    assert _find_lines(_make_beside(9, n_crashes=2)) == [_BESIDE]
    assert not _find_lines(_make_beside(9, n_crashes=0))


def test_loss_beside_crashing_parts_counts_first_attempts():
    """Repeats of clients, and requests with other keys, do not count."""
    run = _make_beside(9)
    for request in run.requests:
        if request.request_id.startswith('s'):
            request.is_repeat = True
    assert not _find_lines(run)
    for request in run.requests:
        request.is_repeat = False
        if request.request_id.startswith('s'):
            request.shared_keys = frozenset({'team-2'})
    assert not _find_lines(run)


def test_in_touch_after_disruptions():
    """From contact-ms after their end, of the store too."""
    run = make_run(
        node_events=[
            make_node_event(10, NodeEventKind.started),
            make_node_event(20, NodeEventKind.paused),
            make_node_event(25, NodeEventKind.resumed),
            make_node_event(50, NodeEventKind.killed),
            make_node_event(60, NodeEventKind.started),
            make_node_event(80, NodeEventKind.hup),
        ],
        store_troubles=[(40, 42)],
    )
    is_in_touch = make_in_touch(run)
    times = (5, 12, 14, 22, 27.9, 28.1, 41, 44.9, 45.1, 55, 62, 63.1, 81)
    touched = [at_s for at_s in times if is_in_touch('node-1', at_s)]
    assert touched == [14, 28.1, 45.1, 63.1, 81]
    assert is_in_touch('node-2', 27)


def test_in_touch_after_own_ends():
    """A process that ends by itself counts as running all the while."""
    run = make_run(
        node_events=[
            make_node_event(10, NodeEventKind.started),
            make_node_event(20, NodeEventKind.ended_by_itself),
            make_node_event(30, NodeEventKind.started),
            make_node_event(49, NodeEventKind.paused),
            make_node_event(49.5, NodeEventKind.resumed),
            make_node_event(50, NodeEventKind.ended_by_itself),
            make_node_event(60, NodeEventKind.started),
        ]
    )
    is_in_touch = make_in_touch(run)
    assert is_in_touch('node-1', 25)
    assert is_in_touch('node-1', 31)
    assert not is_in_touch('node-1', 55)
    assert not is_in_touch('node-1', 61)


def test_in_touch_while_an_old_process_drains():
    """A new process under the same name starts while the old one drains."""
    run = make_run(
        node_events=[
            make_node_event(10, NodeEventKind.started),
            make_node_event(20, NodeEventKind.term),
            make_node_event(21, NodeEventKind.started),
            make_node_event(28, NodeEventKind.ended),
        ]
    )
    is_in_touch = make_in_touch(run)
    assert not is_in_touch('node-1', 23)
    assert is_in_touch('node-1', 24.1)
    assert is_in_touch('node-1', 29)
