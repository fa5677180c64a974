"""Answers one call of a model with a stream of events.

A stream that breaks or stalls goes on at another upstream after its last
event, where its route allows that. An answer that its model doubts is
dropped before the client has received any of it, and a larger model
answers anew.
"""

import statistics
from functools import partial
from http import HTTPStatus

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.ladder import (
    Ladder,
    current_model,
    note_speed,
    step_back,
)
from turmericcrank_core.upstream_rows import ListedUpstream

from turmericcrank_node.platform_port import Sending
from turmericcrank_node.serving.client_connection import ClientExchange
from turmericcrank_node.serving.stream_relay import Relay, relay_stream
from turmericcrank_node.serving.stream_state import (
    Done,
    Doubted,
    Failed,
    Pace,
    StreamOutcome,
    StreamProgress,
)
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
from turmericcrank_node.state.node_state import NodeState, read_boot_s
from turmericcrank_node.upstreams.attempt import (
    Answering,
    AttemptFault,
    FaultKind,
    open_attempt,
)
from turmericcrank_node.upstreams.upstream_wait import (
    WaitLimits,
    wait_for_upstream,
)

__all__ = ('answer_stream_call',)

_MAX_SENDINGS = 6
_HEAD_SHARE = 0.6
_PAUSE_S = 0.01
_MIN_PAUSES = 2
_LOWEST_PRIORITY = 9
_PRIORITY_STEP = 2
_DEADLINE = AttemptFault(FaultKind.unknown, 'deadline passed')
_CLIENT_GONE = AttemptFault(FaultKind.unknown, 'client gone')
_DOUBTED = AttemptFault(FaultKind.unknown, 'no larger model answered')


async def answer_stream_call(
    state: NodeState, work: Work, exchange: ClientExchange
) -> None:
    """Stream the answer of a model to a client."""
    models = work.route.models if work.call.leaves_model_open else ()
    progress = StreamProgress(Ladder(models), work.call.last_event_id)
    kept = await _try_upstreams(state, work, exchange, progress)
    if isinstance(kept, Done):
        _log_end(state, work, progress, exchange, EventCode.request_answered)
    elif exchange.is_started:
        _log_end(state, work, progress, exchange, EventCode.stream_broken)
    elif isinstance(kept, Failed):
        await exchange.answer(
            kept.answering.status, kept.answering.head.headers, kept.body
        )
        _log_end(state, work, progress, exchange, EventCode.request_answered)
    else:
        fault = kept if isinstance(kept, AttemptFault) else _DOUBTED
        await refuse_fault(state, work, exchange, fault)


def _log_end(
    state: NodeState,
    work: Work,
    progress: StreamProgress,
    exchange: ClientExchange,
    code: EventCode,
) -> None:
    state.log.write(
        code,
        request=work.call.request_id,
        model=current_model(progress.ladder),
        sent=work.n_sent,
        last_event=progress.last_event_id,
        client_gone=progress.is_client_gone,
        departure=exchange.departure,
        left_s=round(time_left_s(work), 3),
    )


async def _try_upstreams(
    state: NodeState,
    work: Work,
    exchange: ClientExchange,
    progress: StreamProgress,
) -> StreamOutcome:
    kept: StreamOutcome = AttemptFault(FaultKind.not_sent, 'no upstream')
    for number in range(_MAX_SENDINGS):
        upstream = None
        if may_send(state, work, number):
            upstream = begin_attempt(state, work)
        if upstream is None:
            break
        try:
            outcome = await _send_once(
                state, work, exchange, progress, upstream
            )
            await look_after_fault(state, work, upstream, outcome)
        finally:
            end_attempt(state, work, upstream)
        kept = _prefer(kept, outcome)
        if not _may_go_on(work, progress, outcome):
            break
        _change_model(work, exchange, progress, outcome)
    return kept


def _change_model(
    work: Work,
    exchange: ClientExchange,
    progress: StreamProgress,
    outcome: StreamOutcome,
) -> None:
    """Go up after a doubted answer, and back after a failed attempt."""
    if isinstance(outcome, Doubted):
        progress.ladder.step = outcome.step
        work.tried = frozenset()
    elif not exchange.is_started:
        step_back(progress.ladder)


def _prefer(kept: StreamOutcome, outcome: StreamOutcome) -> StreamOutcome:
    """Keep what says the most: an answer, then that it may have run."""
    if isinstance(outcome, (Done, Failed)) or isinstance(kept, Doubted):
        return outcome
    if isinstance(kept, AttemptFault) and kept.kind is not FaultKind.unknown:
        return outcome
    return kept


def _may_go_on(
    work: Work, progress: StreamProgress, outcome: StreamOutcome
) -> bool:
    """Tell whether another upstream may be tried."""
    if isinstance(outcome, Done) or progress.is_client_gone:
        return False
    is_run = not isinstance(outcome, AttemptFault)
    is_run = is_run or outcome.kind is FaultKind.unknown
    work.n_runs += is_run
    if work.n_runs == 0:
        return True
    return work.route.is_repeatable and work.n_runs < work.route.max_attempts


