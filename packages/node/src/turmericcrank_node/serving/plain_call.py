"""Answers one call of a plain service with a whole response."""

from dataclasses import dataclass
from functools import partial
from http import HTTPStatus

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.upstream_rows import ListedUpstream

from turmericcrank_node.http_wire import Headers, ReadFault, read_body
from turmericcrank_node.platform_port import Sending
from turmericcrank_node.serving.client_connection import ClientExchange
from turmericcrank_node.serving.work import (
    Verdict,
    Work,
    begin_attempt,
    end_attempt,
    is_slow_answer,
    judge_attempt,
    look_after_fault,
    may_retry_now,
    may_send,
    refuse_fault,
    time_left_s,
)
from turmericcrank_node.state.node_state import NodeState
from turmericcrank_node.upstreams.attempt import (
    AttemptFault,
    FaultKind,
    open_attempt,
)
from turmericcrank_node.upstreams.upstream_wait import (
    WaitLimits,
    wait_for_upstream,
)

__all__ = ('answer_plain_call',)

_MAX_ANSWER_BYTES = 0x1000000
_MAX_SENDINGS = 4
_FIRST_TRY_SHARE = 0.45
_FAST_S = 0.05
_LATE_S = 10


@dataclass(slots=True, frozen=True)
class _Whole:
    """A whole response."""

    status: int
    headers: Headers
    body: bytes


async def answer_plain_call(
    state: NodeState, work: Work, exchange: ClientExchange
) -> None:
    """Send a call to upstreams until one answers, and pass the answer on.

    A call that may not be repeated goes to another upstream only when it
    is certain that it did not run, and goes on when its client leaves.
    """
    is_kept = not work.route.is_repeatable
    with trio.CancelScope(shield=is_kept):
        outcome = await _try_upstreams(state, work)
        if isinstance(outcome, _Whole):
            # A late answer is delivered too, to a client that still reads.
            with trio.move_on_after(max(0, time_left_s(work)) + _LATE_S):
                await exchange.answer(
                    outcome.status, outcome.headers, outcome.body
                )
            state.log.write(
                EventCode.request_answered,
                request=work.call.request_id,
                status=outcome.status,
                sent=work.n_sent,
                left_s=round(time_left_s(work), 3),
            )
        else:
            await refuse_fault(state, work, exchange, outcome)


async def _try_upstreams(state: NodeState, work: Work) -> _Whole | AttemptFault:
    kept: _Whole | AttemptFault = AttemptFault(
        FaultKind.not_sent, 'no upstream'
    )
    for number in range(_MAX_SENDINGS):
        upstream = None
        if may_send(state, work, number):
            upstream = begin_attempt(state, work)
        if upstream is None:
            break
        try:
            outcome = await _send_once(state, work, upstream)
            await look_after_fault(state, work, upstream, outcome)
        finally:
            end_attempt(state, work, upstream)
        kept = _prefer(kept, outcome)
        if not _may_go_on(work, outcome):
            break
    return kept


def _prefer(
    kept: _Whole | AttemptFault, outcome: _Whole | AttemptFault
) -> _Whole | AttemptFault:
    """Keep what says the most: a response, then that it may have run."""
    if isinstance(outcome, _Whole):
        return outcome
    if isinstance(kept, _Whole) or kept.kind is FaultKind.unknown:
        return kept
    return outcome


def _may_go_on(work: Work, outcome: _Whole | AttemptFault) -> bool:
    """Tell whether another upstream may be tried."""
    if isinstance(outcome, _Whole):
        if outcome.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return False
        work.n_runs += 1
    elif outcome.kind is FaultKind.unknown:
        work.n_runs += 1
    if work.n_runs == 0:
        return True
    return work.route.is_repeatable and work.n_runs < work.route.max_attempts


async def _send_once(
    state: NodeState, work: Work, upstream: ListedUpstream
) -> _Whole | AttemptFault:
    left_s = time_left_s(work)
    sending = Sending(
        upstream.upstream_id,
        work.team.name,
        left_s,
        priority=None,
    )
    sent_s = trio.current_time()
    outcome: _Whole | AttemptFault = await wait_for_upstream(
        state,
        WaitLimits(
            left_s * _FIRST_TRY_SHARE,
            left_s,
            lambda: work.route.is_repeatable,
            partial(may_retry_now, state, work),
        ),
        upstream,
        partial(_exchange, state, work, upstream, sending),
    )
    work.n_sent += _is_sent(outcome)
    needed_s = trio.current_time() - sent_s
    state.metrics.head_s.labels(upstream.service, upstream.version).observe(
        needed_s
    )
    _judge(state, work, upstream, outcome, needed_s)
    return outcome


async def _exchange(
    state: NodeState,
    work: Work,
    upstream: ListedUpstream,
    sending: Sending,
) -> _Whole | AttemptFault:
    opened = await open_attempt(state, work.call, sending, upstream)
    if isinstance(opened, AttemptFault):
        return opened
    try:
        body = await read_body(opened.connection, _MAX_ANSWER_BYTES)
    finally:
        opened.connection.abort()
    if isinstance(body, ReadFault):
        return AttemptFault(FaultKind.unknown, body.value)
    return _Whole(opened.status, opened.head.headers, body)


def _is_sent(outcome: _Whole | AttemptFault) -> bool:
    if isinstance(outcome, _Whole):
        return True
    return outcome.kind is not FaultKind.not_sent


def _judge(
    state: NodeState,
    work: Work,
    upstream: ListedUpstream,
    outcome: _Whole | AttemptFault,
    needed_s: float,
) -> None:
    if isinstance(outcome, AttemptFault):
        verdict = Verdict(outcome.reason, is_silent=outcome.is_silent)
    else:
        is_error = outcome.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        verdict = Verdict(
            f'status {outcome.status}' if is_error else '',
            is_slow_answer(state, upstream, work.route.name, needed_s, _FAST_S),
            is_own_failure=is_error,
        )
    judge_attempt(state, work, upstream, verdict)
