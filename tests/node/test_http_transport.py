"""The transport of httpx: how bodies end, and which errors callers see."""

import functools
import socket
import ssl

import httpx
import pytest
import trio
import trustme
from turmericcrank_dev.plain_http import EMPTY_TLS_CONTEXT
from turmericcrank_dev.processes import find_port
from turmericcrank_node.http_transport import CheckedTransport

from tests.early_resets import serve_early_resets
from tests.mixed_answers import UPLOAD

_N_REQUESTS = 4
_SINGLE_USE = httpx.Limits(max_keepalive_connections=0)
_PART = b'HTTP/1.1 200 X\r\n\r\npart'


class _Scheme:
    """One of HTTP and HTTPS, with what both ends need for it."""

    def __init__(self, name):
        self.name = name
        self.client_context = EMPTY_TLS_CONTEXT
        self.serve = serve_early_resets
        if name == 'https':
            authority = trustme.CA()
            server_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
            authority.issue_cert('127.0.0.1').configure_cert(server_context)
            self.client_context = ssl.create_default_context()
            authority.configure_trust(self.client_context)
            wrap = functools.partial(
                server_context.wrap_socket, server_side=True
            )
            self.serve = functools.partial(serve_early_resets, wrap=wrap)


@pytest.fixture(params=['http', 'https'], scope='module')
def scheme(request):
    return _Scheme(request.param)


def _post(scheme, address, body, n_requests=1, timeout_s=5):
    """Return the bodies of the responses, or the types of the errors."""

    async def main():
        transport = CheckedTransport(scheme.client_context, _SINGLE_USE)
        async with httpx.AsyncClient(
            transport=transport, timeout=timeout_s
        ) as client:
            return [
                await _send(client, f'{scheme.name}://{address}/', body)
                for _ in range(n_requests)
            ]

    return trio.run(main)


async def _send(client, url, body):
    try:
        response = await client.post(url, content=body)
    except httpx.TransportError as error:
        return type(error)
    return response.content


def test_mixed_no_part_of_an_answer_that_is_reset(scheme):
    with scheme.serve(_PART) as address:
        outcomes = _post(scheme, address, UPLOAD, _N_REQUESTS)
    assert outcomes == [httpx.ReadError] * _N_REQUESTS


def test_mixed_an_answer_without_a_length_that_ends_in_order_passes(scheme):
    with scheme.serve(_PART, is_reset=False) as address:
        outcomes = _post(scheme, address, b'{}', _N_REQUESTS)
    assert outcomes == [b'part'] * _N_REQUESTS


def test_a_refused_connection_proves_that_nothing_was_sent(scheme):
    address = f'127.0.0.1:{find_port()}'
    assert _post(scheme, address, b'{}') == [httpx.ConnectError]


def test_a_server_that_never_answers_is_a_timeout(scheme):
    timeouts = {'http': httpx.ReadTimeout, 'https': httpx.ConnectTimeout}
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = '{}:{}'.format(*listener.getsockname())
        outcomes = _post(scheme, address, b'{}', timeout_s=0.3)
    assert outcomes == [timeouts[scheme.name]]
