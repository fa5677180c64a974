"""Sends the response to one request of a client."""

import errno
from collections.abc import Callable
from dataclasses import dataclass

import h11
import trio

from turmericcrank_node.http_connection import (
    CONNECTION_ERRORS,
    MAX_COPIED_BYTES,
    Headers,
)

__all__ = ('ClientExchange', 'describe_disconnect')


@dataclass(slots=True)
class ClientExchange:
    """The response to one request.

    Attributes:
        stream: Client socket.
        parser: HTTP protocol state of the connection.
        is_closing: Returns whether the connection closes after this
            response; asked when its head is sent.
        is_head: Whether the request is a HEAD request, so that the response
            has a length but no body.
        is_started: Whether the response head has been sent.
        is_complete: Whether the response has been sent to its end.
        status: Status code of the response; 0 before its head is sent.
        disconnect_reason: How the client disconnected: ``closed``, or the
            symbolic name of the errno; empty while it is connected.
    """

    stream: trio.SocketStream
    parser: h11.Connection
    is_closing: Callable[[], bool] = bool
    is_head: bool = False
    is_started: bool = False
    is_complete: bool = False
    status: int = 0
    disconnect_reason: str = ''

    async def start(
        self, status: int, headers: Headers, first: bytes = b''
    ) -> bool:
        """Send the response head and, if given, the first bytes of the body.

        Returns:
            False if the client has disconnected.
        """
        raw = self._write_head(status, headers)
        if first:
            raw += self.parser.send(h11.Data(data=first)) or b''
        return await self._write(raw)

    async def send(self, part: bytes) -> bool:
        """Send a part of the body; False if the client has disconnected."""
        return await self._write(self.parser.send(h11.Data(data=part)) or b'')

    async def finish(self) -> bool:
        """End the response; False if the client has disconnected."""
        raw = self.parser.send(h11.EndOfMessage()) or b''
        self.is_complete = await self._write(raw)
        return self.is_complete

    async def send_response(
        self, status: int, headers: Headers, body: bytes | bytearray
    ) -> None:
        """Send a complete response; a large body is not copied."""
        length = (b'content-length', str(len(body)).encode())
        parts = [self._write_head(status, [*headers, length])]
        if body and not self.is_head:
            parts += self.parser.send_with_data_passthrough(h11.Data(data=body))
        parts.append(self.parser.send(h11.EndOfMessage()) or b'')
        if len(body) <= MAX_COPIED_BYTES:
            parts = [b''.join(parts)]
        is_sent = True
        for part in parts:
            is_sent = is_sent and await self._write(part)
        self.is_complete = is_sent

    def _write_head(self, status: int, headers: Headers) -> bytes:
        self.is_started = True
        self.status = status
        sent_headers = list(headers)
        if self.is_closing():
            sent_headers.append((b'connection', b'close'))
        response = h11.Response(status_code=status, headers=sent_headers)
        return self.parser.send(response) or b''

    async def _write(self, raw: bytes) -> bool:
        if not raw:
            return True
        try:
            await self.stream.send_all(raw)
        except CONNECTION_ERRORS as error:
            self.disconnect_reason = describe_disconnect(error)
            return False
        return True


def describe_disconnect(error: Exception) -> str:
    """Return the symbolic errno of a connection error, or else its type."""
    cause = error.__cause__ or error
    number = getattr(cause, 'errno', None)
    return errno.errorcode.get(number, type(cause).__name__)
