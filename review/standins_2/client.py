"""A stand-in of a client: one request on a connection of its own."""

import asyncio
import itertools
import time
from dataclasses import dataclass

from standins_2.http1 import read_body, read_head
from standins_2.manifest import HOST, KEY

__all__ = ('Sent', 'request')

_numbers = itertools.count(1)


@dataclass(slots=True)
class Sent:
    """A request and what came back.

    Attributes:
        request_id: Its id.
        sent_s: When it was sent, on the monotonic clock.
        status: Status of the answer; 0 for none.
        code: Result code of the router; empty if an upstream answered.
        ended_s: When it ended.
    """

    request_id: str
    sent_s: float
    status: int = 0
    code: str = ''
    ended_s: float = 0


async def request(
    address: str,
    path: str,
    *,
    method: str = 'GET',
    body: bytes = b'',
    key: str = KEY,
    deadline_ms: int = 4000,
    headers: dict[str, str] | None = None,
) -> Sent:
    """Send one request and wait for its answer until the deadline."""
    sent = Sent(f'{next(_numbers):016x}', time.monotonic())
    host, port = address.split(':')
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Request-Id: {sent.request_id}',
        f'X-Deadline-Ms: {deadline_ms}',
        f'Authorization: Bearer {key}',
    ]
    lines += [f'{name}: {text}' for name, text in (headers or {}).items()]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    raw = '\r\n'.join([*lines, '', '']).encode() + body
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(raw)
                head = await read_head(reader)
                if head is not None:
                    await read_body(reader, head)
                    sent.status = head.status
                    sent.code = head.headers.get('x-result-code', '')
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        sent.status = 0
    sent.ended_s = time.monotonic()
    return sent
