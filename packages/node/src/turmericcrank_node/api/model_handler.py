"""Handles a model request, complete or streamed, and bills it once."""

from dataclasses import dataclass, replace

from expression import Error, Ok, Result
from turmericcrank_core.billing import Bill, compute_token_cost
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.errors import Refusal
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.selection import prepend_upstream
from turmericcrank_core.tables import Pool

from turmericcrank_node.api.bill_writer import commit_bill
from turmericcrank_node.api.engine_answers import TokenUsage
from turmericcrank_node.api.model_calls import (
    ModelCall,
    open_response,
    read_complete_response,
)
from turmericcrank_node.api.model_stream import relay_stream
from turmericcrank_node.api.request_admission import AdmissionPermit
from turmericcrank_node.api.request_planning import PlannedCall
from turmericcrank_node.api.responses import ApiResponse
from turmericcrank_node.control.ratings import (
    RatableAnswer,
    TierChoice,
    rate_before_response,
    rate_in_background,
    record_answer_cost,
    record_escalated_rating,
    record_returned_rating,
)
from turmericcrank_node.state.node_context import NodeContext

__all__ = (
    'CompleteAnswer',
    'get_complete_answer',
    'handle_model_request',
    'make_model_bill',
)

_OK = 200


@dataclass(slots=True, frozen=True)
class CompleteAnswer:
    """A complete response of one tier, with the bill of all tiers so far.

    Attributes:
        raw: Response as the bytes that the engine sent.
        bill: Bill for this tier and those that ran before it.
        ratable: Prompt and text to be rated.
    """

    raw: bytes
    bill: Bill
    ratable: RatableAnswer


async def handle_model_request(
    ctx: NodeContext, planned: PlannedCall, permit: AdmissionPermit
) -> Result[ApiResponse, Refusal]:
    """Handle one planned request.

    Args:
        ctx: The node.
        planned: The request and its first tier.
        permit: Its admission permit. A stream releases it at its end; for
            a complete response, the web application releases it.
    """
    if planned.call.request.stream:
        answered = await _respond_stream(ctx, planned, permit)
    else:
        answered = await _respond_complete(ctx, planned)
    return answered


def _set_session_token(
    ctx: NodeContext,
    call: ModelCall,
    api_response: ApiResponse,
    upstream_id: str,
) -> ApiResponse:
    """Set the session token, updated with the upstream that responded."""
    if call.session_token is not None:
        recent_upstream_ids = prepend_upstream(
            call.session_token.recent_upstream_ids, upstream_id
        )
        session_token = replace(
            call.session_token, recent_upstream_ids=recent_upstream_ids
        )
        api_response.headers_by_name['X-Session-Mark'] = ctx.signer.write(
            session_token
        )
    return api_response


async def get_complete_answer(
    ctx: NodeContext, planned: PlannedCall
) -> Result[CompleteAnswer, Refusal]:
    """Get a complete response and its bill, escalating if necessary.

    A response of a cheap tier that is rated below the threshold is replaced
    by one of the best tier; the bill covers both. While the rating service
    is down, cheap responses cannot be verified and the best tier responds.
    """
    call = planned.call
    first = await _run_tier(ctx, call, planned.chosen)
    if first.is_error():
        return Error(first.error)
    complete_answer = first.ok
    if planned.chosen.threshold == 0:
        rate_in_background(ctx, complete_answer.ratable, call.route)
        return Ok(complete_answer)
    rating = await rate_before_response(ctx, complete_answer.ratable)
    if rating is not None and rating >= planned.chosen.threshold:
        rate_in_background(ctx, complete_answer.ratable, call.route)
        return Ok(complete_answer)
    return await _escalate(ctx, call, complete_answer, rating)


def make_model_bill(
    call: ModelCall,
    pool: Pool,
    usage: TokenUsage,
    earlier_cost_microcents: float = 0,
) -> Bill:
    """Create the bill of a response from the usage its engine reports."""
    tokens_in, tokens_out = usage.prompt_tokens, usage.completion_tokens
    cost = compute_token_cost(
        tokens_in,
        tokens_out,
        pool.cost_in_microcents,
        pool.cost_out_microcents,
    )
    return Bill(
        call.bill_id,
        call.team,
        call.route.name,
        pool.model_version,
        tokens_in,
        tokens_out,
        cost + earlier_cost_microcents,
    )


async def _respond_complete(
    ctx: NodeContext, planned: PlannedCall
) -> Result[ApiResponse, Refusal]:
    answered = await get_complete_answer(ctx, planned)
    if answered.is_error():
        return Error(answered.error)
    complete_answer = answered.ok
    await commit_bill(ctx, complete_answer.bill)
    ctx.log.write(
        EventCode.request_answered,
        request=planned.call.request_id,
        version=complete_answer.bill.model_version,
    )
    api_response = ApiResponse(ResultCode.answered, _OK, complete_answer.raw)
    api_response.headers_by_name['X-Model-Version'] = (
        complete_answer.bill.model_version
    )
    return Ok(
        _set_session_token(
            ctx, planned.call, api_response, complete_answer.ratable.upstream_id
        )
    )


async def _respond_stream(
    ctx: NodeContext, planned: PlannedCall, permit: AdmissionPermit
) -> Result[ApiResponse, Refusal]:
    ring = ctx.rings_by_pool[planned.chosen.pool.name]
    opened = await open_response(ctx, planned.call, ring)
    if opened.is_error():
        return Error(opened.error)
    api_response = ApiResponse(
        ResultCode.answered,
        _OK,
        relay_stream(ctx, planned, opened.ok, permit),
        'text/event-stream',
    )
    version = planned.chosen.pool.model_version
    api_response.headers_by_name['X-Model-Version'] = version
    upstream_id = opened.ok.dispatch.upstream.upstream_id
    return Ok(_set_session_token(ctx, planned.call, api_response, upstream_id))


async def _run_tier(
    ctx: NodeContext,
    call: ModelCall,
    chosen: TierChoice,
    earlier_cost_microcents: float = 0,
) -> Result[CompleteAnswer, Refusal]:
    ring = ctx.rings_by_pool[chosen.pool.name]
    read = await read_complete_response(ctx, call, ring)
    if read.is_error():
        return Error(read.error)
    opened, completion = read.ok.opened, read.ok.completion
    bill = make_model_bill(
        call,
        chosen.pool,
        completion.usage or TokenUsage(),
        earlier_cost_microcents,
    )
    record_answer_cost(chosen, bill.cost_microcents - earlier_cost_microcents)
    answer = RatableAnswer(
        chosen,
        opened.dispatch.upstream.upstream_id,
        call.request.prompt,
        completion.text,
    )
    return Ok(CompleteAnswer(read.ok.raw, bill, answer))


async def _escalate(
    ctx: NodeContext,
    call: ModelCall,
    complete_answer: CompleteAnswer,
    rejected_rating: float | None,
) -> Result[CompleteAnswer, Refusal]:
    chosen = complete_answer.ratable.chosen
    best_name = call.route.pools[-1]
    best = TierChoice(
        ctx.revision.tables.pools_by_name[best_name],
        len(call.route.pools) - 1,
        0,
        chosen.policy,
        chosen.class_key,
    )
    second = await _run_tier(
        ctx, call, best, complete_answer.bill.cost_microcents
    )
    if second.is_error():
        return Error(second.error)
    if rejected_rating is not None:
        rating = await rate_before_response(ctx, second.ok.ratable)
        record_escalated_rating(
            complete_answer.ratable, rejected_rating, rating
        )
        record_returned_rating(best, rating)
    return Ok(second.ok)
