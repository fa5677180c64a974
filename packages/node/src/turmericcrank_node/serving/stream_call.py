"""Answers one call of a model with a stream of events.

Events go on as they come, whole. A stream that breaks or stalls goes on at
another upstream after its last event, where its route allows that. An
answer that its model doubts is dropped before the client has received any
of it, and a larger model answers anew.
"""

from dataclasses import dataclass, field

import trio
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.ladder import (
    Doubt,
    Ladder,
    LadderSettings,
    current_model,
    forecast_s,
    note_speed,
    plan_larger,
    step_back,
)
from turmericcrank_core.sse import EventSplitter, StreamEvent, split_events
from turmericcrank_core.upstream_rows import ListedUpstream

from turmericcrank_node.http_wire import ReadFault, read_body_part
from turmericcrank_node.platform_port import Sending
from turmericcrank_node.serving.client_connection import ClientExchange
from turmericcrank_node.serving.work import (
    Work,
    begin_attempt,
    end_attempt,
    is_slow_answer,
    judge_attempt,
    may_retry,
    refuse,
    time_left_s,
)
from turmericcrank_node.state.node_state import NodeState, read_boot_s
from turmericcrank_node.upstreams.attempt import (
    Answering,
    AttemptFault,
    FaultKind,
    open_attempt,
    takes_connections,
)
from turmericcrank_node.upstreams.candidates import service_load

__all__ = ('answer_stream_call',)

_SERVER_ERROR = 500
_MAX_SENDINGS = 6
_COME_BACK_S = 0.15
_LOOK_S = 0.8
_MAX_SILENT_S = 3.2
_HEAD_SHARE = 0.6
_LADDER = LadderSettings()
_PAUSE_S = 0.02
_MIN_EVENTS = 4


@dataclass(slots=True)
class _Stream:
    """How far the stream has come for the client.

    Attributes:
        ladder: Models of the request.
        last_event_id: Last event that the client has.
        is_client_gone: Whether the client has closed.
        splitter: Bytes of an event that is not whole.
        pace: Events of the current upstream.
    """

    ladder: Ladder
    last_event_id: str = ''
    is_client_gone: bool = False
    splitter: EventSplitter = field(default_factory=EventSplitter)
    pace: '_Pace' = field(default_factory=lambda: _Pace())


@dataclass(slots=True)
class _Pace:
    """When the events of one upstream came.

    Attributes:
        n_events: Events so far.
        first_s: When the first one came, on trio's clock.
        last_s: When the last one came.
        head_s: Time from the sending to the head of the response.
    """

    n_events: int = 0
    first_s: float = 0
    last_s: float = 0
    head_s: float = 0


@dataclass(slots=True, frozen=True)
class _Done:
    """The stream ended as whole."""


@dataclass(slots=True, frozen=True)
class _Stalled:
    """The upstream is silent and another one may take over."""


@dataclass(slots=True, frozen=True)
class _Doubted:
    """The model doubts its answer; a larger one is to answer."""

    step: int


@dataclass(slots=True, frozen=True)
class _Failed:
    """The upstream answered with a failure, whole."""

    answering: Answering
    body: bytes


_STALLED = _Stalled()
_Outcome = _Done | _Doubted | _Failed | AttemptFault


async def answer_stream_call(
    state: NodeState, work: Work, exchange: ClientExchange
) -> None:
    """Stream the answer of a model to a client."""
    models = work.route.models if work.call.leaves_model_open else ()
    stream = _Stream(Ladder(models), work.call.last_event_id)
    kept = await _try_upstreams(state, work, exchange, stream)
    if isinstance(kept, _Done):
        state.log.write(
            EventCode.request_answered,
            request=work.call.request_id,
            model=current_model(stream.ladder),
            sent=work.n_sent,
            last_event=stream.last_event_id,
            left_s=round(time_left_s(work), 3),
        )
    elif exchange.is_started:
        state.log.write(
            EventCode.stream_broken,
            request=work.call.request_id,
            last_event=stream.last_event_id,
            client_gone=stream.is_client_gone,
            left_s=round(time_left_s(work), 3),
        )
    elif isinstance(kept, _Failed):
        await exchange.answer(
            kept.answering.status, kept.answering.info.headers, kept.body
        )
    else:
        await _refuse_fault(state, work, exchange, kept)


async def _try_upstreams(
    state: NodeState, work: Work, exchange: ClientExchange, stream: _Stream
) -> _Outcome:
    kept: _Outcome = AttemptFault(FaultKind.not_sent, 'no upstream')
    for number in range(_MAX_SENDINGS):
        if time_left_s(work) <= 0 or stream.is_client_gone:
            break
        if number > 0 and not may_retry(state, work):
            break
        upstream = begin_attempt(state, work)
        if upstream is None:
            break
        try:
            outcome = await _send_once(state, work, exchange, stream, upstream)
        finally:
            end_attempt(state, work, upstream)
        if isinstance(outcome, _Doubted):
            stream.ladder.step = outcome.step
            work.tried = frozenset()
        elif not exchange.is_started:
            step_back(stream.ladder)
        kept = _prefer(kept, outcome)
        if not _may_go_on(work, stream, outcome):
            break
    return kept


