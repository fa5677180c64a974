"""A store that returns from a copy, as the adapter calls it."""

import base64
import copy
from dataclasses import dataclass, field
from http import HTTPStatus
from urllib.parse import parse_qsl, urlsplit

import orjson
from turmericcrank_node.store_connection import StoreResponse


@dataclass
class ReturningStore:
    """Rows by table and key, with the version of their last change.

    The text of a deleted row is None.
    """

    version: int = 0
    era: int = 1
    rows: dict = field(default_factory=dict)

    def put(self, table, key, body):
        self._apply(table, key, orjson.dumps(body))

    def delete(self, table, key):
        self._apply(table, key, None)

    def copy_rows(self):
        return copy.deepcopy(self)

    def restore(self, copied):
        """Go back to a copy; its later versions are given out again."""
        self.version = copied.version
        self.rows = copy.deepcopy(copied.rows)
        self.era += 1

    async def call(self, _store, _method, target, _body, _wait_s=0):
        """Answer a read; use it in place of ``call_store``."""
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        after = int(query.get('after', -1))
        headers = [(b'store-era', b'%d' % self.era)]
        if after > self.version:
            return StoreResponse(HTTPStatus.GONE, headers, b'{}')
        is_feed = url.path.endswith('rows-feed')
        found = [
            _encode_row(key, text, version)
            for (table, key), (text, version) in sorted(self.rows.items())
            if table == query['table']
            and version > after
            and (is_feed or text is not None)
        ]
        found.sort(key=lambda row: row['ver'] if is_feed else 0)
        body = {'rows': found, 'ver': self.version, 'now-ms': 0}
        return StoreResponse(HTTPStatus.OK, headers, orjson.dumps(body))

    def _apply(self, table, key, text):
        self.version += 1
        self.rows[table, key] = (text, self.version)


def _encode_row(key, text, version):
    row = {'key': key, 'ver': version}
    if text is None:
        return {**row, 'deleted': True}
    return {**row, 'value': base64.b64encode(text).decode()}
