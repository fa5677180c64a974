"""Forwards complete events of one upstream to a client as they arrive."""

import math
from dataclasses import dataclass
from functools import partial

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.inbound import hold_bytes, plan_read_delay_s
from turmericcrank_core.model_escalation import (
    EscalationInputs,
    EscalationSettings,
    current_model,
    forecast_first_event_s,
    plan_escalation,
)
from turmericcrank_core.sse import EventSplitter, StreamEvent, split_events
from turmericcrank_core.upstream_registry import ListedUpstream

from turmericcrank_node.http_connection import (
    ReadFault,
    find_header,
    is_success,
    read_body,
    read_body_part,
)
from turmericcrank_node.serving.client_exchange import ClientExchange
from turmericcrank_node.serving.in_flight_request import (
    InFlightRequest,
    can_retry_now,
    has_attempts_left,
    time_left_s,
)
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
    NO_EVENT,
    AttemptFault,
    FaultKind,
    OpenResponse,
)
from turmericcrank_node.upstreams.attempt_timeout import (
    WaitLimits,
    wait_for_upstream,
)
from turmericcrank_node.upstreams.poison_detection import record_output
from turmericcrank_node.upstreams.retry_permits import has_retry_budget
from turmericcrank_node.upstreams.upstream_selection import select_upstream

__all__ = ('Relay', 'relay_stream')

_PROBE_DELAY_S = 0.8
_MAX_EVENT_GAP_S = 3.2
_RESERVED_RETRIES = 1
_EVENT_STREAM = 'text/event-stream'
_NO_EVENT_STREAM = 'response is no event stream'
_MAX_EVENT_BYTES = 0x100000
_MAX_ERROR_BODY_BYTES = 0x1000000
_ESCALATION_SETTINGS = EscalationSettings()


@dataclass(slots=True, frozen=True)
class Relay:
    """A stream between one upstream and a client.

    Attributes:
        in_flight: The request.
        exchange: Response to the client.
        progress: Progress of the stream.
        upstream: Upstream that sends the events.
        open_response: Response of the upstream.
    """

    in_flight: InFlightRequest
    exchange: ClientExchange
    progress: StreamProgress
    upstream: ListedUpstream
    open_response: OpenResponse


async def relay_stream(state: NodeState, relay: Relay) -> StreamOutcome:
    """Forward the events of one upstream until the stream ends."""
    if not is_success(relay.open_response.status):
        return await _read_error_response(relay)
    outcome = _check_before_relay(state, relay)
    relay.progress.splitter = EventSplitter()
    last_event_s = trio.current_time()
    while outcome is None:
        part = await _read_part(state, relay, last_event_s)
        if isinstance(part, bytes):
            events = split_events(relay.progress.splitter, part)
            outcome = await _relay_events(state, relay, events)
            if any(event.event_id for event in events):
                last_event_s = trio.current_time()
            await _wait_for_turn(state, relay, len(part), len(events))
        else:
            outcome = await _end_relay(relay, part)
    return outcome


def _check_before_relay(
    state: NodeState, relay: Relay
) -> AttemptFault | Doubted | None:
    """Return why a response is not relayed; None if it is."""
    if relay.exchange.is_started and not _may_be_event_stream(relay):
        return AttemptFault(FaultKind.unknown, _NO_EVENT_STREAM)
    step = _plan_escalation(state, relay)
    return None if step is None else Doubted(step)


async def _relay_events(
    state: NodeState, relay: Relay, events: list[StreamEvent]
) -> AttemptFault | None:
    """Forward complete events; return why the stream can't go on."""
    progress = relay.progress
    n_buffered = len(progress.splitter.buffer)
    if n_buffered > _MAX_EVENT_BYTES:
        return AttemptFault(FaultKind.unknown, ReadFault.too_large.value)
    if not hold_bytes(progress.hold, n_buffered):
        return AttemptFault(FaultKind.unknown, ReadFault.no_room.value)
    _record_events(state, relay, len(events))
    await _forward_events(relay, events)
    if progress.is_client_gone:
        return AttemptFault(FaultKind.unknown, 'client disconnected')
    return None


async def _wait_for_turn(
    state: NodeState, relay: Relay, n_bytes: int, n_events: int
) -> None:
    """Wait until the stream may be read again."""
    delay_s = plan_read_delay_s(
        relay.progress.pace,
        state.shared_pace,
        n_bytes,
        n_events,
        trio.current_time(),
    )
    if delay_s > 0:
        await trio.sleep(delay_s)


async def _end_relay(
    relay: Relay, part: AttemptFault | ReadFault | None
) -> StreamOutcome:
    """Return the outcome of a stream that has ended or failed."""
    if isinstance(part, AttemptFault):
        return part
    if isinstance(part, ReadFault):
        return AttemptFault(FaultKind.unknown, part.value)
    if _is_broken_off(relay):
        return AttemptFault(FaultKind.unknown, ReadFault.ended_early.value)
    return await _finish_response(relay)


def _may_be_event_stream(relay: Relay) -> bool:
    """Return whether the content type is that of an event stream, or none."""
    headers = relay.open_response.head.headers
    content_type = find_header(headers, b'content-type')
    return not content_type or content_type.startswith(_EVENT_STREAM)


