"""Runs one model request on one pool: attempts, retries and crashes."""

from dataclasses import dataclass
from typing import Any

import httpx
import trio
from expression import Error, Ok, Result
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.errors import Refusal
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.requests import ModelRequest
from turmericcrank_core.retry_budget import (
    deposit_token,
    plan_backoff_s,
    withdraw_token,
)
from turmericcrank_core.selection import PoolHashRing
from turmericcrank_core.sessions import SessionToken
from turmericcrank_core.tables import Route
from turmericcrank_core.version_health import is_first_token_slow

from turmericcrank_node.api.dispatch import (
    Dispatch,
    DispatchRequest,
    eject_upstream,
    end_dispatch,
    get_retry_budget,
    has_crashed,
    start_dispatch,
)
from turmericcrank_node.api.engine_answers import Completion, decode_completion
from turmericcrank_node.api.upstream_calls import (
    NotSent,
    ResponseOpened,
    send_upstream,
)
from turmericcrank_node.control.crash_replication import (
    is_blocked,
    record_response,
    report_crash,
)
from turmericcrank_node.control.evidence_replication import (
    record_version_response_counts,
)
from turmericcrank_node.state.node_context import NodeContext

__all__ = (
    'CompleteResponse',
    'ModelCall',
    'OpenedResponse',
    'close_response',
    'handle_broken_connection',
    'open_response',
    'read_complete_response',
)

_PATH = '/v1/chat/completions'
_MAX_ATTEMPTS = 4
_BASE_DELAY_S = 0.05
_MAX_DELAY_S = 1
_RETRY_AFTER_S = 1
_SERVER_ERROR = 500
_SLOW_FIRST_TOKEN_S = 0.58
_MAX_DETAIL_BYTES = 200
_NONE_TRIED: frozenset[str] = frozenset()


@dataclass(slots=True)
class ModelCall:
    """One model request in progress.

    Attributes:
        request_id: Id of the request.
        bill_id: Id of its bill.
        team: Team of the client.
        route: Route of the request.
        request: The validated body.
        dispatch_request: Properties that determine the choice of upstream.
        deadline_s: Monotonic time by which the response must be complete.
        session_token: State of its session; None without a session.
    """

    request_id: str
    bill_id: str
    team: str
    route: Route
    request: ModelRequest
    dispatch_request: DispatchRequest
    deadline_s: float
    session_token: SessionToken | None = None


@dataclass(slots=True)
class OpenedResponse:
    """A response whose headers have arrived.

    Attributes:
        ring: Pool of the upstream that responded.
        dispatch: The request at its upstream.
        response: Response headers; the body is still to be read.
        tried: Upstreams tried so far, including this one.
    """

    ring: PoolHashRing
    dispatch: Dispatch
    response: httpx.Response
    tried: frozenset[str]


@dataclass(slots=True, frozen=True)
class CompleteResponse:
    """A complete response body and the response it was read from."""

    opened: OpenedResponse
    completion: Completion
    raw: bytes


async def open_response(
    ctx: NodeContext,
    call: ModelCall,
    ring: PoolHashRing,
    n_events_relayed: int = 0,
    tried: frozenset[str] = _NONE_TRIED,
) -> Result[OpenedResponse, Refusal]:
    """Send the request, with retries, until an upstream responds.

    Args:
        ctx: The node.
        call: The request.
        ring: Pool to use.
        n_events_relayed: Events that the client has already received; the
            upstream resumes after them.
        tried: Upstreams that must not be used.

    Returns:
        The opened response, or the refusal for the client.
    """
    deposit_token(get_retry_budget(ctx, ring.pool.name))
    refusal: Refusal | None = None
    for attempt in range(_MAX_ATTEMPTS):
        if refusal and not await _wait_for_retry(ctx, call, ring, attempt):
            break
        started = start_dispatch(ctx, ring, call.dispatch_request, tried)
        if started.is_error():
            return Error(refusal or started.error)
        tried |= {started.ok.upstream.upstream_id}
        outcome = await _attempt_once(
            ctx, call, ring, started.ok, n_events_relayed
        )
        if outcome.is_ok():
            return Ok(OpenedResponse(ring, started.ok, outcome.ok, tried))
        refusal = _replace_if_poisoned(ctx, call, outcome.error)
        if _is_permanent(refusal):
            return Error(refusal)
    return Error(refusal)


async def read_complete_response(
    ctx: NodeContext, call: ModelCall, ring: PoolHashRing
) -> Result[CompleteResponse, Refusal]:
    """Read a complete response; retry a broken one on another upstream."""
    tried: frozenset[str] = frozenset()
    while True:
        opened = await open_response(ctx, call, ring, tried=tried)
        if opened.is_error():
            return Error(opened.error)
        tried = opened.ok.tried
        body = await _read_body(ctx, call, opened.ok)
        if body.is_ok():
            return _decode_answer(opened.ok, body.ok)
        refusal = _replace_if_poisoned(ctx, call, body.error)
        if _is_permanent(refusal):
            return Error(refusal)
        if not withdraw_token(get_retry_budget(ctx, ring.pool.name)):
            return Error(refusal)


def _decode_answer(
    opened: OpenedResponse, raw: bytes
) -> Result[CompleteResponse, Refusal]:
    completion = decode_completion(raw)
    if completion is None:
        detail = raw[:_MAX_DETAIL_BYTES].decode('utf-8', 'replace')
        return Error(Refusal(ResultCode.upstream_failed, detail))
    return Ok(CompleteResponse(opened, completion, raw))


async def close_response(ctx: NodeContext, opened: OpenedResponse) -> None:
    """Close the response, read or not, and end its dispatch."""
    end_dispatch(ctx, opened.dispatch)
    with trio.CancelScope(shield=True):
        await opened.response.aclose()


