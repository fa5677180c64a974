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

from turmericcrank_dev.engine_state import EngineState, touch_prefix
from turmericcrank_dev.stand_in_web import make_app, serve_app

__all__ = ('main', 'make_engine_app')

_SERVER_ERROR = 500
_CONFLICT = 409
_DEFAULT_TOKENS = 12
_PREFIX_CHARS = 64
_SLOW_FACTOR = 20
_POOR_QUALITY = 20
_CRASH_STATUS = 3
_MISS_TOKENS = 4


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


def _reply(body: Any, status: int = 200) -> Response:
    return Response(
        json.dumps(body), status=status, content_type='application/json'
    )


def _plan_tokens(state: EngineState, asked: dict[str, Any]) -> list[str]:
    prompt = asked['messages'][-1]['content']
    quality = state.quality
    if state.faults.mode == 'poor':
        quality = _POOR_QUALITY
    start = f'{state.model}@{state.version} quality={quality} to {prompt}:'
    n_tokens = int(asked.get('max_tokens') or _DEFAULT_TOKENS)
    tokens = [f'{word} ' for word in start.split()]
    tokens.extend(f't{index} ' for index in range(n_tokens))
    return tokens[:n_tokens] if asked.get('max_tokens') else tokens


def _add_completions(
    app: QuartTrio, state: EngineState, limiter: trio.CapacityLimiter
) -> None:
    @app.post('/v1/chat/completions')
    async def complete() -> Response:
        asked = await request.get_json(force=True)
        prompt = '\n'.join(
            str(message['content']) for message in asked['messages']
        )
        if state.faults.crash_on in prompt:
            os._exit(_CRASH_STATUS)
        if state.faults.mode == 'error':
            return _reply({'error': {'message': 'broken'}}, _SERVER_ERROR)
        stream_id = request.headers.get('X-Request-Id') or uuid.uuid4().hex
        n_done = int(request.headers.get('X-Resume-After', 0))
        tokens = _plan_tokens(state, asked)
        hit = touch_prefix(state, prompt[:_PREFIX_CHARS])
        body = _iter_events(
            state, limiter, _Work(asked, tokens, hit, n_done, stream_id)
        )
        if asked.get('stream'):
            return Response(body, content_type='text/event-stream')
        async for _event in body:
            continue
        return _reply(_whole_answer(state, asked, tokens, stream_id))


class _Work:
    """Request and progress data of one completion."""

    __slots__ = ('asked', 'hit', 'n_done', 'stream_id', 'tokens')

    def __init__(
        self,
        asked: dict[str, Any],
        tokens: list[str],
        hit: bool,
        n_done: int,
        stream_id: str,
    ) -> None:
        self.asked = asked
        self.tokens = tokens
        self.hit = hit
        self.n_done = n_done
        self.stream_id = stream_id


async def _iter_events(
    state: EngineState, limiter: trio.CapacityLimiter, work: _Work
) -> AsyncIterator[bytes]:
    state.n_started += 1
    state.n_running += 1
    delay_s = state.token_delay_s
    if state.faults.mode == 'slow':
        delay_s *= _SLOW_FACTOR
    try:
        async with limiter:
            if not work.hit:
                await trio.sleep(delay_s * _MISS_TOKENS)
            async for event in _iter_tokens(state, work, delay_s):
                yield event
    finally:
        state.n_running -= 1


async def _iter_tokens(
    state: EngineState, work: _Work, delay_s: float
) -> AsyncIterator[bytes]:
    for index, token in enumerate(work.tokens):
        if index < work.n_done:
            continue
        await trio.sleep(delay_s)
        if state.faults.die_after_tokens == index + 1:
            raise ConnectionError(
                'stream aborted by the fault die_after_tokens'
            )
        yield _event(_chunk(state, work, {'content': token}, None))
    final = _chunk(state, work, {}, 'stop')
    final['usage'] = _usage(work.asked, work.tokens)
    yield _event(final)
    yield b'data: [DONE]\n\n'


def _event(body: dict[str, Any]) -> bytes:
    return b'data: %s\n\n' % json.dumps(body).encode()


def _chunk(
    state: EngineState, work: _Work, delta: dict[str, str], finish: str | None
) -> dict[str, Any]:
    return {
        'id': f'chatcmpl-{work.stream_id}',
        'object': 'chat.completion.chunk',
        'created': int(time.time()),
        'model': f'{state.model}@{state.version}',
        'choices': [{'index': 0, 'delta': delta, 'finish_reason': finish}],
    }


def _usage(asked: dict[str, Any], tokens: list[str]) -> dict[str, int]:
    n_in = sum(
        len(str(message['content']).split()) for message in asked['messages']
    )
    return {
        'prompt_tokens': n_in,
        'completion_tokens': len(tokens),
        'total_tokens': n_in + len(tokens),
    }


def _whole_answer(
    state: EngineState, asked: dict[str, Any], tokens: list[str], stream_id: str
) -> dict[str, Any]:
    message = {'role': 'assistant', 'content': ''.join(tokens)}
    return {
        'id': f'chatcmpl-{stream_id}',
        'object': 'chat.completion',
        'created': int(time.time()),
        'model': f'{state.model}@{state.version}',
        'choices': [{'index': 0, 'message': message, 'finish_reason': 'stop'}],
        'usage': _usage(asked, tokens),
    }


def _add_control(app: QuartTrio, state: EngineState) -> None:
    @app.get('/load')
    async def get_load() -> Response:
        return _reply(
            {
                'running': state.n_running,
                'slots': state.slots,
                'started': state.n_started,
                'model_version': f'{state.model}@{state.version}',
                'instance': state.instance,
            }
        )

    @app.post('/orders')
    async def obey() -> Response:
        order = await request.get_json(force=True)
        if state.checks_fencing and order['fence'] < state.fence:
            return _reply({'error': 'old fencing number'}, _CONFLICT)
        state.fence = max(state.fence, order['fence'])
        state.orders.append(order)
        if order['action'] == 'load':
            state.model = order['model']
            state.version = order['version']
        return _reply({'orders': len(state.orders)})

    @app.get('/orders')
    async def list_orders() -> Response:
        return _reply({'orders': state.orders})

    @app.post('/faults')
    async def set_faults() -> Response:
        asked = await request.get_json(force=True)
        for name, setting in asked.items():
            setattr(state.faults, name, setting)
        return _reply({})


if __name__ == '__main__':
    fire.Fire(main)
