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
    make_addresses_response,
)
from turmericcrank_node.api.admin_routes import add_admin_routes
from turmericcrank_node.api.drafts import fetch_draft, store_draft
from turmericcrank_node.api.model_handler import handle_model_request
from turmericcrank_node.api.request_admission import (
    AdmissionPermit,
    AuthenticatedClient,
    acquire_permit,
    authenticate_client,
    check_accepting_requests,
    read_body,
)
from turmericcrank_node.api.request_planning import plan_call
from turmericcrank_node.api.responses import (
    ApiResponse,
    make_error_response,
    make_json_response,
    make_quart_response,
)
from turmericcrank_node.api.service_handler import (
    ServiceCall,
    find_service_route,
    handle_service_call,
)
from turmericcrank_node.state.node_context import NodeContext

__all__ = ('make_app', 'read_model_request')

RequestHandler = Callable[
    [AuthenticatedClient, bytes, AdmissionPermit],
    Awaitable[Result[ApiResponse, Refusal]],
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
    _add_discovery_and_health_routes(app, ctx)
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
        return _to_response(make_error_response(refusal), '')

    return handle_error


def _add_model_and_service_routes(app: QuartTrio, ctx: NodeContext) -> None:
    @app.post('/v1/chat/completions')
    async def complete() -> Response:
        async def handle_call(
            client: AuthenticatedClient, body: bytes, permit: AdmissionPermit
        ) -> Result[ApiResponse, Refusal]:
            checked = read_model_request(body)
            if checked.is_error():
                return checked
            session_header = request.headers.get('X-Session-Mark', '')
            planned = plan_call(ctx, client, checked.ok, session_header)
            if planned.is_error():
                return planned
            return await handle_model_request(ctx, planned.ok, permit)

        return await _handle_request(ctx, handle_call)

    @app.route('/services/<name>/<path:path>', methods=_SERVICE_METHODS)
    async def call_service(name: str, path: str) -> Response:
        async def handle_call(
            client: AuthenticatedClient, body: bytes, _permit: AdmissionPermit
        ) -> Result[ApiResponse, Refusal]:
            found = find_service_route(ctx, name, client)
            if found.is_error():
                return found
            query = request.query_string.decode()
            call = ServiceCall(
                client,
                found.ok,
                request.method,
                f'{path}?{query}' if query else path,
                request.headers.get('Content-Type', 'application/json'),
                body,
            )
            return await handle_service_call(ctx, call)

        return await _handle_request(ctx, handle_call)


def _add_draft_routes(app: QuartTrio, ctx: NodeContext) -> None:
    @app.post('/v1/drafts')
    async def post_draft() -> Response:
        async def handle_call(
            client: AuthenticatedClient, body: bytes, _permit: AdmissionPermit
        ) -> Result[ApiResponse, Refusal]:
            checked = read_model_request(body)
            if checked.is_error():
                return checked
            planned = plan_call(ctx, client, checked.ok, '')
            if planned.is_error():
                return planned
            stored = await store_draft(ctx, client, body)
            return stored.map(
                lambda draft_id: make_json_response(
                    ResultCode.draft_kept, {'id': draft_id, 'state': 'kept'}
                )
            )

        return await _handle_request(ctx, handle_call)

    @app.get('/v1/drafts/<draft_id>')
    async def get_draft(draft_id: str) -> Response:
        async def handle_call(
            client: AuthenticatedClient, _body: bytes, _permit: AdmissionPermit
        ) -> Result[ApiResponse, Refusal]:
            fetched = await fetch_draft(ctx, client.team, draft_id)
            return fetched.map(
                lambda draft: make_json_response(ResultCode.answered, draft)
            )

        return await _handle_request(ctx, handle_call)


def _add_discovery_and_health_routes(app: QuartTrio, ctx: NodeContext) -> None:
    @app.get('/v1/addresses')
    async def get_addresses() -> Response:
        return _to_response(make_addresses_response(ctx, request.args), '')

    @app.get('/v1/models')
    async def list_models() -> Response:
        client = authenticate_client(ctx)
        if client.is_error():
            return _to_response(make_error_response(client.error), '')
        names = [
            route.name
            for route in ctx.revision.tables.routes_by_name.values()
            if client.ok.team in route.teams
        ]
        rows = [{'id': name, 'object': 'model'} for name in sorted(names)]
        body = {'object': 'list', 'data': rows}
        return _to_response(make_json_response(ResultCode.answered, body), '')

    @app.get('/health')
    async def get_health() -> Response:
        return _to_response(
            make_json_response(ResultCode.answered, {'ok': True}), ''
        )

    @app.get('/ready')
    async def get_ready() -> Response:
        accepting = check_accepting_requests(ctx)
        if accepting.is_error() or ctx.leaving:
            refusal = Refusal(ResultCode.draining)
            if accepting.is_error():
                refusal = accepting.error
            return _to_response(make_error_response(refusal), '')
        return _to_response(
            make_json_response(ResultCode.answered, {'ok': True}), ''
        )


async def _handle_request(
    ctx: NodeContext, handle_call: RequestHandler
) -> Response:
    """Authenticate, admit and handle one request; log and count it."""
    started_s = trio.current_time()
    client = authenticate_client(ctx)
    body = await read_body(ctx)
    request_id = client.ok.request_id if client.is_ok() else ''
    ctx.metrics.count('requests')
    outcome: Result[Any, Refusal] = _first_error(
        client, body, check_accepting_requests(ctx)
    )
    if outcome.is_ok():
        ctx.log.write(
            EventCode.request_received,
            request=request_id,
            team=client.ok.team,
            path=request.path,
        )
        outcome = await _handle_with_permit(
            ctx, handle_call, client.ok, body.ok
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
    api_response = make_error_response(refusal, list_alternative_addresses(ctx))
    if refusal.code in {ResultCode.body_timeout, ResultCode.body_too_large}:
        api_response.headers_by_name['Connection'] = 'close'
    return _to_response(api_response, request_id)


async def _handle_with_permit(
    ctx: NodeContext,
    handle_call: RequestHandler,
    client: AuthenticatedClient,
    body: bytes,
) -> Result[ApiResponse, Refusal]:
    acquired = acquire_permit(ctx, client.team)
    if acquired.is_error():
        return Error(acquired.error)
    permit = acquired.ok
    permit_handed_over = False
    try:
        outcome = await handle_call(client, body, permit)
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


def read_model_request(body: bytes) -> Result[ModelRequest, Refusal]:
    """Decode the body of a model request, or return what is wrong."""
    try:
        return check_model_request(orjson.loads(body), body)
    except ValueError as error:
        return Error(Refusal(ResultCode.bad_json, str(error)))


def _to_response(api_response: ApiResponse, request_id: str) -> Response:
    return make_quart_response(api_response, request_id)
