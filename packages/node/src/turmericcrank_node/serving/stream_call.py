"""Handles a model call whose response is a stream of events.

A stream that breaks or stalls is resumed at another upstream after its last
event, if the route allows it. A low-confidence answer is discarded before
the client has received any part of it, and the request is escalated to a
larger model.
"""

import statistics
from functools import partial
from http import HTTPStatus

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.inbound import ByteHold, release_hold
from turmericcrank_core.model_escalation import (
    EscalationState,
    current_model,
    fall_back_to_smallest,
    record_first_event_time,
)
from turmericcrank_core.upstream_registry import ListedUpstream

from turmericcrank_node.platform_port import ForwardMetadata
from turmericcrank_node.serving.client_exchange import ClientExchange
from turmericcrank_node.serving.in_flight_request import (
    AttemptResult,
    InFlightRequest,
    acquire_attempt,
    can_retry_now,
    check_for_crash,
    end_attempt,
    is_slow_response,
    record_attempt_result,
    reject_after_fault,
    start_attempt,
    time_left_s,
)
from turmericcrank_node.serving.stream_relay import Relay, relay_stream
from turmericcrank_node.serving.stream_state import (
    Done,
    Doubted,
    Failed,
    StreamOutcome,
    StreamProgress,
    StreamTiming,
)
from turmericcrank_node.state.node_state import NodeState, read_boottime_s
from turmericcrank_node.upstreams.attempt import (
    AttemptFault,
    FaultKind,
    OpenResponse,
    open_attempt,
)
from turmericcrank_node.upstreams.attempt_timeout import (
    WaitLimits,
    wait_for_upstream,
)
from turmericcrank_node.upstreams.poison_detection import (
    record_begin,
    record_response,
)

__all__ = ('handle_stream_call',)

_MAX_ATTEMPTS = 6
_HEAD_TIMEOUT_SHARE = 0.6
_ALWAYS_FAST_GAP_S = 0.01
_MIN_GAPS = 2
_LOWEST_PRIORITY = 9
_PRIORITY_STEP = 2
_DEADLINE = AttemptFault(FaultKind.unknown, 'deadline passed')
_CLIENT_GONE = AttemptFault(FaultKind.unknown, 'client disconnected')
_NO_ESCALATION = AttemptFault(
    FaultKind.unknown, 'low confidence, no larger model answered'
)


async def handle_stream_call(
    state: NodeState, in_flight: InFlightRequest, exchange: ClientExchange
) -> None:
    """Stream the response of a model to a client."""
    models = (
        in_flight.route.models if in_flight.call.allows_model_choice else ()
    )
    hold = ByteHold(state.body_budget)
    progress = StreamProgress(
        EscalationState(models), hold, in_flight.call.last_event_id
    )
    try:
        await _serve_stream(state, in_flight, exchange, progress)
    finally:
        release_hold(hold)


async def _serve_stream(
    state: NodeState,
    in_flight: InFlightRequest,
    exchange: ClientExchange,
    progress: StreamProgress,
) -> None:
    best = await _try_upstreams(state, in_flight, exchange, progress)
    if isinstance(best, Done):
        _log_end(
            state, in_flight, progress, exchange, EventCode.request_answered
        )
    elif exchange.is_started:
        _log_end(state, in_flight, progress, exchange, EventCode.stream_broken)
    elif isinstance(best, Failed):
        await exchange.send_response(
            best.open_response.status,
            best.open_response.head.headers,
            best.body,
        )
        _log_end(
            state, in_flight, progress, exchange, EventCode.request_answered
        )
    else:
        fault = best if isinstance(best, AttemptFault) else _NO_ESCALATION
        await reject_after_fault(state, in_flight, exchange, fault)


def _log_end(
    state: NodeState,
    in_flight: InFlightRequest,
    progress: StreamProgress,
    exchange: ClientExchange,
    code: EventCode,
) -> None:
    state.log.write(
        code,
        request=in_flight.call.request_id,
        model=current_model(progress.escalation),
        sent=in_flight.n_sent,
        last_event=progress.last_event_id,
        client_gone=progress.is_client_gone,
        departure=exchange.disconnect_reason,
        left_s=round(time_left_s(in_flight), 3),
    )