async def handle_broken_connection(
    ctx: NodeContext, dispatch: Dispatch
) -> None:
    """Eject the upstream of a broken connection and report a crash.

    A crash of the upstream process is reported to all peers.
    """
    upstream = dispatch.upstream
    attempts = list(ctx.in_flight.get(upstream.upstream_id, {}).values())
    eject_upstream(ctx, upstream.upstream_id)
    if await has_crashed(ctx, upstream):
        await report_crash(ctx, upstream.upstream_id, attempts)


async def _attempt_once(
    ctx: NodeContext,
    call: ModelCall,
    ring: PoolHashRing,
    dispatch: Dispatch,
    n_events_relayed: int,
) -> Result[httpx.Response, Refusal]:
    upstream = dispatch.upstream
    headers = {
        'Content-Type': 'application/json',
        'X-Request-Id': call.request_id,
        'X-Priority': str(call.route.priority),
        'X-Deadline-S': str(call.deadline_s - trio.current_time()),
    }
    if n_events_relayed:
        headers['X-Resume-After'] = str(n_events_relayed)
    ctx.log.write(
        EventCode.request_sent,
        request=call.request_id,
        upstream=upstream.upstream_id,
        version=ring.pool.model_version,
        session=call.session_token.session_id if call.session_token else '',
    )
    outcome = None
    started_s = trio.current_time()
    try:
        with trio.move_on_after(max(0, call.deadline_s - started_s)):
            outcome = await send_upstream(
                ctx.upstream_http,
                'POST',
                ctx.url_of(upstream.address, _PATH),
                call.request.body,
                headers,
            )
        classified = await _classify_outcome(ctx, dispatch, outcome)
    except BaseException:
        end_dispatch(ctx, dispatch)
        raise
    if classified.is_error():
        end_dispatch(ctx, dispatch)
    record_version_response_counts(
        ctx,
        ring.pool,
        upstream.upstream_id,
        failed=classified.is_error(),
        slow=_is_slow(ctx, call, ring, trio.current_time() - started_s),
    )
    return classified


def _is_slow(
    ctx: NodeContext, call: ModelCall, ring: PoolHashRing, time_to_head_s: float
) -> bool:
    """Return whether the first token was slow; False if not streamed."""
    if not call.request.stream:
        return False
    pools = ctx.revision.tables.pools_by_name
    other_stop_keys = [
        pools[name].stop_key
        for name in call.route.session_pool_names
        if name in pools and name != ring.pool.name
    ]
    return is_first_token_slow(
        ctx.counts.speed,
        ring.pool.stop_key,
        other_stop_keys,
        time_to_head_s,
        _SLOW_FIRST_TOKEN_S,
    )


async def _classify_outcome(
    ctx: NodeContext,
    dispatch: Dispatch,
    outcome: ResponseOpened | NotSent | Any,
) -> Result[httpx.Response, Refusal]:
    upstream_id = dispatch.upstream.upstream_id
    if outcome is None:
        return Error(Refusal(ResultCode.deadline_passed))
    if isinstance(outcome, NotSent):
        eject_upstream(ctx, upstream_id)
        return Error(
            Refusal(ResultCode.unreachable, retry_after_s=_RETRY_AFTER_S)
        )
    if not isinstance(outcome, ResponseOpened):
        await handle_broken_connection(ctx, dispatch)
        return Error(
            Refusal(ResultCode.upstream_failed, retry_after_s=_RETRY_AFTER_S)
        )
    response = outcome.response
    if response.status_code >= _SERVER_ERROR:
        await response.aclose()
        return Error(
            Refusal(ResultCode.upstream_failed, retry_after_s=_RETRY_AFTER_S)
        )
    return Ok(response)


async def _read_body(
    ctx: NodeContext, call: ModelCall, opened: OpenedResponse
) -> Result[bytes, Refusal]:
    refusal = Refusal(ResultCode.deadline_passed)
    body = b''
    try:
        with trio.move_on_after(max(0, call.deadline_s - trio.current_time())):
            body = await opened.response.aread()
            refusal = Refusal(ResultCode.upstream_failed)
    except httpx.HTTPError:
        await handle_broken_connection(ctx, opened.dispatch)
        refusal = Refusal(
            ResultCode.upstream_failed, retry_after_s=_RETRY_AFTER_S
        )
        if body:
            dispatch = opened.dispatch
            record_response(ctx, dispatch.upstream.upstream_id, call.request_id)
    finally:
        await close_response(ctx, opened)
    return Ok(body) if body else Error(refusal)


async def _wait_for_retry(
    ctx: NodeContext, call: ModelCall, ring: PoolHashRing, attempt: int
) -> bool:
    """Wait for a retry; False when the pool's retry budget is exhausted."""
    if not withdraw_token(get_retry_budget(ctx, ring.pool.name)):
        return False
    ctx.log.write(
        EventCode.request_retried, request=call.request_id, attempt=attempt
    )
    ctx.metrics.count('retries')
    uniform = ctx.random_source.random()
    await trio.sleep(
        plan_backoff_s(attempt, _BASE_DELAY_S, _MAX_DELAY_S, uniform)
    )
    return True


def _replace_if_poisoned(
    ctx: NodeContext, call: ModelCall, refusal: Refusal
) -> Refusal:
    if is_blocked(ctx, call.dispatch_request.suspect):
        ctx.log.write(EventCode.request_poisoned, request=call.request_id)
        return Refusal(ResultCode.poisoned)
    return refusal


def _is_permanent(refusal: Refusal) -> bool:
    return refusal.code in {ResultCode.deadline_passed, ResultCode.poisoned}
