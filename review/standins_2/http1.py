"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass, field

__all__ = ('Message', 'encode_response', 'read_body', 'read_head')

_LIMIT_BYTES = 1 << 20


@dataclass(slots=True)
class Message:
    """A request or a response.

    Attributes:
        first_line: Request line or status line, split at blanks.
        headers: Header fields with lower-case names.
        body: Complete body.
    """

    first_line: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''

    @property
    def status(self) -> int:
        """Return the status code of a response."""
        return int(self.first_line[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode('latin-1').split('\r\n')
    message = Message(first.split(' ', 2))
    for line in filter(None, lines):
        name, _, text = line.partition(':')
        message.headers[name.strip().lower()] = text.strip()
    return message


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body that follows a head, by its length or in chunks."""
    if message.headers.get('transfer-encoding', '') == 'chunked':
        message.body = await _read_chunks(reader)
        return
    length = int(message.headers.get('content-length', '0'))
    message.body = await reader.readexactly(length)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while True:
        line = await reader.readuntil(b'\r\n')
        size = int(line.split(b';')[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


def encode_response(
    status: int, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Encode a response with a length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body
