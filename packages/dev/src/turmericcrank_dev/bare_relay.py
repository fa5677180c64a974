"""Minimal HTTP relay, the baseline for the cost of a node.

``python -m turmericcrank_dev.bare_relay`` forwards each request to one
upstream. It uses the libraries of a node (quart on hypercorn, and httpx) and
does nothing else.
"""

from collections.abc import AsyncIterator

import fire
import httpx
from quart import Response, request
from quart_trio import QuartTrio

from turmericcrank_dev.stand_in_web import make_app, serve_app

__all__ = ('main', 'make_relay_app')

_MAX_CONNECTIONS = 4096


def make_relay_app(target_port: int) -> QuartTrio:
    """Create the web application that forwards requests to one port."""
    app = make_app('bare_relay')
    limits = httpx.Limits(
        max_connections=_MAX_CONNECTIONS,
        max_keepalive_connections=_MAX_CONNECTIONS,
    )
    http = httpx.AsyncClient(
        base_url=f'http://127.0.0.1:{target_port}',
        limits=limits,
        timeout=60,
        trust_env=False,
    )

    @app.post('/v1/chat/completions')
    async def complete() -> Response:
        body = await request.get_data()
        upstream_request = http.build_request(
            'POST',
            '/v1/chat/completions',
            content=body,
            headers={'Content-Type': 'application/json'},
        )
        response = await http.send(upstream_request, stream=True)
        content_type = response.headers['Content-Type']
        if content_type == 'text/event-stream':
            return Response(_relay_stream(response), content_type=content_type)
        response_body = await response.aread()
        await response.aclose()
        return Response(response_body, content_type=content_type)

    @app.get('/health')
    async def get_health() -> Response:
        return Response(b'{}', content_type='application/json')

    return app


def main(port: int, target_port: int) -> None:
    """Run the relay.

    Args:
        port: TCP port on 127.0.0.1.
        target_port: Port of the upstream on 127.0.0.1.
    """
    serve_app(make_relay_app(target_port), port)


async def _relay_stream(response: httpx.Response) -> AsyncIterator[bytes]:
    async for chunk in response.aiter_raw():
        yield chunk
    await response.aclose()


if __name__ == '__main__':
    fire.Fire(main)
