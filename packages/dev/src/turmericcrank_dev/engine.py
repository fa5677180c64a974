"""Fake model engine, run by ``python -m turmericcrank_dev.engine``.

Implements the chat completions API with complete and streamed responses,
uses continuous batching with a fixed number of slots, reports its load,
resumes streams, and executes orders that carry a current fencing token.
"""

import json
import os
import time
import uuid
from collections.abc import AsyncIterator
from typing import Any

import fire
import trio
from quart import Response, request
from quart_trio import QuartTrio

from turmericcrank_dev.engine_state import EngineState, cache_prefix
from turmericcrank_dev.stand_in_web import make_app, serve_app

__all__ = ('main', 'make_engine_app')

_SERVER_ERROR = 500
_CONFLICT = 409
_DEFAULT_TOKENS = 12
_PREFIX_CHARS = 64
_SLOW_FACTOR = 20
_POOR_QUALITY = 20
_CRASH_EXIT_CODE = 3
_PREFILL_MISS_TOKENS = 4


def make_engine_app(state: EngineState) -> QuartTrio:
    """Create the web application for one engine state."""
    app = make_app('engine')
    limiter = trio.CapacityLimiter(state.slots)
    _add_completions(app, state, limiter)
    _add_control(app, state)
    return app


def main(  # noqa: WPS211 (one option per engine property)
    port: int,
    model: str = 'small',
    version: str = '1',
    quality: int = 60,
    token_delay_s: float = 0.002,
    slots: int = 8,
    checks_fencing: bool = True,
    tls_folder: str = '',
) -> None:
    """Run one fake engine.

    Args:
        port: TCP port on 127.0.0.1.
        model: Model name.
        version: Version name.
        quality: Quality of the answers, 0 to 100.
        token_delay_s: Time between tokens, in seconds.
        slots: Number of streams that run concurrently.
        checks_fencing: Whether orders with an old fencing token are rejected.
        tls_folder: Folder of ``cert.pem`` and ``key.pem``; empty disables TLS.
    """
    state = EngineState(
        str(model), str(version), quality, token_delay_s, slots, checks_fencing
    )
    serve_app(make_engine_app(state), port, tls_folder)


def _make_json_response(body: Any, status: int = 200) -> Response:
    return Response(
        json.dumps(body), status=status, content_type='application/json'
    )


def _generate_tokens(state: EngineState, payload: dict[str, Any]) -> list[str]:
    prompt = payload['messages'][-1]['content']
    quality = state.quality
    if state.faults.mode == 'poor':
        quality = _POOR_QUALITY
    start = f'{state.model}@{state.version} quality={quality} to {prompt}:'
    n_tokens = int(payload.get('max_tokens') or _DEFAULT_TOKENS)
    tokens = [f'{word} ' for word in start.split()]
    tokens.extend(f't{index} ' for index in range(n_tokens))
    return tokens[:n_tokens] if payload.get('max_tokens') else tokens


def _add_completions(
    app: QuartTrio, state: EngineState, limiter: trio.CapacityLimiter
) -> None:
    @app.post('/v1/chat/completions')
    async def complete() -> Response:
        payload = await request.get_json(force=True)
        prompt = '\n'.join(
            str(message['content']) for message in payload['messages']
        )
        if state.faults.crash_on in prompt:
            os._exit(_CRASH_EXIT_CODE)
        if state.faults.mode == 'error':
            return _make_json_response(
                {'error': {'message': 'broken'}}, _SERVER_ERROR
            )
        stream_id = request.headers.get('X-Request-Id') or uuid.uuid4().hex
        n_skipped = int(request.headers.get('X-Resume-After', 0))
        tokens = _generate_tokens(state, payload)
        is_cached = cache_prefix(state, prompt[:_PREFIX_CHARS])
        body = _iter_events(
            state,
            limiter,
            _Completion(payload, tokens, is_cached, n_skipped, stream_id),
        )
        if payload.get('stream'):
            return Response(body, content_type='text/event-stream')
        async for _event in body:
            continue
        return _make_json_response(
            _build_response(state, payload, tokens, stream_id)
        )


