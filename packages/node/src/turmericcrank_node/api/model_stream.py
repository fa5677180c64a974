"""Relays a stream to its client, resumes it after a break and bills it."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import httpx
import trio
from turmericcrank_core.billing import Bill, compute_token_cost
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.errors import Refusal
from turmericcrank_core.event_codes import EventCode

from turmericcrank_node.api.bill_writer import commit_bill
from turmericcrank_node.api.engine_answers import (
    TokenUsage,
    join_text,
    read_usage,
)
from turmericcrank_node.api.model_calls import (
    OpenedResponse,
    close_response,
    handle_broken_connection,
    open_response,
)
from turmericcrank_node.api.request_admission import AdmissionPermit
from turmericcrank_node.api.request_planning import PlannedCall
from turmericcrank_node.api.responses import make_error_event
from turmericcrank_node.api.stream_reader import StreamReader
from turmericcrank_node.control.crash_replication import (
    record_output,
    record_response,
)
from turmericcrank_node.control.ratings import (
    RatableAnswer,
    rate_in_background,
    record_answer_cost,
)
from turmericcrank_node.state.node_context import BillEntry, NodeContext

__all__ = ('extract_relayable', 'relay_stream')

_DONE = b'data: [DONE]\n\n'
_USAGE = b'"usage"'
_EVENT_END = b'\n\n'
_MAX_RATED_BYTES = 65536


@dataclass(slots=True)
class StreamState:
    """Progress of a relayed stream.

    Attributes:
        n_events: Token events relayed to the client.
        usage_event: Last event with the usage; held back until the bill has
            been committed.
        usage: Usage reported by the engine; None until the end.
        done: Whether the ``[DONE]`` event has arrived.
        rated_prefix: Start of the stream, used to rate the response.
        n_bytes: Bytes relayed.
        is_over_limit: Whether the stream exceeded its size limit.
    """

    n_events: int = 0
    usage_event: bytes = b''
    usage: TokenUsage | None = None
    done: bool = False
    rated_prefix: bytearray = field(default_factory=bytearray)
    n_bytes: int = 0
    is_over_limit: bool = False


def extract_relayable(state: StreamState, block: bytes) -> bytes:
    """Return the events of a block that may be relayed now.

    The usage event and the ``[DONE]`` event are held back.

    Args:
        state: Progress of the stream; updated in place.
        block: One or more complete events.
    """
    if _USAGE not in block and not state.usage_event and _DONE not in block:
        state.n_events += block.count(_EVENT_END)
        return block
    relayable = []
    for event in block.split(_EVENT_END)[:-1]:
        complete_event = event + _EVENT_END
        if complete_event == _DONE:
            state.done = True
            continue
        usage = read_usage(event) if _USAGE in event else None
        if usage is None:
            relayable.append(complete_event)
        else:
            state.usage = usage
            state.usage_event = complete_event
    state.n_events += len(relayable)
    return b''.join(relayable)


async def relay_stream(
    ctx: NodeContext,
    planned: PlannedCall,
    opened: OpenedResponse,
    permit: AdmissionPermit,
) -> AsyncIterator[bytes]:
    """Relay an opened stream up to its ``[DONE]`` event.

    A stream that breaks is resumed at another upstream of the same version.
    If that fails too, the stream ends with an error event, without
    ``[DONE]`` and without a bill. A client that disconnects cancels the
    stream and is billed for the events relayed so far.

    Args:
        ctx: The node.
        planned: The request.
        opened: The opened response.
        permit: Admission permit of the request, released at the end.

    Yields:
        Complete events; events that arrive within the block interval are
        yielded together.
    """
    state = StreamState()
    has_ended = False
    current: OpenedResponse | None = opened
    refusal: Refusal | None = None
    try:
        while current is not None and not state.done:
            async for block in _iter_relayable_blocks(
                ctx, planned, current, state
            ):
                yield block
            if not state.done:
                current, refusal = await _resume(ctx, planned, current, state)
        has_ended = True
        yield await _end_stream(ctx, planned, opened, state, refusal)
    finally:
        permit.release()
        if not has_ended:
            _bill_cancelled(ctx, planned, state)


async def _iter_relayable_blocks(
    ctx: NodeContext,
    planned: PlannedCall,
    opened: OpenedResponse,
    state: StreamState,
) -> AsyncIterator[bytes]:
    reader = StreamReader(opened.response, planned.call.deadline_s)
    ctx.nursery.start_soon(reader.serve, ctx)
    try:
        async for block in reader.iter_blocks():
            relayable = extract_relayable(state, block)
            record_output(
                ctx,
                opened.dispatch.upstream.upstream_id,
                planned.call.request_id,
                block.count(_EVENT_END),
            )
            if state.done:
                record_response(
                    ctx,
                    opened.dispatch.upstream.upstream_id,
                    planned.call.request_id,
                )
            if len(state.rated_prefix) < _MAX_RATED_BYTES:
                state.rated_prefix += relayable
            state.n_bytes += len(relayable)
            state.is_over_limit = state.n_bytes > ctx.settings.max_stream_bytes
            if state.is_over_limit:
                break
            if relayable:
                yield relayable
    except (httpx.HTTPError, TimeoutError):
        await handle_broken_connection(ctx, opened.dispatch)
    finally:
        reader.stop()
        await close_response(ctx, opened)


async def _resume(
    ctx: NodeContext,
    planned: PlannedCall,
    broken: OpenedResponse,
    state: StreamState,
) -> tuple[OpenedResponse | None, Refusal]:
    call = planned.call
    if state.is_over_limit:
        detail = f'The limit is {ctx.settings.max_stream_bytes} bytes.'
        return None, Refusal(ResultCode.stream_broken, detail)
    if trio.current_time() >= call.deadline_s:
        return None, Refusal(ResultCode.deadline_passed)
    ctx.log.write(
        EventCode.stream_resumed,
        request=call.request_id,
        after=state.n_events,
    )
    state.usage_event = b''
    opened = await open_response(
        ctx, call, broken.ring, state.n_events, broken.tried
    )
    if opened.is_ok():
        return opened.ok, Refusal(ResultCode.stream_broken)
    if opened.error.code is ResultCode.poisoned:
        return None, opened.error
    return None, Refusal(ResultCode.stream_broken, retry_after_s=1)


async def _end_stream(
    ctx: NodeContext,
    planned: PlannedCall,
    opened: OpenedResponse,
    state: StreamState,
    refusal: Refusal | None,
) -> bytes:
    """Return the final events of a complete stream, or an error event."""
    if state.done:
        await _finish_stream(ctx, planned, opened, state)
        return state.usage_event + _DONE
    return _end_with_error(
        ctx, planned, refusal or Refusal(ResultCode.stream_broken)
    )


async def _finish_stream(
    ctx: NodeContext,
    planned: PlannedCall,
    opened: OpenedResponse,
    state: StreamState,
) -> None:
    bill = _make_bill(planned, state)
    record_answer_cost(planned.chosen, bill.cost_microcents)
    await commit_bill(ctx, bill)
    ctx.log.write(
        EventCode.request_answered,
        request=planned.call.request_id,
        version=bill.model_version,
    )
    answer = RatableAnswer(
        planned.chosen,
        opened.dispatch.upstream.upstream_id,
        planned.call.request.prompt,
        join_text(bytes(state.rated_prefix)),
    )
    rate_in_background(ctx, answer, planned.call.route)


def _end_with_error(
    ctx: NodeContext, planned: PlannedCall, refusal: Refusal
) -> bytes:
    ctx.log.write(
        EventCode.request_refused,
        request=planned.call.request_id,
        code=int(refusal.code),
    )
    return make_error_event(refusal)


def _bill_cancelled(
    ctx: NodeContext, planned: PlannedCall, state: StreamState
) -> None:
    ctx.log.write(EventCode.request_cancelled, request=planned.call.request_id)
    if state.n_events:
        bill = _make_bill(planned, state)
        ctx.bill_sender.send_nowait(BillEntry(bill, '', trio.Event()))


def _make_bill(planned: PlannedCall, state: StreamState) -> Bill:
    """Bill the reported usage, or the relayed events if there is none."""
    call = planned.call
    pool = planned.chosen.pool
    usage = state.usage or TokenUsage(
        len(call.request.prompt.split()), state.n_events
    )
    tokens_in, tokens_out = usage.prompt_tokens, usage.completion_tokens
    return Bill(
        call.bill_id,
        call.team,
        call.route.name,
        pool.model_version,
        tokens_in,
        tokens_out,
        compute_token_cost(
            tokens_in,
            tokens_out,
            pool.cost_in_microcents,
            pool.cost_out_microcents,
        ),
    )
