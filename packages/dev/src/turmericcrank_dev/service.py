"""Fake booking service, run by ``python -m turmericcrank_dev.service``.

It does not deduplicate: each POST that arrives adds a booking, so a request
that a router sends twice is booked twice and shows up in the journal.
"""

import json
from typing import Any

import fire
import trio
from quart import Response, request
from quart_trio import QuartTrio

from turmericcrank_dev.stand_in_web import make_app, serve_app

__all__ = ('main', 'make_service_app')

_CREATED = 201
_LOST_RESPONSE_DELAY_S = 30


def make_service_app() -> QuartTrio:
    """Create the web application with an empty journal of bookings."""
    app = make_app('service')
    journal: list[dict[str, Any]] = []
    faults: dict[str, Any] = {'delay_s': 0, 'drop_replies': 0}
    _add_bookings(app, journal, faults)
    _add_control(app, journal, faults)
    return app


def main(port: int, tls_folder: str = '') -> None:
    """Run one fake service.

    Args:
        port: TCP port on 127.0.0.1.
        tls_folder: Folder of ``cert.pem`` and ``key.pem``; empty disables TLS.
    """
    serve_app(make_service_app(), port, tls_folder)


def _make_json_response(body: Any, status: int = 200) -> Response:
    return Response(
        json.dumps(body), status=status, content_type='application/json'
    )


def _add_bookings(
    app: QuartTrio, journal: list[dict[str, Any]], faults: dict[str, Any]
) -> None:
    @app.post('/bookings')
    async def book() -> Response:
        booking = await request.get_json(force=True)
        journal.append(booking)
        booking_number = len(journal)
        if faults['drop_replies'] > 0:
            faults['drop_replies'] -= 1
            await trio.sleep(_LOST_RESPONSE_DELAY_S)
        await trio.sleep(faults['delay_s'])
        return _make_json_response(
            {'booking': booking_number, 'asked': booking}, _CREATED
        )

    @app.get('/slots')
    async def list_slots() -> Response:
        return _make_json_response({'free': list(range(4))})


def _add_control(
    app: QuartTrio, journal: list[dict[str, Any]], faults: dict[str, Any]
) -> None:
    @app.get('/journal')
    async def get_journal() -> Response:
        return _make_json_response({'journal': journal})

    @app.post('/faults')
    async def set_faults() -> Response:
        faults.update(await request.get_json(force=True))
        return _make_json_response({})


if __name__ == '__main__':
    fire.Fire(main)