class _Completion:
    """Request and progress data of one completion."""

    __slots__ = ('is_cached', 'n_skipped', 'payload', 'stream_id', 'tokens')

    def __init__(
        self,
        payload: dict[str, Any],
        tokens: list[str],
        is_cached: bool,
        n_skipped: int,
        stream_id: str,
    ) -> None:
        self.payload = payload
        self.tokens = tokens
        self.is_cached = is_cached
        self.n_skipped = n_skipped
        self.stream_id = stream_id


async def _iter_events(
    state: EngineState, limiter: trio.CapacityLimiter, completion: _Completion
) -> AsyncIterator[bytes]:
    state.n_started += 1
    state.n_running += 1
    delay_s = state.token_delay_s
    if state.faults.mode == 'slow':
        delay_s *= _SLOW_FACTOR
    try:
        async with limiter:
            if not completion.is_cached:
                await trio.sleep(delay_s * _PREFILL_MISS_TOKENS)
            async for event in _iter_tokens(state, completion, delay_s):
                yield event
    finally:
        state.n_running -= 1


async def _iter_tokens(
    state: EngineState, completion: _Completion, delay_s: float
) -> AsyncIterator[bytes]:
    for index, token in enumerate(completion.tokens):
        if index < completion.n_skipped:
            continue
        await trio.sleep(delay_s)
        if state.faults.die_after_tokens == index + 1:
            raise ConnectionError(
                'stream aborted by the fault die_after_tokens'
            )
        yield _encode_event(
            _build_chunk(state, completion, {'content': token}, None)
        )
    final = _build_chunk(state, completion, {}, 'stop')
    final['usage'] = _build_usage(completion.payload, completion.tokens)
    yield _encode_event(final)
    yield b'data: [DONE]\n\n'


def _encode_event(body: dict[str, Any]) -> bytes:
    return b'data: %s\n\n' % json.dumps(body).encode()


def _build_chunk(
    state: EngineState,
    completion: _Completion,
    delta: dict[str, str],
    finish_reason: str | None,
) -> dict[str, Any]:
    return {
        'id': f'chatcmpl-{completion.stream_id}',
        'object': 'chat.completion.chunk',
        'created': int(time.time()),
        'model': f'{state.model}@{state.version}',
        'choices': [
            {'index': 0, 'delta': delta, 'finish_reason': finish_reason}
        ],
    }


def _build_usage(payload: dict[str, Any], tokens: list[str]) -> dict[str, int]:
    n_prompt_tokens = sum(
        len(str(message['content']).split()) for message in payload['messages']
    )
    return {
        'prompt_tokens': n_prompt_tokens,
        'completion_tokens': len(tokens),
        'total_tokens': n_prompt_tokens + len(tokens),
    }


def _build_response(
    state: EngineState,
    payload: dict[str, Any],
    tokens: list[str],
    stream_id: str,
) -> dict[str, Any]:
    message = {'role': 'assistant', 'content': ''.join(tokens)}
    return {
        'id': f'chatcmpl-{stream_id}',
        'object': 'chat.completion',
        'created': int(time.time()),
        'model': f'{state.model}@{state.version}',
        'choices': [{'index': 0, 'message': message, 'finish_reason': 'stop'}],
        'usage': _build_usage(payload, tokens),
    }


def _add_control(app: QuartTrio, state: EngineState) -> None:
    @app.get('/load')
    async def get_load() -> Response:
        return _make_json_response(
            {
                'running': state.n_running,
                'slots': state.slots,
                'started': state.n_started,
                'model_version': f'{state.model}@{state.version}',
                'instance': state.instance,
            }
        )

    @app.post('/orders')
    async def execute_order() -> Response:
        order = await request.get_json(force=True)
        if state.checks_fencing and order['fence'] < state.fencing_token:
            return _make_json_response(
                {'error': 'old fencing number'}, _CONFLICT
            )
        state.fencing_token = max(state.fencing_token, order['fence'])
        state.orders.append(order)
        if order['action'] == 'load':
            state.model = order['model']
            state.version = order['version']
        return _make_json_response({'orders': len(state.orders)})

    @app.get('/orders')
    async def list_orders() -> Response:
        return _make_json_response({'orders': state.orders})

    @app.post('/faults')
    async def set_faults() -> Response:
        payload = await request.get_json(force=True)
        for name, setting in payload.items():
            setattr(state.faults, name, setting)
        return _make_json_response({})


if __name__ == '__main__':
    fire.Fire(main)
