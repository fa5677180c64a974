"""Fake platform, run by ``python -m turmericcrank_dev.platform``.

Provides a table service with transactions, an object store, a VM list, a
rating service and a weight store over HTTP and JSON; ``docs/PLATFORM.md``
describes the requests. ``POST /faults`` injects faults.
"""

import json
import time
from typing import Any

import fire
import trio
from quart import Response, request
from quart_trio import QuartTrio

from turmericcrank_dev.platform_state import (
    PlatformState,
    VmChange,
    transact,
)
from turmericcrank_dev.ratings import rate_answer
from turmericcrank_dev.stand_in_web import make_app, serve_app

__all__ = ('main', 'make_platform_app')

_UNAVAILABLE = 503
_NOT_FOUND = 404
_TOO_MANY = 429
_LOST_RESPONSE_DELAY_S = 30
_WEIGHT_RATE_PER_S = 2
_WEIGHT_BURST = 4
_UNAFFECTED_PATHS = frozenset(('/faults', '/counts'))


def make_platform_app(state: PlatformState) -> QuartTrio:
    """Create the web application for one platform state."""
    app = make_app('platform')
    app.before_request(_make_fault_hook(state))
    _add_tables(app, state)
    _add_objects(app, state)
    _add_vms(app, state)
    _add_ratings(app, state)
    _add_weights(app, state)
    _add_faults(app, state)
    return app


def main(port: int, tls_folder: str = '') -> None:
    """Run the fake platform.

    Args:
        port: TCP port on 127.0.0.1.
        tls_folder: Folder of ``cert.pem`` and ``key.pem``; empty disables TLS.
    """
    serve_app(make_platform_app(PlatformState()), port, tls_folder)


def _make_json_response(body: Any, status: int = 200) -> Response:
    return Response(
        json.dumps(body), status=status, content_type='application/json'
    )


def _make_fault_hook(state: PlatformState) -> Any:
    async def apply_faults() -> Response | None:
        if request.path in _UNAFFECTED_PATHS:
            return None
        if state.faults.delay_s:
            await trio.sleep(state.faults.delay_s)
        if state.faults.outage:
            await request.get_data()
            return _make_json_response({'error': 'outage'}, _UNAVAILABLE)
        return None

    return apply_faults


def _add_tables(app: QuartTrio, state: PlatformState) -> None:
    @app.post('/tables/transact')
    async def transact_rows() -> Response:
        payload = await request.get_json(force=True)
        state.n_writes += 1
        outcomes = transact(
            state, payload['operations'], payload.get('independent', False)
        )
        if _consume_lost_response(state, payload['operations']):
            await trio.sleep(_LOST_RESPONSE_DELAY_S)
        return _make_json_response({'outcomes': outcomes})

    @app.post('/tables/read')
    async def read_rows() -> Response:
        payload = await request.get_json(force=True)
        state.n_reads += 1
        rows = []
        for table, key in payload['keys']:
            row = state.rows_by_table.get(table, {}).get(key)
            version = row.version if row else 0
            rows.append({'version': version, 'body': row.body if row else None})
        return _make_json_response({'rows': rows})

    @app.post('/tables/scan')
    async def scan_rows() -> Response:
        payload = await request.get_json(force=True)
        state.n_reads += 1
        rows = state.rows_by_table.get(payload['table'], {})
        keys = sorted(key for key in rows if key > payload.get('after', ''))
        page = keys[: payload.get('limit', 100)]
        return _make_json_response(
            {
                'rows': [
                    {
                        'key': key,
                        'version': rows[key].version,
                        'body': rows[key].body,
                    }
                    for key in page
                ]
            }
        )


def _consume_lost_response(
    state: PlatformState, operations: list[dict[str, Any]]
) -> bool:
    faults = state.faults
    tables = {operation['table'] for operation in operations}
    if faults.lose_table and faults.lose_table not in tables:
        return False
    faults.lose_replies -= 1
    return faults.lose_replies >= 0


def _add_objects(app: QuartTrio, state: PlatformState) -> None:
    @app.put('/objects/<path:name>')
    async def put_object(name: str) -> Response:
        state.n_writes += 1
        state.objects_by_name[name] = await request.get_data()
        return _make_json_response({})

    @app.get('/objects/<path:name>')
    async def get_object(name: str) -> Response:
        state.n_reads += 1
        body = state.objects_by_name.get(name)
        if body is None:
            return _make_json_response({'error': 'absent'}, _NOT_FOUND)
        return Response(body, content_type='application/octet-stream')


def _add_vms(app: QuartTrio, state: PlatformState) -> None:
    @app.put('/vms/<vm_id>')
    async def put_vm(vm_id: str) -> Response:
        row = await request.get_json(force=True)
        row['id'] = vm_id
        change = VmChange(len(state.vm_changes) + 1, time.monotonic(), row)
        state.vm_changes.append(change)
        return _make_json_response({})

    @app.get('/vms')
    async def list_vms() -> Response:
        since = int(request.args.get('since', 0))
        visible_until_s = time.monotonic() - state.faults.vm_lag_s
        state.n_reads += 1
        changes = [
            change
            for change in state.vm_changes
            if change.sequence > since and change.at_s <= visible_until_s
        ]
        newest = changes[-1].sequence if changes else since
        rows_by_id = {change.row['id']: change.row for change in changes}
        return _make_json_response(
            {'sequence': newest, 'vms': list(rows_by_id.values())}
        )


def _add_ratings(app: QuartTrio, state: PlatformState) -> None:
    @app.post('/ratings')
    async def rate() -> Response:
        payload = await request.get_json(force=True)
        if state.faults.rating_outage:
            return _make_json_response({'error': 'outage'}, _UNAVAILABLE)
        return _make_json_response(
            {'rating': rate_answer(payload['prompt'], payload['answer'])}
        )


def _add_weights(app: QuartTrio, state: PlatformState) -> None:
    @app.post('/weights/grant')
    async def grant_weights() -> Response:
        now_s = time.monotonic()
        earned = (now_s - state.weight_refilled_s) * _WEIGHT_RATE_PER_S
        state.weight_tokens = min(_WEIGHT_BURST, state.weight_tokens + earned)
        state.weight_refilled_s = now_s
        if state.weight_tokens < 1:
            wait_s = (1 - state.weight_tokens) / _WEIGHT_RATE_PER_S
            return _make_json_response({'retry_after_s': wait_s}, _TOO_MANY)
        state.weight_tokens -= 1
        return _make_json_response({})


def _add_faults(app: QuartTrio, state: PlatformState) -> None:
    @app.post('/faults')
    async def set_faults() -> Response:
        payload = await request.get_json(force=True)
        for name, setting in payload.items():
            setattr(state.faults, name, setting)
        return _make_json_response({})

    @app.get('/counts')
    async def get_counts() -> Response:
        return _make_json_response(
            {'writes': state.n_writes, 'reads': state.n_reads}
        )


if __name__ == '__main__':
    fire.Fire(main)
