"""Operator endpoints: tables, change history, bills and node status."""

from typing import Any

import orjson
import trio
from expression import Error, Ok, Result
from quart import Response, request
from quart_trio import QuartTrio
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.constraints import (
    Container,
    Number,
    Text,
    check_fields,
)
from turmericcrank_core.errors import Refusal
from turmericcrank_core.tables import (
    check_tables,
    describe_patch,
)

from turmericcrank_node.api.request_admission import (
    authenticate_operator,
    read_body,
)
from turmericcrank_node.api.responses import (
    ApiResponse,
    make_error_response,
    make_json_response,
    make_quart_response,
)
from turmericcrank_node.membership.peer_sampling import ping_peer
from turmericcrank_node.membership.vm_list import list_peers
from turmericcrank_node.state.node_context import NodeContext
from turmericcrank_node.state.table_revisions import (
    accept_edit,
    encode_patch,
    read_history,
    read_raw_at,
)

__all__ = ('add_admin_routes', 'parse_edit')

_MAX_HISTORY_ROWS = 50
_MAX_BILLS_PAGE = 500
_MAX_REVISION = 1e12
_REVISION = 'revision'
_EDIT_FIELDS = {
    _REVISION: Number(0, _MAX_REVISION, whole=True),
    'tables': Container(dict),
    'token': Text(),
}


def add_admin_routes(app: QuartTrio, ctx: NodeContext) -> None:
    """Register the operator endpoints with the application."""
    _add_table_routes(app, ctx)
    _add_history_routes(app, ctx)
    _add_status_route(app, ctx)


def _add_table_routes(app: QuartTrio, ctx: NodeContext) -> None:
    @app.get('/admin/tables')
    async def get_tables() -> Response:
        return await _handle_operator_request(ctx, _show_tables)

    @app.post('/admin/tables')
    async def post_tables() -> Response:
        return await _handle_operator_request(ctx, _apply_tables)


def _add_history_routes(app: QuartTrio, ctx: NodeContext) -> None:
    @app.get('/admin/history')
    async def get_history() -> Response:
        return await _handle_operator_request(ctx, _show_history)

    @app.get('/admin/bills')
    async def get_bills() -> Response:
        return await _handle_operator_request(ctx, _show_bills)


def _add_status_route(app: QuartTrio, ctx: NodeContext) -> None:
    @app.get('/admin/status')
    async def get_status() -> Response:
        return await _handle_operator_request(ctx, _show_status)


async def _handle_operator_request(
    ctx: NodeContext, handle_call: Any
) -> Response:
    operator = authenticate_operator(ctx)
    body = await read_body(ctx)
    if operator.is_error():
        return make_quart_response(make_error_response(operator.error), '')
    if body.is_error():
        return make_quart_response(make_error_response(body.error), '')
    outcome = await handle_call(ctx, operator.ok, body.ok)
    if outcome.is_ok():
        return make_quart_response(outcome.ok, '')
    return make_quart_response(make_error_response(outcome.error), '')


async def _show_tables(
    ctx: NodeContext, _operator: str, _body: bytes
) -> Result[ApiResponse, Refusal]:
    revision = int(request.args.get(_REVISION, ctx.revision.revision))
    raw: Any = ctx.revision.raw
    if revision != ctx.revision.revision:
        raw = await read_raw_at(ctx, revision)
        if raw is None:
            return Error(Refusal(ResultCode.store_down, retry_after_s=2))
    body = {_REVISION: revision, 'tables': raw}
    return Ok(make_json_response(ResultCode.answered, body))


async def _apply_tables(
    ctx: NodeContext, operator: str, body: bytes
) -> Result[ApiResponse, Refusal]:
    parsed = parse_edit(body)
    if parsed.is_error():
        return Error(parsed.error)
    edit = parsed.ok
    checked = check_tables(edit['tables'])
    if checked.is_error():
        errors = '; '.join(str(field_error) for field_error in checked.error)
        return Error(Refusal(ResultCode.invalid_tables, errors))
    accepted = await accept_edit(
        ctx, edit[_REVISION], edit['tables'], edit['token'], operator
    )
    if accepted.is_ok():
        response_body = {_REVISION: accepted.ok.revision}
        return Ok(make_json_response(ResultCode.answered, response_body))
    if accepted.error.code is ResultCode.conflict:
        return Error(await _describe_conflict(ctx, edit[_REVISION]))
    return Error(accepted.error)


