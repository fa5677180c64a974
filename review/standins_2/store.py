"""A stand-in of the platform's store: rows, feeds and conditional writes.

It keeps the whole history of its rows, so that it can come back from a copy of
an earlier moment, as the users' page on drills describes.
"""

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins_2.http1 import Message, encode_response, read_body, read_head

__all__ = ('Row', 'Store', 'start_store')

_OPERATOR_TABLES = frozenset(('op', 'servers'))


@dataclass(slots=True)
class Row:
    """One row.

    Attributes:
        table: Its table.
        key: Its key; all rows have an empty part.
        ver: Version of its last change.
        value: Its value; None if it was deleted.
    """

    table: str
    key: str
    ver: int
    value: bytes | None


@dataclass(slots=True)
class Store:
    """The store.

    Attributes:
        address: ``IP:port``.
        era: Number of its returns from a copy.
        ver: Newest version.
        rows: Rows, deleted ones too, by table and key.
        history: Copies of all that changed, with the time of the change.
        is_away: Whether it resets all connections.
        writes: Times, tables and keys of the rows that nodes wrote.
    """

    address: str = ''
    era: int = 0
    ver: int = 0
    rows: dict[tuple[str, str], Row] = field(default_factory=dict)
    history: list[tuple[float, int, dict]] = field(default_factory=list)
    is_away: bool = False
    writes: list[tuple[float, str, str]] = field(default_factory=list)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def write(
        self, puts: dict[tuple[str, str], bytes | None]
    ) -> None:
        """Apply one transaction; a value of None deletes a row."""
        self.ver += 1
        for (table, key), value in puts.items():
            self.rows[table, key] = Row(table, key, self.ver, value)
        self.history.append((time.monotonic(), self.ver, dict(self.rows)))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, table: str, key: str, body: Any) -> None:
        """Write one row as the operator or an upstream."""
        await self.write({(table, key): json.dumps(body).encode()})

    async def delete(self, table: str, key: str) -> None:
        """Delete one row as the operator or an upstream."""
        await self.write({(table, key): None})

    def read(self, table: str, key: str) -> Any:
        """Return the decoded value of a row; None without one."""
        row = self.rows.get((table, key))
        if row is None or row.value is None:
            return None
        return json.loads(row.value)

    async def return_from_copy(self, age_s: float, away_s: float) -> None:
        """Be away for a moment and come back as of some seconds before."""
        self.is_away = True
        as_of_s = time.monotonic() - age_s
        await asyncio.sleep(away_s)
        kept = [one for one in self.history if one[0] <= as_of_s]
        _at_s, self.ver, rows = kept[-1]
        self.rows = dict(rows)
        self.history = kept
        self.era += 1
        self.is_away = False


async def start_store(host: str, port: int) -> Store:
    """Start a store in this process."""
    store = Store(f'{host}:{port}')

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await _serve_connection(store, reader, writer)
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            return
        finally:
            writer.close()

    await asyncio.start_server(serve, host, port, backlog=512)
    return store


async def _serve_connection(
    store: Store, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while True:
        request = await read_head(reader)
        if request is None:
            return
        await read_body(reader, request)
        if store.is_away:
            writer.transport.abort()
            return
        status, body = await _respond(store, request)
        if store.is_away:
            writer.transport.abort()
            return
        headers = {
            'Content-Type': 'application/json',
            'Store-Era': str(store.era),
        }
        raw = encode_response(status, headers, json.dumps(body).encode())
        writer.write(raw)
        await writer.drain()


async def _respond(store: Store, request: Message) -> tuple[int, Any]:
    parts = urlsplit(request.first_line[1])
    query = {name: texts[0] for name, texts in parse_qs(parts.query).items()}
    if parts.path == '/-/rows-get':
        return _get_rows(store, query)
    if parts.path == '/-/rows-feed':
        return await _feed(store, query)
    if parts.path == '/-/rows-tx':
        return await _transact(store, json.loads(request.body))
    return 404, {}


def _now_ms() -> int:
    return int(time.monotonic() * 1000)


def _encode(row: Row) -> dict[str, Any]:
    encoded = {'table': row.table, 'part': '', 'key': row.key, 'ver': row.ver}
    if row.value is None:
        encoded['deleted'] = True
    else:
        encoded['value'] = base64.b64encode(row.value).decode()
    return encoded


def _get_rows(store: Store, query: dict[str, str]) -> tuple[int, Any]:
    first, end = query.get('from', ''), query.get('to', '')
    rows = [
        _encode(row)
        for (table, key), row in sorted(store.rows.items())
        if table == query['table']
        and row.value is not None
        and key >= first
        and (not end or key < end)
    ]
    return 200, {
        'rows': rows,
        'truncated': False,
        'ver': store.ver,
        'now-ms': _now_ms(),
    }


async def _feed(store: Store, query: dict[str, str]) -> tuple[int, Any]:
    after = int(query['after'])
    until_s = time.monotonic() + int(query.get('wait-ms', '0')) / 1000
    era = store.era
    if after > store.ver:
        return 410, {}
    while True:
        rows = sorted(
            (
                row
                for (table, _key), row in store.rows.items()
                if table == query['table'] and row.ver > after
            ),
            key=lambda row: row.ver,
        )
        left_s = until_s - time.monotonic()
        if rows or left_s <= 0 or store.era != era:
            break
        try:
            async with store.changed:
                await asyncio.wait_for(store.changed.wait(), left_s)
        except TimeoutError:
            continue
    if store.era != era:
        return 410, {}
    encoded = [_encode(row) for row in rows]
    return 200, {'rows': encoded, 'ver': store.ver, 'now-ms': _now_ms()}


async def _transact(store: Store, body: dict[str, Any]) -> tuple[int, Any]:
    for row in (*body.get('puts', ()), *body.get('delete', ())):
        if row['table'] in _OPERATOR_TABLES:
            return 403, {}
    for expected in body.get('expect-rev', ()):
        row = store.rows.get((expected['table'], expected['key']))
        ver = 0 if row is None or row.value is None else row.ver
        if ver != expected['ver']:
            return 412, {'rows': [], 'ver': store.ver, 'now-ms': _now_ms()}
    puts: dict[tuple[str, str], bytes | None] = {
        (row['table'], row['key']): base64.b64decode(row['value'])
        for row in body.get('puts', ())
    }
    puts.update(
        ((row['table'], row['key']), None) for row in body.get('delete', ())
    )
    now_s = time.monotonic()
    store.writes += [(now_s, table, key) for table, key in puts]
    await store.write(puts)
    return 200, {'ver': store.ver, 'now-ms': _now_ms()}
