"""Crashes that nodes of our own interface report to each other."""

import time
from types import SimpleNamespace

import msgpack
import pytest
from turmericcrank_core.crash_evidence import Suspect
from turmericcrank_core.requests import (
    check_model_request,
    fingerprint_parts,
    fingerprint_request,
)
from turmericcrank_node.control.crash_replication import (
    is_blocked,
    judge_crashes,
    merge_crash_report,
    record_response,
    report_crash,
)
from turmericcrank_node.membership.peer_messages import (
    pack_message,
    unpack_message,
)
from turmericcrank_node.state.in_flight_attempt import InFlightAttempt

from tests.fakes import FakeStore, make_context, make_state, run

_N_CRASHES = 5


@pytest.fixture
def clock(monkeypatch):
    clock = SimpleNamespace(now_s=1000.0)
    monkeypatch.setattr(time, 'time', lambda: clock.now_s)
    return clock


def _make_suspect(system_text, question):
    messages = [
        {'role': 'system', 'content': system_text},
        {'role': 'user', 'content': question},
    ]
    request = check_model_request({'model': 'm', 'messages': messages}).ok
    fingerprint = fingerprint_request('team', request)
    return Suspect(fingerprint, fingerprint_parts(request))


async def _crash_upstreams(clock):
    """Crash upstreams of one node; return it and a peer with its reports."""
    ctx = make_context(FakeStore(make_state()))
    peer = make_context(FakeStore(make_state()), name='n2')
    ctx.window.listed = frozenset({'n2'})

    async def deliver(_peer_id, message, _timeout_s):
        raw = pack_message(message)
        merge_crash_report(peer, unpack_message(msgpack.unpackb(raw)))

    ctx.request_peer = deliver
    for number in range(_N_CRASHES):
        clock.now_s += 2
        suspect = _make_suspect('crashing', f'question {number}')
        attempt = InFlightAttempt(suspect)
        ctx.in_flight[f'u{number}'] = {'r1': attempt}
        await report_crash(ctx, f'u{number}', [attempt])
    clock.now_s += 1
    for judging in (ctx, peer):
        judge_crashes(judging)
    return ctx, peer


def test_a_message_that_prompts_share_is_blocked_at_all_nodes(clock):
    async def main(_nursery):
        return await _crash_upstreams(clock)

    new = _make_suspect('crashing', 'another question')
    sound = _make_suspect('harmless', 'question 1')
    for ctx in run(main):
        assert is_blocked(ctx, new)
        assert not is_blocked(ctx, sound)


def test_a_response_ends_the_block_of_a_message(clock):
    async def main(nursery):
        ctx, _ = await _crash_upstreams(clock)
        ctx.nursery = nursery
        clock.now_s += 60
        suspect = _make_suspect('crashing', 'a test')
        ctx.in_flight['u9'] = {'r9': InFlightAttempt(suspect)}
        record_response(ctx, 'u9', 'r9')
        return ctx

    assert not is_blocked(run(main), _make_suspect('crashing', 'again'))


def test_a_message_that_was_answered_before_is_not_blocked_at_once(clock):
    """Upstreams that end one after the other are no sign against it."""

    async def main(_nursery):
        ctx = make_context(FakeStore(make_state()))
        answered = InFlightAttempt(_make_suspect('shared', 'question'))
        ctx.in_flight['u0'] = {'r0': answered}
        record_response(ctx, 'u0', 'r0')
        for number in range(_N_CRASHES):
            clock.now_s += 0.15
            suspect = _make_suspect('shared', f'question {number}')
            attempt = InFlightAttempt(suspect)
            ctx.in_flight[f'u{number}'] = {'r1': attempt}
            await report_crash(ctx, f'u{number}', [attempt])
        clock.now_s += 1
        judge_crashes(ctx)
        return is_blocked(ctx, _make_suspect('shared', 'another'))

    assert not run(main)