def _prefer(kept: _Outcome, outcome: _Outcome) -> _Outcome:
    if isinstance(outcome, (_Done, _Failed)):
        return outcome
    if isinstance(kept, _Doubted):
        return outcome
    if isinstance(kept, AttemptFault) and kept.kind is not FaultKind.unknown:
        return outcome
    return kept


def _may_go_on(work: Work, stream: _Stream, outcome: _Outcome) -> bool:
    """Tell whether another upstream may be tried."""
    if isinstance(outcome, _Done) or stream.is_client_gone:
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
    stream: _Stream,
    upstream: ListedUpstream,
) -> _Outcome:
    left_s = time_left_s(work)
    sending = Sending(
        upstream.upstream_id,
        work.team.name,
        left_s,
        model=current_model(stream.ladder),
        priority=_plan_priority(work),
        last_event_id=stream.last_event_id,
    )
    outcome: _Outcome = AttemptFault(FaultKind.unknown, 'client gone')
    try:
        outcome = await _exchange(
            state, work, exchange, stream, upstream, sending
        )
    finally:
        _judge(state, work, stream, upstream, outcome)
    return outcome


async def _exchange(
    state: NodeState,
    work: Work,
    exchange: ClientExchange,
    stream: _Stream,
    upstream: ListedUpstream,
    sending: Sending,
) -> _Outcome:
    left_s = sending.time_left_s
    outcome: _Outcome = AttemptFault(FaultKind.unknown, 'deadline passed')
    with trio.move_on_after(left_s):
        stream.pace = _Pace()
        sent_s = trio.current_time()
        opened = await open_attempt(
            state, work.call, sending, upstream, _plan_head_s(work, left_s)
        )
        if isinstance(opened, Answering):
            head_s = trio.current_time() - sent_s
            stream.pace = _Pace(head_s=head_s)
            note_speed(
                state.forecast,
                (work.route.name, sending.model),
                head_s,
                read_boot_s(),
            )
            try:
                outcome = await _relay(
                    state, work, exchange, stream, upstream, opened
                )
            finally:
                opened.connection.abort()
        else:
            outcome = opened
    return outcome


def _plan_priority(work: Work) -> int:
    """Rank a request in the engine's queue by its route and its team."""
    priority = work.team.priority
    if priority is None:
        priority = work.route.priority
    return min(9, 2 + 2 * priority)


def _plan_head_s(work: Work, left_s: float) -> float:
    """Plan how long to wait for the first event of one upstream.

    A request that waits in the queue of a live engine waits on: another
    engine would put it at the end of its own queue.
    """
    if not _may_follow(work):
        return left_s
    return max(work.route.objective_s, left_s * _HEAD_SHARE)


async def _relay(
    state: NodeState,
    work: Work,
    exchange: ClientExchange,
    stream: _Stream,
    upstream: ListedUpstream,
    answering: Answering,
) -> _Outcome:
    """Pass the events of one upstream on until they end."""
    work.n_sent += 1
    if answering.status >= 300:
        return await _read_failure(answering)
    step = _plan_step(state, work, exchange, stream, answering)
    if step is not None:
        return _Doubted(step)
    stream.splitter = EventSplitter()
    while True:
        part = await _read_part(work, upstream, answering)
        if part is _STALLED:
            return AttemptFault(FaultKind.unknown, 'stalled')
        if isinstance(part, ReadFault):
            return AttemptFault(FaultKind.unknown, part.value)
        if part is None:
            return await _finish(exchange, stream, answering)
        events = split_events(stream.splitter, part)
        if events:
            await _pass_on(exchange, stream, answering, events)
        if stream.is_client_gone:
            return AttemptFault(FaultKind.unknown, 'client gone')


async def _read_part(
    work: Work, upstream: ListedUpstream, answering: Answering
) -> bytes | ReadFault | _Stalled | None:
    """Read the next part of a stream, however long it takes.

    Silence ends the attempt only when another one may follow: at once if
    the host takes no connections, else after a long pause.
    """
    silent_s: float = 0
    while True:
        part: bytes | ReadFault | None = None
        is_silent = True
        with trio.move_on_after(_LOOK_S):
            part = await read_body_part(answering.connection)
            is_silent = False
        if not is_silent:
            return part
        silent_s += _LOOK_S
        if _may_follow(work):
            is_alive = await takes_connections(upstream)
            if not is_alive or silent_s >= _MAX_SILENT_S:
                return _STALLED


def _may_follow(work: Work) -> bool:
    """Tell whether another attempt may follow the current one."""
    return work.route.is_repeatable and (
        work.n_runs + 1 < work.route.max_attempts
    )


