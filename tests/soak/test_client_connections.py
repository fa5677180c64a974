"""Clients of the soak see an answer that was reset during their upload."""

import asyncio

from tests.early_resets import serve_early_resets
from tests.mixed_answers import UPLOAD
from tests.soak.client_connections import ClientConnection, close, send
from tests.soak.record import Ending
from tests.soak.record_builders import make_request

_N_REQUESTS = 24
_PART = b'HTTP/1.1 200 X\r\n\r\npart'
_HEAD = b'POST / HTTP/1.1\r\n\r\n'


async def _send(address):
    connection = ClientConnection(1, address)
    request = make_request('r1', ending=Ending.pending)
    await send(connection, request, _HEAD, UPLOAD)
    close(connection)
    return request.ending


def test_mixed_a_part_that_is_reset_counts_as_broken():
    with serve_early_resets(_PART) as address:
        endings = [asyncio.run(_send(address)) for _ in range(_N_REQUESTS)]
    assert endings == [Ending.broken] * _N_REQUESTS
