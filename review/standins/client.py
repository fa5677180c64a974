"""Stand-in for a consumer that keeps one channel to a node at a time."""

import asyncio
import json
import random
import time
import uuid
from dataclasses import dataclass, field

from standins.http1 import Message, read_message

__all__ = ('Attempt', 'Consumer', 'Directory')

_CONNECT_TIMEOUT_S = 1
_DIRECTORY_TIMEOUT_S = 1
_MAX_DIRECTORIES = 3
_MAX_TTL_S = 5


@dataclass(slots=True)
class Attempt:
    """One consumer attempt and what came of it.

    Attributes:
        request_id: Its id.
        address: Address of the node that it was sent to.
        label: What it stands for in the case.
        sent_s: When its last byte was sent, on the monotonic clock.
        ended_s: When its answer or the end of its channel came.
        status: Status of the answer; 0 if the channel ended without one.
        is_kept: Whether its channel had carried a request before.
    """

    request_id: str
    address: str
    label: str
    sent_s: float
    ended_s: float = 0
    status: int = 0
    is_kept: bool = False


@dataclass(slots=True)
class Directory:
    """Addresses that the nodes tell, kept for as long as they say.

    Attributes:
        nodes: Directory addresses of the nodes, nearest first.
        host_name: Name of the host that is asked for.
        zone: Zone of the consumer.
        addresses: Addresses of the last answer.
        expires_s: When they are asked for again, on the monotonic clock.
    """

    nodes: list[str]
    host_name: str
    zone: str
    addresses: list[str] = field(default_factory=list)
    expires_s: float = 0

    async def refresh(self) -> None:
        """Ask up to three nodes, if the last answer has expired."""
        if time.monotonic() < self.expires_s:
            return
        for node in self.nodes[:_MAX_DIRECTORIES]:
            try:
                async with asyncio.timeout(_DIRECTORY_TIMEOUT_S):
                    answer = await self._ask(node)
            except (OSError, TimeoutError, ValueError):
                continue
            if answer and answer.get('addresses') and 'ttl-s' in answer:
                self.addresses = answer['addresses']
                ttl_s = min(_MAX_TTL_S, answer['ttl-s'])
                self.expires_s = time.monotonic() + ttl_s
                return

    async def _ask(self, node: str) -> dict | None:
        host, _, port = node.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            target = f'/-/resolve?name={self.host_name}&zone={self.zone}'
            writer.write(f'GET {target} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
            answer = await read_message(reader)
        finally:
            writer.close()
        if answer is None or answer.status != 200:
            return None
        return json.loads(answer.body)


@dataclass(slots=True)
class Consumer:
    """Sends requests one after the other on a kept channel.

    Attributes:
        address: Node that it uses; chosen from the directory if it has one.
        host_name: Value of the Host header.
        key: Its API key.
        label: What its requests stand for in the case.
        directory: Where it asks for addresses; None to use ``address`` only.
        attempts: What it has sent.
    """

    address: str
    host_name: str
    key: str
    label: str
    directory: Directory | None = None
    attempts: list[Attempt] = field(default_factory=list)
    _failed: set[str] = field(default_factory=set)
    _reader: asyncio.StreamReader | None = None
    _writer: asyncio.StreamWriter | None = None

    async def send(
        self, method: str, path: str, deadline_s: float, body: bytes = b''
    ) -> Attempt:
        """Send one request and wait for its answer."""
        await self._choose_address()
        attempt = Attempt(
            uuid.uuid4().hex[:16], self.address, self.label, time.monotonic()
        )
        attempt.is_kept = self._writer is not None
        self.attempts.append(attempt)
        try:
            async with asyncio.timeout(deadline_s):
                answer = await self._exchange(
                    attempt, method, path, deadline_s, body
                )
        except (OSError, TimeoutError):
            answer = None
        attempt.ended_s = time.monotonic()
        if answer is None:
            self._failed.add(self.address)
            self.close()
            return attempt
        attempt.status = answer.status
        if answer.headers.get('connection', '').lower() == 'close':
            self.close()
        return attempt

    async def _choose_address(self) -> None:
        """Leave a node that is no longer listed; choose one at random."""
        if self.directory is None:
            return
        before = self.directory.expires_s
        await self.directory.refresh()
        if self.directory.expires_s != before:
            self._failed.clear()
        listed = self.directory.addresses
        if self.address not in listed:
            self.close()
        if self._writer is None:
            usable = [one for one in listed if one not in self._failed]
            self.address = random.choice(usable or listed or [self.address])

    async def _exchange(
        self,
        attempt: Attempt,
        method: str,
        path: str,
        deadline_s: float,
        body: bytes,
    ) -> Message | None:
        if self._writer is None:
            host, _, port = self.address.rpartition(':')
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                self._reader, self._writer = await asyncio.open_connection(
                    host, int(port)
                )
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {self.host_name}',
            f'X-Request-Id: {attempt.request_id}',
            f'X-Deadline-Ms: {int(deadline_s * 1000)}',
            f'Authorization: Bearer {self.key}',
        ]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join([*lines, '', '']).encode()
        self._writer.write(head + body)
        await self._writer.drain()
        attempt.sent_s = time.monotonic()
        return await read_message(self._reader)

    def close(self) -> None:
        """Close the channel; the next request opens a new one."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
