"""Web application of a node: client, operator and health endpoints."""

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
    list_alternative_addresses,
    make_addresses_reply,
)
from turmericcrank_node.api.admin_routes import add_admin_routes
from turmericcrank_node.api.drafts import fetch_draft, store_draft
from turmericcrank_node.api.model_handler import answer_model
from turmericcrank_node.api.request_admission import (
    AdmissionPermit,
    Caller,
    acquire_permit,
    authenticate_caller,
    check_accepting_requests,
    read_body,
)
from turmericcrank_node.api.request_planning import plan_call
from turmericcrank_node.api.responses import (
    Reply,
    make_refusal_reply,
    make_reply,
    make_response,
)
from turmericcrank_node.api.service_handler import (
    ServiceCall,
    answer_service,
    find_service_route,
)
from turmericcrank_node.state.node_context import NodeContext

__all__ = ('make_app',)

RequestHandler = Callable[
    [Caller, bytes, AdmissionPermit], Awaitable[Result[Reply, Refusal]]
]

_SERVICE_METHODS = ('GET', 'POST', 'PUT', 'DELETE')
_MS = 1000


def make_app(ctx: NodeContext) -> QuartTrio:
    """Create the web application of one node."""
    app = QuartTrio('turmericcrank')
    app.config['MAX_CONTENT_LENGTH'] = ctx.settings.max_body_bytes
    app.config['BODY_TIMEOUT'] = None
    app.config['RESPONSE_TIMEOUT'] = None
    _add_model_and_service_routes(app, ctx)
    _add_draft_routes(app, ctx)
    _add_read_routes(app, ctx)
    add_admin_routes(app, ctx)
    app.register_error_handler(Exception, _make_error_handler(ctx))
    return app


def _make_error_handler(ctx: NodeContext) -> Any:
    async def handle_error(error: Exception) -> Response:
        if isinstance(error, HTTPException):
            refusal = Refusal(ResultCode.not_found, str(error))
        else:
            ctx.log.write(EventCode.internal_fault, detail=repr(error))
            refusal = Refusal(ResultCode.internal)
        return _to_response(make_refusal_reply(refusal), '')

    return handle_error


def _add_model_and_service_routes(app: QuartTrio, ctx: NodeContext) -> None:
    @app.post('/v1/chat/completions')
    async def complete() -> Response:
        async def handle_call(
            caller: Caller, body: bytes, permit: AdmissionPermit
        ) -> Result[Reply, Refusal]:
            checked = _read_model_request(body)
            if checked.is_error():
                return checked
            session_header = request.headers.get('X-Session-Mark', '')
            planned = plan_call(ctx, caller, checked.ok, session_header)
            if planned.is_error():
                return planned
            return await answer_model(ctx, planned.ok, permit)

        return await _handle_request(ctx, handle_call)

    @app.route('/services/<name>/<path:path>', methods=_SERVICE_METHODS)
    async def call_service(name: str, path: str) -> Response:
        async def handle_call(
            caller: Caller, body: bytes, _permit: AdmissionPermit
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

        return await _handle_request(ctx, handle_call)


def _add_draft_routes(app: QuartTrio, ctx: NodeContext) -> None:
    @app.post('/v1/drafts')
    async def post_draft() -> Response:
        async def handle_call(
            caller: Caller, body: bytes, _permit: AdmissionPermit
        ) -> Result[Reply, Refusal]:
            checked = _read_model_request(body)
            if checked.is_error():
                return checked
            planned = plan_call(ctx, caller, checked.ok, '')
            if planned.is_error():
                return planned
            stored = await store_draft(ctx, caller, body)
            return stored.map(
                lambda draft_id: make_reply(
                    ResultCode.draft_kept, {'id': draft_id, 'state': 'kept'}
                )
            )

        return await _handle_request(ctx, handle_call)

    @app.get('/v1/drafts/<draft_id>')
    async def get_draft(draft_id: str) -> Response:
        async def handle_call(
            caller: Caller, _body: bytes, _permit: AdmissionPermit
        ) -> Result[Reply, Refusal]:
            fetched = await fetch_draft(ctx, caller.team, draft_id)
            return fetched.map(
                lambda draft: make_reply(ResultCode.answered, draft)
            )

        return await _handle_request(ctx, handle_call)


def _add_read_routes(app: QuartTrio, ctx: NodeContext) -> None:
    @app.get('/v1/addresses')
    async def get_addresses() -> Response:
        return _to_response(make_addresses_reply(ctx, request.args), '')

    @app.get('/v1/models')
    async def list_models() -> Response:
        caller = authenticate_caller(ctx)
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
        accepting = check_accepting_requests(ctx)
        if accepting.is_error() or ctx.leaving:
            refusal = Refusal(ResultCode.draining)
            if accepting.is_error():
                refusal = accepting.error
            return _to_response(make_refusal_reply(refusal), '')
        return _to_response(make_reply(ResultCode.answered, {'ok': True}), '')


async def _handle_request(
    ctx: NodeContext, handle_call: RequestHandler
) -> Response:
    """Authenticate, admit and handle one request; log and count it."""
    started_s = trio.current_time()
    caller = authenticate_caller(ctx)
    body = await read_body(ctx)
    request_id = caller.ok.request_id if caller.is_ok() else ''
    ctx.metrics.count('requests')
    outcome: Result[Any, Refusal] = _first_error(
        caller, body, check_accepting_requests(ctx)
    )
    if outcome.is_ok():
        ctx.log.write(
            EventCode.request_received,
            request=request_id,
            team=caller.ok.team,
            path=request.path,
        )
        outcome = await _answer_with_permit(
            ctx, handle_call, caller.ok, body.ok
        )
    ctx.metrics.time_ms('answer_begun', (trio.current_time() - started_s) * _MS)
    ctx.metrics.gauge('requests_in_progress', ctx.n_running)
    if outcome.is_ok():
        return _to_response(outcome.ok, request_id)
    refusal = outcome.error
    ctx.metrics.count('refusals')
    ctx.log.write(
        EventCode.request_refused, request=request_id, code=int(refusal.code)
    )
    reply = make_refusal_reply(refusal, list_alternative_addresses(ctx))
    if refusal.code in {ResultCode.body_timeout, ResultCode.body_too_large}:
        reply.headers_by_name['Connection'] = 'close'
    return _to_response(reply, request_id)


async def _answer_with_permit(
    ctx: NodeContext, handle_call: RequestHandler, caller: Caller, body: bytes
) -> Result[Reply, Refusal]:
    acquired = acquire_permit(ctx, caller.team)
    if acquired.is_error():
        return Error(acquired.error)
    permit = acquired.ok
    permit_handed_over = False
    try:
        outcome = await handle_call(caller, body, permit)
        permit_handed_over = outcome.is_ok() and not isinstance(
            outcome.ok.body, bytes
        )
        return outcome
    finally:
        if not permit_handed_over:
            permit.release()


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