async def _try_upstreams(
    state: NodeState,
    in_flight: InFlightRequest,
    exchange: ClientExchange,
    progress: StreamProgress,
) -> StreamOutcome:
    best: StreamOutcome = AttemptFault(
        FaultKind.not_sent, 'no upstream available'
    )
    for number in range(_MAX_ATTEMPTS):
        upstream = None
        if acquire_attempt(state, in_flight, number):
            upstream = start_attempt(state, in_flight)
        if upstream is None:
            break
        try:
            outcome = await _run_attempt(
                state, in_flight, exchange, progress, upstream
            )
            await check_for_crash(state, in_flight, upstream, outcome)
        finally:
            end_attempt(state, in_flight, upstream)
        best = _choose_better(best, outcome)
        if not _may_try_next(in_flight, progress, outcome):
            break
        _change_model(in_flight, exchange, progress, outcome)
    return best


def _change_model(
    in_flight: InFlightRequest,
    exchange: ClientExchange,
    progress: StreamProgress,
    outcome: StreamOutcome,
) -> None:
    """Select the larger model after a low-confidence answer.

    After a failed attempt, go back to the smallest model as long as the
    client has received nothing.
    """
    if isinstance(outcome, Doubted):
        progress.escalation.step = outcome.step
        in_flight.tried_ids = frozenset()
    elif not exchange.is_started:
        fall_back_to_smallest(progress.escalation)


def _choose_better(
    best: StreamOutcome, outcome: StreamOutcome
) -> StreamOutcome:
    """Return the outcome from which the response to the client is made.

    A completed stream or an error response ranks first, then a fault after
    which the request may have been executed.
    """
    if isinstance(outcome, (Done, Failed)) or isinstance(best, Doubted):
        return outcome
    if isinstance(best, AttemptFault) and best.kind is not FaultKind.unknown:
        return outcome
    return best


def _may_try_next(
    in_flight: InFlightRequest, progress: StreamProgress, outcome: StreamOutcome
) -> bool:
    """Count a possible execution; return whether to try another upstream."""
    if isinstance(outcome, Done) or progress.is_client_gone:
        return False
    is_run = not isinstance(outcome, AttemptFault)
    is_run = is_run or outcome.kind is FaultKind.unknown
    in_flight.n_possible_runs += is_run
    if in_flight.n_possible_runs == 0:
        return True
    return (
        in_flight.route.is_repeatable
        and in_flight.n_possible_runs < in_flight.route.max_attempts
    )


async def _run_attempt(
    state: NodeState,
    in_flight: InFlightRequest,
    exchange: ClientExchange,
    progress: StreamProgress,
    upstream: ListedUpstream,
) -> StreamOutcome:
    left_s = time_left_s(in_flight)
    metadata = ForwardMetadata(
        upstream.upstream_id,
        in_flight.team.name,
        left_s,
        model=current_model(progress.escalation),
        priority=_plan_priority(in_flight),
        last_event_id=progress.last_event_id,
    )
    progress.timing = StreamTiming()
    outcome: StreamOutcome = _CLIENT_GONE
    try:
        with trio.move_on_after(max(0, left_s)):
            outcome = _DEADLINE
            outcome = await _open_and_relay(
                state, in_flight, exchange, progress, upstream, metadata
            )
    except trio.Cancelled:
        outcome = _CLIENT_GONE
        raise
    finally:
        _record_result(state, in_flight, progress, upstream, outcome)
    return outcome


