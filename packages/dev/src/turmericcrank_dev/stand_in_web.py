"""Web server for the fakes, on loopback."""

import signal
from collections.abc import Callable
from typing import Any

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart_trio import QuartTrio

__all__ = ('make_app', 'serve_app')

_MAX_BODY_BYTES = 64 * 1024 * 1024


def make_app(name: str) -> QuartTrio:
    """Create a web application without routes."""
    app = QuartTrio(name)
    app.config['MAX_CONTENT_LENGTH'] = _MAX_BODY_BYTES
    app.config['BODY_TIMEOUT'] = None
    app.config['RESPONSE_TIMEOUT'] = None
    return app


def serve_app(app: Any, port: int, tls_folder: str = '') -> None:
    """Serve an application until SIGTERM or SIGINT.

    Args:
        app: Application to serve.
        port: TCP port on 127.0.0.1.
        tls_folder: Folder of ``cert.pem`` and ``key.pem``; empty disables TLS.
    """
    config = Config()
    config.bind = [f'127.0.0.1:{port}']
    if tls_folder:
        config.certfile = f'{tls_folder}/cert.pem'
        config.keyfile = f'{tls_folder}/key.pem'
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0
    config.keep_alive_timeout = 600
    config.backlog = 1024
    trio.run(_serve_until_signal, app, config)


async def _serve_until_signal(app: Any, config: Config) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await serve(
            app, config, shutdown_trigger=_make_shutdown_trigger(signals)
        )


def _make_shutdown_trigger(signals: Any) -> Callable[[], Any]:
    async def wait_for_signal() -> None:
        async for _signal in signals:
            return

    return wait_for_signal