def _is_broken_off(relay: Relay) -> bool:
    """Return whether the body has ended before the end of the stream.

    A body without a length ends with its connection, also if the upstream
    crashes. So a stream must end after an event, and must have had one.
    """
    if not _may_be_event_stream(relay):
        return False
    progress = relay.progress
    if progress.splitter.buffer:
        return True
    return not progress.timing.n_events and not progress.last_event_id


async def _read_error_response(relay: Relay) -> StreamOutcome:
    connection = relay.open_response.connection
    body = await read_body(
        connection, _MAX_ERROR_BODY_BYTES, relay.progress.hold
    )
    if isinstance(body, ReadFault):
        return AttemptFault(FaultKind.unknown, body.value)
    return Failed(relay.open_response, body)


async def _read_part(
    state: NodeState, relay: Relay, last_event_s: float
) -> bytes | ReadFault | AttemptFault | None:
    """Read the next part of a stream, with no timeout if no retry is possible.

    A gap ends the attempt only if a retry would follow: as soon as the host
    is found unresponsive, otherwise after ``_MAX_EVENT_GAP_S`` without a
    complete event with an id, even if single bytes arrive.

    Args:
        state: The node.
        relay: The stream.
        last_event_s: Arrival of the last complete event with an id, or else
            the start of the stream, on trio's clock.
    """
    may_abandon = partial(can_retry_now, state, relay.in_flight)
    gap_deadline_s = last_event_s + _MAX_EVENT_GAP_S
    if trio.current_time() >= gap_deadline_s and may_abandon():
        return AttemptFault(FaultKind.unknown, NO_EVENT)
    read = partial(read_body_part, relay.open_response.connection)
    with trio.move_on_after(_PROBE_DELAY_S):
        return await read()
    limits = WaitLimits(
        soft_timeout_s=gap_deadline_s - trio.current_time(),
        left_s=math.inf,
        may_abandon_unresponsive=may_abandon,
        may_abandon_slow=may_abandon,
        slow_reason=NO_EVENT,
        first_probe_delay_s=0,
    )
    return await wait_for_upstream(state, limits, relay.upstream, read)


def _plan_escalation(state: NodeState, relay: Relay) -> int | None:
    """Return the index of the larger model to escalate to, or None.

    Escalation is possible only before the client has received anything.
    """
    in_flight = relay.in_flight
    if relay.exchange.is_started or not has_attempts_left(in_flight):
        return None
    if not has_retry_budget(
        state, in_flight.requirements.service, _RESERVED_RETRIES
    ):
        # Escalation consumes a retry, and another one must remain in case
        # the larger model fails: a low-confidence answer is better than none.
        return None
    escalation = relay.progress.escalation
    largest = escalation.models[-1] if escalation.models else ''
    larger_s = forecast_first_event_s(
        state.forecast, (in_flight.route.name, largest), read_boottime_s()
    )
    # The time to the response head of the smaller model includes the
    # queueing delay at its engine, and the larger model is assumed to take
    # at least as long.
    escalation_inputs = EscalationInputs(
        confidence=relay.open_response.head.confidence,
        elapsed_s=trio.current_time() - in_flight.call.request.arrived_s,
        larger_first_event_s=max(larger_s, relay.progress.timing.head_s),
        objective_s=in_flight.route.objective_s,
    )
    step = plan_escalation(escalation, escalation_inputs, _ESCALATION_SETTINGS)
    if step is None:
        return None
    if select_upstream(state, in_flight.requirements, frozenset()) is None:
        # All upstreams are at their limits: the answer at hand is kept.
        return None
    state.log.write(
        EventCode.answer_doubted,
        request=in_flight.call.request_id,
        model=current_model(escalation),
        confidence=escalation_inputs.confidence,
        elapsed_s=round(escalation_inputs.elapsed_s, 3),
        larger_s=round(escalation_inputs.larger_first_event_s, 3),
        left_s=round(time_left_s(in_flight), 3),
    )
    return step


async def _forward_events(relay: Relay, events: list[StreamEvent]) -> None:
    if not events:
        return
    progress = relay.progress
    raw = b''.join(event.raw for event in events)
    if relay.exchange.is_started:
        is_sent = await relay.exchange.send(raw)
    else:
        is_sent = await _start_response(relay, raw)
    progress.is_client_gone = not is_sent
    ids = [event.event_id for event in events if event.event_id]
    if ids:
        progress.last_event_id = ids[-1]


async def _start_response(relay: Relay, raw: bytes) -> bool:
    open_response = relay.open_response
    return await relay.exchange.start(
        open_response.status, open_response.head.headers, raw
    )


def _record_events(state: NodeState, relay: Relay, n_events: int) -> None:
    if not n_events:
        return
    _record_timing(relay.progress.timing, n_events)
    record_output(
        state,
        relay.upstream.upstream_id,
        relay.in_flight.attempt_number,
        n_events,
    )


def _record_timing(timing: StreamTiming, n_events: int) -> None:
    now_s = trio.current_time()
    if timing.n_events == 0:
        timing.first_s = now_s
    else:
        timing.gaps_s.append((now_s - timing.last_s) / n_events)
    timing.last_s = now_s
    timing.n_events += n_events


async def _finish_response(relay: Relay) -> StreamOutcome:
    rest = bytes(relay.progress.splitter.buffer)
    if not relay.exchange.is_started:
        await _start_response(relay, rest)
    elif rest:
        await relay.exchange.send(rest)
    relay.progress.is_client_gone = not await relay.exchange.finish()
    return Done()
