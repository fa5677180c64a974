"""Handles a call whose response is sent complete, not streamed."""

from dataclasses import dataclass
from functools import partial
from http import HTTPStatus

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.inbound import ByteHold, release_hold
from turmericcrank_core.upstream_registry import ListedUpstream

from turmericcrank_node.http_connection import Headers, ReadFault, read_body
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
from turmericcrank_node.state.node_state import NodeState
from turmericcrank_node.upstreams.attempt import (
    AttemptFault,
    FaultKind,
    open_attempt,
)
from turmericcrank_node.upstreams.attempt_timeout import (
    WaitLimits,
    wait_for_upstream,
)
from turmericcrank_node.upstreams.poison_detection import record_response

__all__ = ('handle_unary_call',)

_MAX_ANSWER_BYTES = 0x1000000
_MAX_ATTEMPTS = 4
_SOFT_TIMEOUT_SHARE = 0.45
_ALWAYS_FAST_S = 0.05
_LATE_DELIVERY_S = 10


@dataclass(slots=True, frozen=True)
class _CompleteResponse:
    """A complete response of an upstream."""

    status: int
    headers: Headers
    body: bytes | bytearray


async def handle_unary_call(
    state: NodeState, in_flight: InFlightRequest, exchange: ClientExchange
) -> None:
    """Send a call to upstreams until one responds; forward the response.

    A call that is not repeatable is sent to another upstream only if it was
    certainly not executed, and it continues when its client disconnects.
    """
    is_shielded = not in_flight.route.is_repeatable
    hold = ByteHold(state.body_budget)
    try:
        with trio.CancelScope(shield=is_shielded):
            outcome = await _try_upstreams(state, in_flight, hold)
            if isinstance(outcome, _CompleteResponse):
                await _deliver(state, in_flight, exchange, outcome)
            else:
                await reject_after_fault(state, in_flight, exchange, outcome)
    finally:
        release_hold(hold)


async def _deliver(
    state: NodeState,
    in_flight: InFlightRequest,
    exchange: ClientExchange,
    response: _CompleteResponse,
) -> None:
    """Send a response, also after the deadline.

    A client behind a slow link may still be reading.
    """
    with trio.move_on_after(max(0, time_left_s(in_flight)) + _LATE_DELIVERY_S):
        await exchange.send_response(
            response.status, response.headers, response.body
        )
    state.log.write(
        EventCode.request_answered,
        request=in_flight.call.request_id,
        status=response.status,
        sent=in_flight.n_sent,
        left_s=round(time_left_s(in_flight), 3),
    )


async def _try_upstreams(
    state: NodeState, in_flight: InFlightRequest, hold: ByteHold
) -> _CompleteResponse | AttemptFault:
    best: _CompleteResponse | AttemptFault = AttemptFault(
        FaultKind.not_sent, 'no upstream available'
    )
    for number in range(_MAX_ATTEMPTS):
        upstream = None
        if acquire_attempt(state, in_flight, number):
            upstream = start_attempt(state, in_flight)
        if upstream is None:
            break
        try:
            outcome = await _run_attempt(state, in_flight, upstream, hold)
            await check_for_crash(state, in_flight, upstream, outcome)
        finally:
            end_attempt(state, in_flight, upstream)
        best = _choose_better(best, outcome)
        if not _may_try_next(in_flight, outcome):
            break
    return best


def _choose_better(
    best: _CompleteResponse | AttemptFault,
    outcome: _CompleteResponse | AttemptFault,
) -> _CompleteResponse | AttemptFault:
    """Return the outcome from which the response to the client is made.

    A response ranks first, then a fault after which the request may have
    been executed.
    """
    if isinstance(outcome, _CompleteResponse):
        return outcome
    if isinstance(best, _CompleteResponse) or best.kind is FaultKind.unknown:
        return best
    return outcome


def _may_try_next(
    in_flight: InFlightRequest, outcome: _CompleteResponse | AttemptFault
) -> bool:
    """Count a possible execution; return whether to try another upstream."""
    if isinstance(outcome, _CompleteResponse):
        if outcome.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            return False
        in_flight.n_possible_runs += 1
    elif outcome.kind is FaultKind.unknown:
        in_flight.n_possible_runs += 1
    if in_flight.n_possible_runs == 0:
        return True
    return (
        in_flight.route.is_repeatable
        and in_flight.n_possible_runs < in_flight.route.max_attempts
    )


async def _run_attempt(
    state: NodeState,
    in_flight: InFlightRequest,
    upstream: ListedUpstream,
    hold: ByteHold,
) -> _CompleteResponse | AttemptFault:
    left_s = time_left_s(in_flight)
    metadata = ForwardMetadata(
        upstream.upstream_id,
        in_flight.team.name,
        left_s,
        priority=None,
    )
    sent_s = trio.current_time()
    outcome: _CompleteResponse | AttemptFault = await wait_for_upstream(
        state,
        WaitLimits(
            left_s * _SOFT_TIMEOUT_SHARE,
            left_s,
            lambda: in_flight.route.is_repeatable,
            partial(can_retry_now, state, in_flight),
        ),
        upstream,
        partial(_open_and_read, state, in_flight, upstream, metadata, hold),
    )
    in_flight.n_sent += _is_sent(outcome)
    elapsed_s = trio.current_time() - sent_s
    state.metrics.head_s.labels(upstream.service, upstream.version).observe(
        elapsed_s
    )
    _record_result(state, in_flight, upstream, outcome, elapsed_s)
    return outcome


async def _open_and_read(
    state: NodeState,
    in_flight: InFlightRequest,
    upstream: ListedUpstream,
    metadata: ForwardMetadata,
    hold: ByteHold,
) -> _CompleteResponse | AttemptFault:
    opened = await open_attempt(state, in_flight.call, metadata, upstream)
    if isinstance(opened, AttemptFault):
        return opened
    try:
        body = await read_body(opened.connection, _MAX_ANSWER_BYTES, hold)
    finally:
        opened.connection.abort()
    if isinstance(body, ReadFault):
        return AttemptFault(FaultKind.unknown, body.value)
    return _CompleteResponse(opened.status, opened.head.headers, body)


def _is_sent(outcome: _CompleteResponse | AttemptFault) -> bool:
    if isinstance(outcome, _CompleteResponse):
        return True
    return outcome.kind is not FaultKind.not_sent


def _record_result(
    state: NodeState,
    in_flight: InFlightRequest,
    upstream: ListedUpstream,
    outcome: _CompleteResponse | AttemptFault,
    elapsed_s: float,
) -> None:
    if isinstance(outcome, AttemptFault):
        attempt_result = AttemptResult(
            outcome.reason, is_unresponsive=outcome.is_unresponsive
        )
    else:
        is_error = outcome.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        attempt_result = AttemptResult(
            f'status {outcome.status}' if is_error else '',
            is_slow_response(
                state, upstream, in_flight.route.name, elapsed_s, _ALWAYS_FAST_S
            ),
            is_error_response=is_error,
        )
        if not is_error:
            record_response(
                state, upstream.upstream_id, in_flight.attempt_number
            )
    record_attempt_result(state, in_flight, upstream, attempt_result)
