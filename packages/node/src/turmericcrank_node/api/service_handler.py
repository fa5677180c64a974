"""Forwards calls to plain services, non-idempotent ones at most once."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import httpx
import trio
from expression import Error, Ok, Result
from turmericcrank_core.admission import plan_request_rank
from turmericcrank_core.billing import Bill
from turmericcrank_core.claims import (
    StoredResponse,
    hash_body,
    is_send_deadline_passed,
    make_claim_key,
)
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.crash_evidence import Suspect
from turmericcrank_core.errors import Refusal
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.requests import list_allowed_pools
from turmericcrank_core.retry_budget import (
    deposit_token,
    plan_backoff_s,
    withdraw_token,
)
from turmericcrank_core.selection import PoolHashRing
from turmericcrank_core.tables import Route, RouteKind

from turmericcrank_node.api.bill_writer import commit_bill
from turmericcrank_node.api.claims import (
    AcquiredClaim,
    acquire_claim,
    find_unstored_answer,
    make_claim_batch_name,
    release_claim,
    store_answer,
)
from turmericcrank_node.api.dispatch import (
    DispatchRequest,
    eject_upstream,
    end_dispatch,
    get_retry_budget,
    start_dispatch,
)
from turmericcrank_node.api.request_admission import (
    AuthenticatedClient,
    track_background_work,
)
from turmericcrank_node.api.responses import ApiResponse
from turmericcrank_node.api.upstream_calls import (
    NotSent,
    ResponseOpened,
    send_upstream,
)
from turmericcrank_node.state.node_context import NodeContext

__all__ = ('ServiceCall', 'find_service_route', 'handle_service_call')

_NO_SUSPECT = Suspect('')
_MAX_ATTEMPTS = 4
_BASE_DELAY_S = 0.05
_MAX_DELAY_S = 1
_RETRY_AFTER_S = 1
_SERVER_ERROR = 500


@dataclass(slots=True, frozen=True)
class ServiceCall:
    """One call of a plain service.

    Attributes:
        client: Client that sent the call.
        route: Route of the call.
        method: HTTP method.
        path: Path and query at the service.
        content_type: Media type of the body.
        body: Complete body.
    """

    client: AuthenticatedClient
    route: Route
    method: str
    path: str
    content_type: str
    body: bytes


def find_service_route(
    ctx: NodeContext, name: str, client: AuthenticatedClient
) -> Result[Route, Refusal]:
    """Return the route of a service, if the client may use it."""
    route = ctx.revision.tables.routes_by_name.get(name)
    kinds = {RouteKind.idempotent_service, RouteKind.non_idempotent_service}
    if route is None or route.kind not in kinds:
        return Error(Refusal(ResultCode.unknown_route, name))
    if client.team not in route.teams:
        return Error(Refusal(ResultCode.team_not_allowed))
    requires_key = route.kind is RouteKind.non_idempotent_service
    if requires_key and not client.idempotency_key:
        return Error(Refusal(ResultCode.idempotency_key_missing))
    return Ok(route)


async def handle_service_call(
    ctx: NodeContext, call: ServiceCall
) -> Result[ApiResponse, Refusal]:
    """Handle one call of a plain service."""
    allowed = list_allowed_pools(
        ctx.revision.tables, call.route, None, in_session=False
    )
    if allowed.is_error():
        return Error(allowed.error)
    ring = ctx.rings_by_pool[allowed.ok[0].name]
    if call.route.kind is RouteKind.non_idempotent_service:
        return await _call_at_most_once(ctx, call, ring)
    return await _call_idempotent(ctx, call, ring)


async def _call_idempotent(
    ctx: NodeContext, call: ServiceCall, ring: PoolHashRing
) -> Result[ApiResponse, Refusal]:
    budget = get_retry_budget(ctx, ring.pool.name)
    deposit_token(budget)
    tried: frozenset[str] = frozenset()
    refusal = Refusal(ResultCode.no_upstream, retry_after_s=_RETRY_AFTER_S)
    for attempt in range(_MAX_ATTEMPTS):
        if attempt > 0:
            if not withdraw_token(budget):
                break
            uniform = ctx.random_source.random()
            await trio.sleep(
                plan_backoff_s(attempt, _BASE_DELAY_S, _MAX_DELAY_S, uniform)
            )
        attempted = await _attempt_once(ctx, call, ring, tried)
        if (
            attempted.answer is not None
            and attempted.answer.status < _SERVER_ERROR
        ):
            await commit_bill(ctx, _make_bill(call, ring))
            return Ok(
                _make_service_response(attempted.answer, ResultCode.answered)
            )
        refusal = attempted.refusal
        if refusal.code is ResultCode.outcome_unknown:
            refusal = Refusal(
                ResultCode.upstream_failed, retry_after_s=_RETRY_AFTER_S
            )
        tried |= {attempted.upstream_id}
    return Error(refusal)


async def _call_at_most_once(
    ctx: NodeContext, call: ServiceCall, ring: PoolHashRing
) -> Result[ApiResponse, Refusal]:
    key = make_claim_key(call.client.team, call.client.idempotency_key)
    body_hash = hash_body(
        call.method, f'{call.route.name}/{call.path}', call.body
    )
    decided = find_unstored_answer(ctx, key, body_hash)
    if decided is None:
        decided = await acquire_claim(
            ctx, key, body_hash, call.route.deadline_s
        )
    if decided.is_error():
        return Error(decided.error)
    if isinstance(decided.ok, StoredResponse):
        return Ok(_make_service_response(decided.ok, ResultCode.replayed))
    sender, receiver = trio.open_memory_channel(1)
    ctx.start_soon(_send_detached, call, ring, decided.ok, sender)
    return await receiver.receive()


async def _send_detached(
    ctx: NodeContext,
    call: ServiceCall,
    ring: PoolHashRing,
    acquired_claim: AcquiredClaim,
    sender: Any,
) -> None:
    """Complete a claimed call even if its client disconnects."""
    with track_background_work(ctx):
        sender.send_nowait(await _send_claimed(ctx, call, ring, acquired_claim))


async def _send_claimed(
    ctx: NodeContext,
    call: ServiceCall,
    ring: PoolHashRing,
    acquired_claim: AcquiredClaim,
) -> Result[ApiResponse, Refusal]:
    """Send a claimed call; retry it only if it was certainly not sent."""
    tried: frozenset[str] = frozenset()
    refusal = Refusal(ResultCode.unreachable, retry_after_s=_RETRY_AFTER_S)
    for _attempt in range(_MAX_ATTEMPTS):
        if is_send_deadline_passed(
            acquired_claim.claimed_s,
            trio.current_time(),
            ctx.settings.claim_limit_s,
        ):
            break
        attempted = await _attempt_once(ctx, call, ring, tried)
        if attempted.answer is not None:
            bill = _make_bill(call, ring)
            await commit_bill(
                ctx, bill, make_claim_batch_name(acquired_claim.key)
            )
            await store_answer(ctx, acquired_claim, attempted.answer, bill)
            return Ok(
                _make_service_response(attempted.answer, ResultCode.answered)
            )
        refusal = attempted.refusal
        if refusal.code is ResultCode.outcome_unknown:
            return Error(refusal)
        if not attempted.upstream_id:
            break
        tried |= {attempted.upstream_id}
    ctx.start_soon(release_claim, acquired_claim)
    return Error(refusal)


@dataclass(slots=True, frozen=True)
class _AttemptResult:
    """Outcome of one attempt.

    Attributes:
        answer: The complete response; None when there is none.
        refusal: Error for the client if there is no response.
        upstream_id: Upstream of the attempt; empty when none had capacity.
    """

    answer: StoredResponse | None
    refusal: Refusal
    upstream_id: str


async def _attempt_once(
    ctx: NodeContext,
    call: ServiceCall,
    ring: PoolHashRing,
    tried: frozenset[str],
) -> _AttemptResult:
    client = call.client
    rank = plan_request_rank(ctx.admission, client.team, call.route.priority)
    dispatch_request = DispatchRequest(
        client.request_id, _NO_SUSPECT, '', team=client.team, rank=rank
    )
    started = start_dispatch(ctx, ring, dispatch_request, tried)
    if started.is_error():
        return _AttemptResult(None, started.error, '')
    upstream = started.ok.upstream
    ctx.log.write(
        EventCode.request_sent,
        request=client.request_id,
        upstream=upstream.upstream_id,
        version=ring.pool.model_version,
    )
    answer = None
    refusal = Refusal(ResultCode.outcome_unknown, retry_after_s=_RETRY_AFTER_S)
    try:
        with trio.move_on_after(call.route.deadline_s):
            outcome = await _exchange(ctx, call, upstream.address)
            if isinstance(outcome, Refusal):
                refusal = outcome
                eject_upstream(ctx, upstream.upstream_id)
            else:
                answer = outcome
    finally:
        end_dispatch(ctx, started.ok)
    return _AttemptResult(answer, refusal, upstream.upstream_id)


async def _exchange(
    ctx: NodeContext, call: ServiceCall, address: str
) -> StoredResponse | Refusal:
    outcome = await send_upstream(
        ctx.single_use_http,
        call.method,
        ctx.url_of(address, f'/{call.path}'),
        call.body,
        _make_headers(call),
    )
    if isinstance(outcome, NotSent):
        return Refusal(ResultCode.unreachable, retry_after_s=_RETRY_AFTER_S)
    unknown = Refusal(ResultCode.outcome_unknown, retry_after_s=_RETRY_AFTER_S)
    if not isinstance(outcome, ResponseOpened):
        return unknown
    response = outcome.response
    try:
        body = await response.aread()
    except httpx.HTTPError:
        return unknown
    finally:
        with trio.CancelScope(shield=True):
            await response.aclose()
    content_type = response.headers.get('Content-Type', 'text/plain')
    return StoredResponse(response.status_code, content_type, body)


def _make_headers(call: ServiceCall) -> Mapping[str, str]:
    headers = {
        'Content-Type': call.content_type,
        'X-Request-Id': call.client.request_id,
        'X-Team': call.client.team,
    }
    if call.client.idempotency_key:
        headers['Idempotency-Key'] = call.client.idempotency_key
    return headers


def _make_bill(call: ServiceCall, ring: PoolHashRing) -> Bill:
    return Bill(
        call.client.bill_id,
        call.client.team,
        call.route.name,
        ring.pool.model_version,
        0,
        0,
        ring.pool.cost_in_microcents,
    )


def _make_service_response(
    answer: StoredResponse, code: ResultCode
) -> ApiResponse:
    return ApiResponse(code, answer.status, answer.body, answer.content_type)