async def _open_and_relay(
    state: NodeState,
    in_flight: InFlightRequest,
    exchange: ClientExchange,
    progress: StreamProgress,
    upstream: ListedUpstream,
    metadata: ForwardMetadata,
) -> StreamOutcome:
    sent_s = trio.current_time()
    limits = WaitLimits(
        _plan_head_timeout_s(in_flight, metadata.time_left_s),
        metadata.time_left_s,
        lambda: in_flight.route.is_repeatable,
        partial(can_retry_now, state, in_flight),
    )
    opened = await wait_for_upstream(
        state,
        limits,
        upstream,
        partial(open_attempt, state, in_flight.call, metadata, upstream),
    )
    if not isinstance(opened, OpenResponse):
        return opened
    in_flight.n_sent += 1
    record_begin(state, upstream.upstream_id, in_flight.attempt_number)
    progress.timing.head_s = trio.current_time() - sent_s
    progress.timing.confidence = opened.head.confidence
    state.metrics.head_s.labels(upstream.service, upstream.version).observe(
        progress.timing.head_s
    )
    record_first_event_time(
        state.forecast,
        (in_flight.route.name, metadata.model),
        progress.timing.head_s,
        read_boottime_s(),
    )
    try:
        return await relay_stream(
            state, Relay(in_flight, exchange, progress, upstream, opened)
        )
    finally:
        opened.connection.abort()


def _plan_priority(in_flight: InFlightRequest) -> int:
    """Return the rank in the engine's queue, from the team or the route."""
    priority = in_flight.team.priority
    if priority is None:
        priority = in_flight.route.priority
    return min(_LOWEST_PRIORITY, _PRIORITY_STEP * (priority + 1))


def _plan_head_timeout_s(in_flight: InFlightRequest, left_s: float) -> float:
    """Return the time after which a retry is better than to keep waiting.

    It is long, since the request may be waiting in the queue of an engine:
    at another engine it would start at the end of the queue.
    """
    return max(in_flight.route.objective_s, left_s * _HEAD_TIMEOUT_SHARE)


def _record_result(
    state: NodeState,
    in_flight: InFlightRequest,
    progress: StreamProgress,
    upstream: ListedUpstream,
    outcome: StreamOutcome,
) -> None:
    """Log an attempt and record its result.

    An attempt that ended because the client disconnected or the deadline
    passed is recorded only if it was slow.
    """
    is_slow = _is_slow(state, progress.timing, upstream)
    if isinstance(outcome, Done):
        record_response(state, upstream.upstream_id, in_flight.attempt_number)
    _log_attempt(state, in_flight, progress, upstream, outcome, is_slow)
    if outcome is _CLIENT_GONE or outcome is _DEADLINE:
        if is_slow:
            record_attempt_result(
                state, in_flight, upstream, AttemptResult(is_slow=True)
            )
    elif isinstance(outcome, AttemptFault):
        attempt_result = AttemptResult(
            outcome.reason, is_unresponsive=outcome.is_unresponsive
        )
        record_attempt_result(state, in_flight, upstream, attempt_result)
    else:
        error = _describe_error(outcome)
        attempt_result = AttemptResult(
            error, is_slow, is_error_response=bool(error)
        )
        record_attempt_result(state, in_flight, upstream, attempt_result)


def _describe_error(outcome: StreamOutcome) -> str:
    if isinstance(outcome, Failed):
        status = outcome.open_response.status
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return f'status {status}'
    return ''


def _log_attempt(
    state: NodeState,
    in_flight: InFlightRequest,
    progress: StreamProgress,
    upstream: ListedUpstream,
    outcome: StreamOutcome,
    is_slow: bool | None,
) -> None:
    timing = progress.timing
    state.log.write(
        EventCode.attempt_ended,
        request=in_flight.call.request_id,
        upstream=upstream.upstream_id,
        version=upstream.version,
        route=in_flight.route.name,
        model=current_model(progress.escalation),
        outcome=type(outcome).__name__,
        head_s=round(timing.head_s, 3),
        confidence=timing.confidence,
        events=timing.n_events,
        events_s=round(timing.last_s - timing.first_s, 3),
        pause_s=round(statistics.median(timing.gaps_s or [0]), 4),
        longest_s=round(max(timing.gaps_s, default=0), 3),
        slow=is_slow,
    )


def _is_slow(
    state: NodeState, timing: StreamTiming, upstream: ListedUpstream
) -> bool | None:
    """Return whether events were far slower than usual; None if too few."""
    if len(timing.gaps_s) < _MIN_GAPS:
        return None
    # The median ignores gaps during which the engine processes the prompts
    # of other requests.
    pause_s = statistics.median(timing.gaps_s)
    return is_slow_response(
        state, upstream, 'pause', pause_s, _ALWAYS_FAST_GAP_S
    )
