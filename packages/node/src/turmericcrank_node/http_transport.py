"""Transport of ``httpx`` that checks how responses begin and end.

``httpcore`` ignores a failed write and reads on, as a server may respond
without reading a request to its end. On trio it would then take a reset for
the end of a body without a length, see ``connection_end``. Its parser also
takes heads that a gateway should refuse, see ``response_heads``. The network
backend of trio is therefore wrapped, and ``httpx`` gets a transport on that
backend: both by their documented interfaces.
"""

import contextlib
import ssl
from collections.abc import AsyncIterator, Iterable, Iterator
from typing import Any

import httpcore
import httpx
from turmericcrank_core.response_heads import (
    FoldedLineError,
    check_lines,
    is_valid_status,
)

from turmericcrank_node.connection_end import RESET_DETAIL, ended_in_order

__all__ = ('CheckedTransport',)

_ERRORS_BY_CAUSE: dict[type[Exception], type[httpx.TransportError]] = {
    httpcore.ConnectError: httpx.ConnectError,
    httpcore.ConnectTimeout: httpx.ConnectTimeout,
    httpcore.LocalProtocolError: httpx.LocalProtocolError,
    httpcore.PoolTimeout: httpx.PoolTimeout,
    httpcore.ReadError: httpx.ReadError,
    httpcore.ReadTimeout: httpx.ReadTimeout,
    httpcore.RemoteProtocolError: httpx.RemoteProtocolError,
    httpcore.UnsupportedProtocol: httpx.UnsupportedProtocol,
    httpcore.WriteError: httpx.WriteError,
    httpcore.WriteTimeout: httpx.WriteTimeout,
}
_CAUSES = tuple(_ERRORS_BY_CAUSE)


class CheckedTransport(httpx.AsyncBaseTransport):
    """Connection pool for HTTP/1.1 on trio.

    Args:
        ssl_context: TLS context of connections to ``https`` URLs.
        limits: Limits of the pool.
    """

    def __init__(
        self, ssl_context: ssl.SSLContext, limits: httpx.Limits
    ) -> None:
        self._pool = httpcore.AsyncConnectionPool(
            ssl_context=ssl_context,
            max_connections=limits.max_connections,
            max_keepalive_connections=limits.max_keepalive_connections,
            keepalive_expiry=limits.keepalive_expiry,
            network_backend=_CheckedBackend(),
        )

    async def handle_async_request(
        self, request: httpx.Request
    ) -> httpx.Response:
        """Send a request and wait for the response head.

        Raises:
            httpx.TransportError: If there is no response.
        """
        with _translate_errors():
            response = await self._pool.handle_async_request(
                httpcore.Request(
                    request.method,
                    _make_url(request.url),
                    headers=request.headers.raw,
                    content=request.stream,
                    extensions=request.extensions,
                )
            )
        if not is_valid_status(response.status):
            await response.aclose()
            raise httpx.RemoteProtocolError(f'status {response.status}')
        return httpx.Response(
            response.status,
            headers=response.headers,
            stream=_CheckedBody(response),
            extensions=response.extensions,
        )

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


class _CheckedBody(httpx.AsyncByteStream):
    """Body of a response, with the errors of ``httpx``."""

    def __init__(self, response: httpcore.Response) -> None:
        self._response = response

    async def __aiter__(self) -> AsyncIterator[bytes]:
        with _translate_errors():
            async for part in self._response.stream:
                yield part

    async def aclose(self) -> None:
        with _translate_errors():
            await self._response.aclose()


class _CheckedBackend(httpcore.AsyncNetworkBackend):
    """Network backend of trio whose streams are checked."""

    def __init__(self) -> None:
        self._backend = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        return _CheckedNetworkStream(
            await self._backend.connect_tcp(
                host, port, timeout, local_address, socket_options
            )
        )

    async def sleep(self, seconds: float) -> None:
        await self._backend.sleep(seconds)


class _CheckedNetworkStream(httpcore.AsyncNetworkStream):
    """Stream on which a reset never looks like an orderly end.

    It also rejects response heads with folded lines, as the parser above it
    joins them.

    Args:
        stream: Stream of trio, or of TLS on trio.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream) -> None:
        self._stream = stream
        # Bytes of an incomplete response head; None while none is expected.
        self._head: bytes | None = None

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        received = await self._stream.read(max_bytes, timeout)
        if not received and not ended_in_order(self.get_extra_info('socket')):
            raise httpcore.ReadError(RESET_DETAIL)
        if self._head is not None:
            self._head = _check_head(self._head + received)
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self._head = b''
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        return _CheckedNetworkStream(
            await self._stream.start_tls(ssl_context, server_hostname, timeout)
        )

    def get_extra_info(self, property_name: str) -> Any:
        return self._stream.get_extra_info(property_name)


def _check_head(raw: bytes) -> bytes | None:
    """Check what has arrived of a response head, see ``check_lines``."""
    try:
        return check_lines(raw)
    except FoldedLineError as error:
        raise httpcore.RemoteProtocolError(str(error)) from error


def _make_url(url: httpx.URL) -> httpcore.URL:
    return httpcore.URL(
        scheme=url.raw_scheme,
        host=url.raw_host,
        port=url.port,
        target=url.raw_path,
    )


@contextlib.contextmanager
def _translate_errors() -> Iterator[None]:
    """Raise the errors of ``httpcore`` as those of ``httpx``."""
    try:
        yield
    except _CAUSES as error:
        raise _ERRORS_BY_CAUSE[type(error)](str(error)) from error
