"""Stand-in for the platform's store, as the page on the protocol has it.

Heartbeats of a worker that change nothing but ``seq`` change no row, as on
the users' bench. Every change is a transaction and gets the next version.
"""

import asyncio
import base64
import copy
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins.http1 import Message, encode_response, read_message

__all__ = ('Store', 'StoreContent')

_ANSWER_S = 0.004
_TRANSACTION_S = 0.008
_READ_ONLY_TABLES = frozenset(('op', 'servers'))
_Key = tuple[str, str, str]


@dataclass(slots=True)
class StoreContent:
    """What the store keeps; a copy of it can be restored.

    Attributes:
        version: Newest version.
        rows: Value and version by table, part and key; the value of a
            deleted row is None.
    """

    version: int = 0
    rows: dict[_Key, tuple[bytes | None, int]] = field(default_factory=dict)


class Store:
    """The store; it answers on a loopback address."""

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self.content = StoreContent()
        self.era = 1
        self.is_away = False
        # How many times as long its answers take.
        self.slowness = 1
        self.calls: list[tuple[float, str]] = []
        self.system_writes: list[tuple[float, int, list[str]]] = []
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return ``IP:port``."""
        return f'{self.host}:{self.port}'

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )

    async def go_away(self) -> None:
        """Refuse connections and reset the open ones."""
        self.is_away = True
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def come_back(self) -> None:
        """Serve again."""
        self.is_away = False
        await self.start()

    def copy_content(self) -> StoreContent:
        """Return a copy of all rows and of the version."""
        return copy.deepcopy(self.content)

    def restore(self, content: StoreContent) -> None:
        """Go back to an earlier copy; the era rises by one."""
        self.content = copy.deepcopy(content)
        self.era += 1

    def put(self, table: str, key: str, body: Any) -> int:
        """Write a row as the operator or a worker; return its version."""
        return self._apply([((table, '', key), json.dumps(body).encode())])

    def read(self, table: str, key: str) -> Any:
        """Return the content of a row as the operator reads it, or None."""
        value, _version = self.content.rows.get((table, '', key), (None, 0))
        return None if value is None else json.loads(value)

    def delete(self, table: str, key: str) -> int:
        """Delete a row as the operator or a worker; return the version."""
        return self._apply([((table, '', key), None)])

    def _apply(self, changes: list[tuple[_Key, bytes | None]]) -> int:
        self.content.version += 1
        for key, value in changes:
            self.content.rows[key] = (value, self.content.version)
        self._changed.set()
        self._changed = asyncio.Event()
        return self.content.version

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                status, body = await self._answer(request)
                headers = {
                    'Content-Type': 'application/json',
                    'Store-Era': str(self.era),
                }
                writer.write(
                    encode_response(status, headers, json.dumps(body).encode())
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, Any]:
        target = urlsplit(request.start[1])
        query = {
            name: values[0]
            for name, values in parse_qs(
                target.query, keep_blank_values=True
            ).items()
        }
        name = target.path.removeprefix('/-/')
        self.calls.append((time.monotonic(), name))
        if name == 'rows-tx':
            await asyncio.sleep(_TRANSACTION_S * self.slowness)
            return self._transact(json.loads(request.body))
        await asyncio.sleep(_ANSWER_S * self.slowness)
        if name == 'rows-get':
            return self._get(query)
        if name == 'rows-feed':
            return await self._feed(query)
        return 404, {}

    def _stamp(self) -> dict[str, Any]:
        return {
            'ver': self.content.version,
            'now-ms': int(time.monotonic() * 1000),
        }

    def _get(self, query: dict[str, str]) -> tuple[int, Any]:
        table, part = query['table'], query.get('part', '')
        first, end = query.get('from', ''), query.get('to')
        rows = [
            _encode_row(key, value, version)
            for key, (value, version) in sorted(self.content.rows.items())
            if key[:2] == (table, part)
            and value is not None
            and key[2] >= first
            and (end is None or key[2] < end)
        ]
        return 200, {'rows': rows, 'truncated': False, **self._stamp()}

    async def _feed(self, query: dict[str, str]) -> tuple[int, Any]:
        table, after = query['table'], int(query['after'])
        if after > self.content.version:
            return 410, {}
        until_s = time.monotonic() + int(query.get('wait-ms', 0)) / 1000
        while True:
            changed = self._changed
            rows = sorted(
                (version, key, value)
                for key, (value, version) in self.content.rows.items()
                if key[0] == table and version > after
            )
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                encoded = [
                    _encode_row(key, value, version)
                    for version, key, value in rows
                ]
                return 200, {'rows': encoded, **self._stamp()}
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        puts, deletes = body.get('puts', []), body.get('delete', [])
        if any(row['table'] in _READ_ONLY_TABLES for row in puts + deletes):
            return 403, {}
        expected = body.get('expect-rev', [])
        for row in expected:
            value, version = self.content.rows.get(_key(row), (None, 0))
            if (version if value is not None else 0) != row['ver']:
                return 412, {'rows': [], **self._stamp()}
        changes = [(_key(row), base64.b64decode(row['value'])) for row in puts]
        changes += [(_key(row), None) for row in deletes]
        version = self._apply(changes)
        names = [f'{row["table"]}/{row["key"]}' for row in puts + deletes]
        self.system_writes.append((time.monotonic(), version, names))
        return 200, self._stamp()


def _key(row: dict[str, Any]) -> _Key:
    return row['table'], row.get('part', ''), row['key']


def _encode_row(key: _Key, value: bytes | None, version: int) -> dict[str, Any]:
    table, part, name = key
    row = {'table': table, 'part': part, 'key': name, 'ver': version}
    if value is None:
        return {**row, 'deleted': True}
    return {**row, 'value': base64.b64encode(value).decode()}
