"""Client of the platform: tables, objects, VM list, ratings, weights."""

from dataclasses import dataclass, field
from typing import Any

import httpx
from expression import Error, Ok, Result

__all__ = (
    'Operation',
    'StoreClient',
    'StoreFault',
    'StoredRow',
    'WriteOutcome',
)

_NOT_FOUND = 404
_TOO_MANY_REQUESTS = 429

ANY_VERSION = -1


@dataclass(slots=True, frozen=True)
class StoreFault:
    """A call that failed.

    Attributes:
        detail: Description of the error.
        may_have_applied: Whether a write may have been applied despite the
            error.
        retry_after_s: Delay before a retry that the platform asked for, in
            seconds; None if it did not.
    """

    detail: str
    may_have_applied: bool
    retry_after_s: float | None = None


@dataclass(slots=True, frozen=True)
class Operation:
    """One conditional write.

    Attributes:
        table: Name of the table.
        key: Key of the row.
        expect: Required current version of the row; 0 for absent, -1 for any.
        body: New content; None deletes the row.
    """

    table: str
    key: str
    expect: int
    body: Any


@dataclass(slots=True, frozen=True)
class StoredRow:
    """One row that was read; version 0 means absent."""

    version: int
    body: Any
    key: str = ''


@dataclass(slots=True, frozen=True)
class WriteOutcome:
    """Whether one operation was applied, and the conflicting row if not."""

    condition_met: bool
    version: int
    body: Any


@dataclass(slots=True)
class StoreClient:  # noqa: WPS214 (one method for each service)
    """Client of the platform's services.

    Attributes:
        http: Connection pool to the platform.
        n_failed: Number of consecutive failed calls; 0 after a success.
        outage_threshold: Consecutive failures that count as an outage.
        counts_by_call: Number of calls, by path.
    """

    http: httpx.AsyncClient
    n_failed: int = 0
    outage_threshold: int = 2
    counts_by_call: dict[str, int] = field(default_factory=dict)

    @property
    def seems_down(self) -> bool:
        """Return whether enough consecutive calls failed for an outage."""
        return self.n_failed >= self.outage_threshold

    async def transact(
        self, operations: list[Operation], independent: bool = False
    ) -> Result[list[WriteOutcome], StoreFault]:
        """Write rows conditionally.

        Args:
            operations: Writes; applied atomically unless ``independent``.
            independent: Whether each write is applied on its own.

        Returns:
            An outcome for each write. After a fault, the writes may have been
            applied nevertheless; see ``StoreFault.may_have_applied``.
        """
        payload = {
            'independent': independent,
            'operations': [
                {
                    'table': operation.table,
                    'key': operation.key,
                    'expect': operation.expect,
                    'body': operation.body,
                }
                for operation in operations
            ],
        }
        decoded = await self._call('POST', '/tables/transact', payload)
        return decoded.map(
            lambda decoded_response: [
                WriteOutcome(row['ok'], row['version'], row['body'])
                for row in decoded_response['outcomes']
            ]
        )

    async def read(
        self, keys: list[tuple[str, str]]
    ) -> Result[list[StoredRow], StoreFault]:
        """Read rows by table and key."""
        decoded = await self._call('POST', '/tables/read', {'keys': keys})
        return decoded.map(
            lambda decoded_response: [
                StoredRow(row['version'], row['body'])
                for row in decoded_response['rows']
            ]
        )

    async def scan(
        self, table: str, after: str = '', limit: int = 100
    ) -> Result[list[StoredRow], StoreFault]:
        """Read a page of rows in key order."""
        payload = {'table': table, 'after': after, 'limit': limit}
        decoded = await self._call('POST', '/tables/scan', payload)
        return decoded.map(
            lambda decoded_response: [
                StoredRow(row['version'], row['body'], row['key'])
                for row in decoded_response['rows']
            ]
        )

    async def write_object(
        self, name: str, body: bytes
    ) -> Result[None, StoreFault]:
        """Write an object."""
        sent = await self._send('PUT', f'/objects/{name}', content=body)
        return sent.map(_discard_response)

    async def read_object(self, name: str) -> Result[bytes | None, StoreFault]:
        """Read an object; return None if it is absent."""
        sent = await self._send('GET', f'/objects/{name}')
        return sent.map(_get_object_body)

    async def list_vms(self, since: int) -> Result[dict[str, Any], StoreFault]:
        """Read the changes of the VM list after a sequence number."""
        return await self._call('GET', f'/vms?since={since}', None)

    async def rate(self, prompt: str, answer: str) -> Result[float, StoreFault]:
        """Request a rating from the rating service, from 0 to 100."""
        payload = {'prompt': prompt, 'answer': answer}
        decoded = await self._call('POST', '/ratings', payload)
        return decoded.map(
            lambda decoded_response: float(decoded_response['rating'])
        )

    async def grant_weights(self) -> Result[None, StoreFault]:
        """Request permission to load weights once; grants are rate-limited."""
        decoded = await self._call('POST', '/weights/grant', {})
        return decoded.map(_discard_response)

    async def _call(
        self, method: str, path: str, payload: Any
    ) -> Result[Any, StoreFault]:
        sent = await self._send(method, path, json=payload)
        return sent.bind(_decode)

    async def _send(
        self, method: str, path: str, **body: Any
    ) -> Result[httpx.Response, StoreFault]:
        self.counts_by_call[path] = self.counts_by_call.get(path, 0) + 1
        try:
            response = await self.http.request(method, path, **body)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return self._record_failure(
                StoreFault(repr(error), may_have_applied=False)
            )
        except httpx.HTTPError as error:
            return self._record_failure(
                StoreFault(repr(error), may_have_applied=True)
            )
        if response.status_code == _TOO_MANY_REQUESTS:
            wait_s = response.json().get('retry_after_s', 1)
            return Error(StoreFault('rate limit', False, wait_s))
        if response.is_error and response.status_code != _NOT_FOUND:
            detail = f'status {response.status_code}'
            return self._record_failure(
                StoreFault(detail, may_have_applied=False)
            )
        self.n_failed = 0
        return Ok(response)

    def _record_failure(self, fault: StoreFault) -> Result[Any, StoreFault]:
        self.n_failed += 1
        return Error(fault)


def _decode(response: httpx.Response) -> Result[Any, StoreFault]:
    try:
        return Ok(response.json())
    except ValueError as error:
        return Error(StoreFault(repr(error), may_have_applied=True))


def _discard_response(_response: Any) -> None:
    """Discard a response without content."""


def _get_object_body(response: httpx.Response) -> bytes | None:
    if response.status_code == _NOT_FOUND:
        return None
    return response.content
