"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
from dataclasses import dataclass

__all__ = (
    'Message',
    'encode_response',
    'read_chunk',
    'read_head',
    'read_message',
)

_MAX_LINE_BYTES = 65536


@dataclass(slots=True)
class Message:
    """One HTTP message; header names are in lower case.

    Attributes:
        start: Words of the start line.
        headers: Header fields by name; the last one of a name counts.
        body: Complete body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b''

    @property
    def status(self) -> int:
        """Return the status code of a response."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; None if the connection has ended."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in rest:
        name, separator, text = line.partition(':')
        if separator:
            headers[name.strip().lower()] = text.strip()
    return Message(first.split(' ', 2), headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk of a chunked body; empty at its end."""
    size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a complete message; None if the connection ends before.

    A response without a length is complete when its connection ends.
    """
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.headers.get('transfer-encoding', '').lower() == 'chunked':
            while part := await read_chunk(reader):
                message.body += part
        elif 'content-length' in message.headers:
            length = int(message.headers['content-length'])
            message.body = await reader.readexactly(length)
        elif message.start[0].startswith('HTTP/'):
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def encode_response(
    status: int, headers: dict[str, str], body: bytes = b''
) -> bytes:
    """Encode a response with a content length."""
    lines = [f'HTTP/1.1 {status} -']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body
