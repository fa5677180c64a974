"""The web application of a node: callers, operators, health."""

from collections.abc import Awaitable, Callable
from typing import Any

import orjson
import trio
from expression import Error, Result
from quart import Response, request
from quart_trio import QuartTrio
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.errors import Refusal
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.requests import ModelRequest, check_model_request
from werkzeug.exceptions import HTTPException

from turmericcrank_node.api.addresses import (
    answer_addresses,
    list_other_addresses,
)
from turmericcrank_node.api.admin_app import add_admin
from turmericcrank_node.api.caller_checks import (
    Caller,
    Place,
    check_caller,
    check_standing,
    hold_place,
    read_body,
)
from turmericcrank_node.api.drafts import fetch_draft, keep_draft
from turmericcrank_node.api.model_answers import answer_model
from turmericcrank_node.api.model_plan import plan_call
from turmericcrank_node.api.replies import (
    Reply,
    make_refusal_reply,
    make_reply,
    make_response,
)
from turmericcrank_node.api.service_answers import (
    ServiceCall,
    answer_service,
    find_service_route,
)
from turmericcrank_node.state.context import NodeContext

__all__ = ('make_app',)

Answer = Callable[[Caller, bytes, Place], Awaitable[Result[Reply, Refusal]]]

_SERVICE_METHODS = ('GET', 'POST', 'PUT', 'DELETE')
_MS = 1000


def make_app(ctx: NodeContext) -> QuartTrio:
    """Make the application of one node."""
    app = QuartTrio('turmericcrank')
    app.config['MAX_CONTENT_LENGTH'] = ctx.settings.max_body_bytes
    app.config['BODY_TIMEOUT'] = None
    app.config['RESPONSE_TIMEOUT'] = None
    _add_calls(app, ctx)
    _add_drafts(app, ctx)
    _add_reading(app, ctx)
    add_admin(app, ctx)
    app.register_error_handler(Exception, _make_fault_answer(ctx))
    return app


def _make_fault_answer(ctx: NodeContext) -> Any:
    async def answer_fault(error: Exception) -> Response:
        if isinstance(error, HTTPException):
            refusal = Refusal(ResultCode.not_found, str(error))
        else:
            ctx.log.write(EventCode.internal_fault, detail=repr(error))
            refusal = Refusal(ResultCode.internal)
        return _to_response(make_refusal_reply(refusal), '')

    return answer_fault


def _add_calls(app: QuartTrio, ctx: NodeContext) -> None:
    @app.post('/v1/chat/completions')
    async def complete() -> Response:
        async def answer(
            caller: Caller, body: bytes, place: Place
        ) -> Result[Reply, Refusal]:
            checked = _read_model_request(body)
            if checked.is_error():
                return checked
            mark_text = request.headers.get('X-Session-Mark', '')
            planned = plan_call(ctx, caller, checked.ok, mark_text)
            if planned.is_error():
                return planned
            return await answer_model(ctx, planned.ok, place)

        return await _take_request(ctx, answer)

    @app.route('/services/<name>/<path:path>', methods=_SERVICE_METHODS)
    async def call_service(name: str, path: str) -> Response:
        async def answer(
            caller: Caller, body: bytes, _place: Place
        ) -> Result[Reply, Refusal]:
            found = find_service_route(ctx, name, caller)
            if found.is_error():
                return found
            query = request.query_string.decode()
            call = ServiceCall(
                caller,
                found.ok,
                request.method,
                f'{path}?{query}' if query else path,
                request.headers.get('Content-Type', 'application/json'),
                body,
            )
            return await answer_service(ctx, call)

        return await _take_request(ctx, answer)


def _add_drafts(app: QuartTrio, ctx: NodeContext) -> None:
    @app.post('/v1/drafts')
    async def post_draft() -> Response:
        async def answer(
            caller: Caller, body: bytes, _place: Place
        ) -> Result[Reply, Refusal]:
            checked = _read_model_request(body)
            if checked.is_error():
                return checked
            planned = plan_call(ctx, caller, checked.ok, '')
            if planned.is_error():
                return planned
            kept = await keep_draft(ctx, caller, body)
            return kept.map(
                lambda draft_id: make_reply(
                    ResultCode.draft_kept, {'id': draft_id, 'state': 'kept'}
                )
            )

        return await _take_request(ctx, answer)

    @app.get('/v1/drafts/<draft_id>')
    async def get_draft(draft_id: str) -> Response:
        async def answer(
            caller: Caller, _body: bytes, _place: Place
        ) -> Result[Reply, Refusal]:
            fetched = await fetch_draft(ctx, caller.team, draft_id)
            return fetched.map(
                lambda draft: make_reply(ResultCode.answered, draft)
            )

        return await _take_request(ctx, answer)