def parse_edit(body: bytes) -> Result[dict[str, Any], Refusal]:
    """Decode the body of an operator's edit, or return what is wrong."""
    try:
        edit = orjson.loads(body)
    except ValueError as error:
        return Error(Refusal(ResultCode.bad_json, str(error)))
    if not isinstance(edit, dict):
        return Error(Refusal(ResultCode.bad_field, 'body: an object.'))
    errors = [
        str(field_error)
        for field_error in check_fields(edit, _EDIT_FIELDS, 'edit')
    ]
    if errors:
        return Error(Refusal(ResultCode.bad_field, '; '.join(errors)))
    return Ok(edit)


async def _describe_conflict(ctx: NodeContext, base_revision: int) -> Refusal:
    """Describe the concurrent edit that caused the conflict."""
    base = await read_raw_at(ctx, base_revision)
    history = await read_history(ctx, base_revision + 2, 1)
    lines: list[str] = []
    if history.is_ok() and history.ok and base is not None:
        patch = history.ok[0]
        lines.append(f'{patch.operator} made revision {patch.revision}:')
        lines.extend(describe_patch(base, patch.changes))
    return Refusal(ResultCode.conflict, '\n'.join(lines))


async def _show_history(
    ctx: NodeContext, _operator: str, _body: bytes
) -> Result[ApiResponse, Refusal]:
    before = int(request.args.get('before', ctx.revision.revision + 1))
    read = await read_history(ctx, before, _MAX_HISTORY_ROWS)
    if read.is_error():
        return Error(Refusal(ResultCode.store_down, retry_after_s=2))
    rows = [encode_patch(patch) for patch in read.ok]
    return Ok(make_json_response(ResultCode.answered, {'history': rows}))


async def _show_bills(
    ctx: NodeContext, _operator: str, _body: bytes
) -> Result[ApiResponse, Refusal]:
    read = await ctx.store.scan(
        'bills', request.args.get('after', ''), _MAX_BILLS_PAGE
    )
    if read.is_error():
        return Error(Refusal(ResultCode.store_down, retry_after_s=2))
    rows = [{'key': found.key, 'bills': found.body} for found in read.ok]
    return Ok(make_json_response(ResultCode.answered, {'rows': rows}))


async def _show_status(
    ctx: NodeContext, _operator: str, _body: bytes
) -> Result[ApiResponse, Refusal]:
    """Sample every listed node now and report the status of each."""
    peers = list_peers(ctx)
    async with trio.open_nursery() as nursery:
        for row in peers:
            nursery.start_soon(ping_peer, ctx, row.vm_id)
    nodes = [_describe_this_node(ctx)]
    nodes.extend(_describe_peer(ctx, peer.vm_id) for peer in peers)
    body = {
        _REVISION: ctx.revision.revision,
        'freshness': str(ctx.freshness()),
        'stops': ctx.reasons_by_stop,
        'nodes': nodes,
        'peer_bytes': ctx.n_peer_bytes,
    }
    return Ok(make_json_response(ResultCode.answered, body))


def _describe_this_node(ctx: NodeContext) -> dict[str, Any]:
    return {
        'node': ctx.settings.node_id,
        'heard': True,
        _REVISION: ctx.revision.revision,
        'load': ctx.n_running / ctx.settings.node_capacity,
        'leaving': ctx.leaving,
    }


def _describe_peer(ctx: NodeContext, peer_id: str) -> dict[str, Any]:
    view = ctx.statuses_by_peer.get(peer_id)
    sample = ctx.window.samples_by_id.get(peer_id)
    has_responded = sample is not None and sample.has_responded
    return {
        'node': peer_id,
        'heard': has_responded,
        _REVISION: view.revision if view and has_responded else None,
        'load': view.load if view and has_responded else None,
        'leaving': bool(view and view.leaving),
    }