async def _send_once(
    state: NodeState,
    work: Work,
    exchange: ClientExchange,
    progress: StreamProgress,
    upstream: ListedUpstream,
) -> StreamOutcome:
    left_s = time_left_s(work)
    sending = Sending(
        upstream.upstream_id,
        work.team.name,
        left_s,
        model=current_model(progress.ladder),
        priority=_plan_priority(work),
        last_event_id=progress.last_event_id,
    )
    progress.pace = Pace()
    outcome: StreamOutcome = _CLIENT_GONE
    try:
        with trio.move_on_after(left_s):
            outcome = _DEADLINE
            outcome = await _exchange(
                state, work, exchange, progress, upstream, sending
            )
    except trio.Cancelled:
        outcome = _CLIENT_GONE
        raise
    finally:
        _judge(state, work, progress, upstream, outcome)
    return outcome


async def _exchange(
    state: NodeState,
    work: Work,
    exchange: ClientExchange,
    progress: StreamProgress,
    upstream: ListedUpstream,
    sending: Sending,
) -> StreamOutcome:
    sent_s = trio.current_time()
    limits = WaitLimits(
        _plan_head_s(work, sending.time_left_s),
        sending.time_left_s,
        lambda: work.route.is_repeatable,
        partial(may_retry_now, state, work),
    )
    opened = await wait_for_upstream(
        state,
        limits,
        upstream,
        partial(open_attempt, state, work.call, sending, upstream),
    )
    if not isinstance(opened, Answering):
        return opened
    work.n_sent += 1
    progress.pace.head_s = trio.current_time() - sent_s
    progress.pace.confidence = opened.head.confidence
    state.metrics.head_s.labels(upstream.service, upstream.version).observe(
        progress.pace.head_s
    )
    note_speed(
        state.forecast,
        (work.route.name, sending.model),
        progress.pace.head_s,
        read_boot_s(),
    )
    try:
        return await relay_stream(
            state, Relay(work, exchange, progress, upstream, opened)
        )
    finally:
        opened.connection.abort()


def _plan_priority(work: Work) -> int:
    """Rank a request in the engine's queue by its route and its team."""
    priority = work.team.priority
    if priority is None:
        priority = work.route.priority
    return min(_LOWEST_PRIORITY, _PRIORITY_STEP * (priority + 1))


def _plan_head_s(work: Work, left_s: float) -> float:
    """Plan how long to wait for the first event of one upstream.

    A request that waits in the queue of a live engine waits on: another
    engine would put it at the end of its own queue.
    """
    return max(work.route.objective_s, left_s * _HEAD_SHARE)


def _judge(
    state: NodeState,
    work: Work,
    progress: StreamProgress,
    upstream: ListedUpstream,
    outcome: StreamOutcome,
) -> None:
    """Count how an attempt went."""
    is_slow = _is_slow(state, progress.pace, upstream)
    _log_attempt(state, work, progress, upstream, outcome, is_slow)
    if outcome is _CLIENT_GONE or outcome is _DEADLINE:
        if is_slow:
            judge_attempt(state, work, upstream, Verdict(is_slow=True))
    elif isinstance(outcome, AttemptFault):
        verdict = Verdict(outcome.reason, is_silent=outcome.is_silent)
        judge_attempt(state, work, upstream, verdict)
    else:
        error = _find_error(outcome)
        verdict = Verdict(error, is_slow, is_own_failure=bool(error))
        judge_attempt(state, work, upstream, verdict)


def _find_error(outcome: StreamOutcome) -> str:
    if isinstance(outcome, Failed):
        status = outcome.answering.status
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return f'status {status}'
    return ''


def _log_attempt(
    state: NodeState,
    work: Work,
    progress: StreamProgress,
    upstream: ListedUpstream,
    outcome: StreamOutcome,
    is_slow: bool | None,
) -> None:
    pace = progress.pace
    state.log.write(
        EventCode.attempt_ended,
        request=work.call.request_id,
        upstream=upstream.upstream_id,
        version=upstream.version,
        route=work.route.name,
        model=current_model(progress.ladder),
        outcome=type(outcome).__name__,
        head_s=round(pace.head_s, 3),
        confidence=pace.confidence,
        events=pace.n_events,
        events_s=round(pace.last_s - pace.first_s, 3),
        pause_s=round(statistics.median(pace.pauses_s or [0]), 4),
        longest_s=round(max(pace.pauses_s, default=0), 3),
        slow=is_slow,
    )


def _is_slow(
    state: NodeState, pace: Pace, upstream: ListedUpstream
) -> bool | None:
    """Tell whether events came far slower; None when too few came."""
    if len(pace.pauses_s) < _MIN_PAUSES:
        return None
    # The median leaves out the pauses in which prompts of others are read.
    pause_s = statistics.median(pace.pauses_s)
    return is_slow_answer(state, upstream, 'pause', pause_s, _PAUSE_S)