def _add_reading(app: QuartTrio, ctx: NodeContext) -> None:
    @app.get('/v1/addresses')
    async def get_addresses() -> Response:
        return _to_response(answer_addresses(ctx, request.args), '')

    @app.get('/v1/models')
    async def list_models() -> Response:
        caller = check_caller(ctx)
        if caller.is_error():
            return _to_response(make_refusal_reply(caller.error), '')
        names = [
            route.name
            for route in ctx.revision.tables.routes_by_name.values()
            if caller.ok.team in route.teams
        ]
        rows = [{'id': name, 'object': 'model'} for name in sorted(names)]
        body = {'object': 'list', 'data': rows}
        return _to_response(make_reply(ResultCode.answered, body), '')

    @app.get('/health')
    async def get_health() -> Response:
        return _to_response(make_reply(ResultCode.answered, {'ok': True}), '')

    @app.get('/ready')
    async def get_ready() -> Response:
        standing = check_standing(ctx)
        if standing.is_error() or ctx.leaving:
            refusal = Refusal(ResultCode.draining)
            if standing.is_error():
                refusal = standing.error
            return _to_response(make_refusal_reply(refusal), '')
        return _to_response(make_reply(ResultCode.answered, {'ok': True}), '')


async def _take_request(ctx: NodeContext, answer: Answer) -> Response:
    """Take one request through the door, answer it, and log its end."""
    begun_s = trio.current_time()
    caller = check_caller(ctx)
    body = await read_body(ctx)
    request_id = caller.ok.request_id if caller.is_ok() else ''
    ctx.metrics.count('requests')
    outcome: Result[Any, Refusal] = _first_error(
        caller, body, check_standing(ctx)
    )
    if outcome.is_ok():
        ctx.log.write(
            EventCode.request_received,
            request=request_id,
            team=caller.ok.team,
            path=request.path,
        )
        outcome = await _answer_in_place(ctx, answer, caller.ok, body.ok)
    ctx.metrics.time_ms('answer_begun', (trio.current_time() - begun_s) * _MS)
    ctx.metrics.gauge('requests_in_progress', ctx.n_running)
    if outcome.is_ok():
        return _to_response(outcome.ok, request_id)
    refusal = outcome.error
    ctx.metrics.count('refusals')
    ctx.log.write(
        EventCode.request_refused, request=request_id, code=int(refusal.code)
    )
    reply = make_refusal_reply(refusal, list_other_addresses(ctx))
    if refusal.code in {ResultCode.body_timeout, ResultCode.body_too_large}:
        reply.headers_by_name['Connection'] = 'close'
    return _to_response(reply, request_id)


async def _answer_in_place(
    ctx: NodeContext, answer: Answer, caller: Caller, body: bytes
) -> Result[Reply, Refusal]:
    held = hold_place(ctx, caller.team)
    if held.is_error():
        return Error(held.error)
    place = held.ok
    handed_over = False
    try:
        outcome = await answer(caller, body, place)
        handed_over = outcome.is_ok() and not isinstance(outcome.ok.body, bytes)
        return outcome
    finally:
        if not handed_over:
            place.give_up()


def _first_error(*outcomes: Result[Any, Refusal]) -> Result[Any, Refusal]:
    for outcome in outcomes:
        if outcome.is_error():
            return outcome
    return outcomes[-1]


def _read_model_request(body: bytes) -> Result[ModelRequest, Refusal]:
    try:
        return check_model_request(orjson.loads(body), body)
    except ValueError as error:
        return Error(Refusal(ResultCode.bad_json, str(error)))


def _to_response(reply: Reply, request_id: str) -> Response:
    return make_response(reply, request_id)