async def _read_failure(answering: Answering) -> _Outcome:
    parts = []
    while True:
        part = await read_body_part(answering.connection)
        if isinstance(part, ReadFault):
            return AttemptFault(FaultKind.unknown, part.value)
        if part is None:
            return _Failed(answering, b''.join(parts))
        parts.append(part)


def _plan_step(
    state: NodeState,
    work: Work,
    exchange: ClientExchange,
    stream: _Stream,
    answering: Answering,
) -> int | None:
    """Plan whether a larger model answers, while the client has nothing."""
    if exchange.is_started or not _may_follow(work):
        return None
    largest = stream.ladder.models[-1] if stream.ladder.models else ''
    doubt = Doubt(
        confidence=answering.info.confidence,
        load=service_load(state, work.need.service),
        elapsed_s=trio.current_time() - work.call.request.arrived_s,
        larger_s=forecast_s(
            state.forecast, (work.route.name, largest), read_boot_s()
        ),
        objective_s=work.route.objective_s,
    )
    step = plan_larger(stream.ladder, doubt, _LADDER)
    if step is not None:
        state.log.write(
            EventCode.answer_doubted,
            request=work.call.request_id,
            model=current_model(stream.ladder),
            confidence=doubt.confidence,
            load=round(doubt.load, 2),
            larger_s=round(doubt.larger_s, 3),
        )
    return step


async def _pass_on(
    exchange: ClientExchange,
    stream: _Stream,
    answering: Answering,
    events: list[StreamEvent],
) -> None:
    _note_pace(stream.pace, len(events))
    raw = b''.join(event.raw for event in events)
    if exchange.is_started:
        is_sent = await exchange.send(raw)
    else:
        is_sent = await exchange.start(
            answering.status, answering.info.headers, raw
        )
    stream.is_client_gone = not is_sent
    ids = [event.event_id for event in events if event.event_id]
    if ids:
        stream.last_event_id = ids[-1]


def _note_pace(pace: _Pace, n_events: int) -> None:
    pace.last_s = trio.current_time()
    if pace.n_events == 0:
        pace.first_s = pace.last_s
    pace.n_events += n_events


async def _finish(
    exchange: ClientExchange, stream: _Stream, answering: Answering
) -> _Outcome:
    rest = stream.splitter.rest
    if not exchange.is_started:
        await exchange.start(answering.status, answering.info.headers, rest)
    elif rest:
        await exchange.send(rest)
    stream.is_client_gone = not await exchange.finish()
    return _Done()


def _judge(
    state: NodeState,
    work: Work,
    stream: _Stream,
    upstream: ListedUpstream,
    outcome: _Outcome,
) -> None:
    """Count how an attempt went."""
    is_slow = _is_slow(state, stream, upstream)
    pace = stream.pace
    state.log.write(
        EventCode.attempt_ended,
        request=work.call.request_id,
        upstream=upstream.upstream_id,
        version=upstream.version,
        route=work.route.name,
        model=current_model(stream.ladder),
        outcome=type(outcome).__name__,
        head_s=round(pace.head_s, 3),
        events=pace.n_events,
        events_s=round(pace.last_s - pace.first_s, 3),
        slow=is_slow,
    )
    if isinstance(outcome, _Failed):
        status = outcome.answering.status
        is_error = status >= _SERVER_ERROR
        fault = f'status {status}' if is_error else ''
        judge_attempt(state, work, upstream, fault, is_slow=is_slow)
        return
    if not isinstance(outcome, AttemptFault):
        judge_attempt(state, work, upstream, '', is_slow=is_slow)
        return
    if outcome.reason in {'client gone', 'deadline passed'}:
        if is_slow:
            judge_attempt(state, work, upstream, '', is_slow=True)
        return
    silent = {'no response in time', 'stalled'}
    is_silent = outcome.kind is FaultKind.not_sent or outcome.reason in silent
    judge_attempt(state, work, upstream, outcome.reason, is_silent=is_silent)


def _is_slow(
    state: NodeState, stream: _Stream, upstream: ListedUpstream
) -> bool:
    """Tell whether events came far slower than from other versions."""
    pace = stream.pace
    if pace.n_events < _MIN_EVENTS:
        return False
    pause_s = (pace.last_s - pace.first_s) / (pace.n_events - 1)
    return is_slow_answer(state, upstream, 'pause', pause_s, _PAUSE_S)


async def _refuse_fault(
    state: NodeState,
    work: Work,
    exchange: ClientExchange,
    kept: _Outcome,
) -> None:
    code = ResultCode.upstream_failed
    retry_after_s = None
    reason = 'doubted'
    if isinstance(kept, AttemptFault):
        reason = kept.reason
        if kept.kind is not FaultKind.unknown:
            code = ResultCode.no_upstream
            retry_after_s = _COME_BACK_S + state.random_source.random() * 0.1
    if code is ResultCode.upstream_failed and time_left_s(work) <= 0:
        code = ResultCode.deadline_passed
    await refuse(
        state,
        exchange,
        code,
        work.call.request_id,
        retry_after_s=retry_after_s,
        reason=reason,
    )
