"""Makes HTTP calls to the platform's store, with a timeout."""

from dataclasses import dataclass

import trio
from turmericcrank_core.network_address import split_address

from turmericcrank_node.http_connection import (
    ConnectFault,
    Headers,
    ReadFault,
    ResponseHead,
    UpstreamConnection,
    connect_upstream,
    encode_request,
    read_body,
    read_response_head,
    send_request,
)
from turmericcrank_node.platform_port import StoreUnavailable

__all__ = ('StoreConnection', 'StoreResponse', 'call_store')

_CONNECT_TIMEOUT_S = 0.5
_RESPONSE_TIMEOUT_S = 1.5
_MAX_BODY_BYTES = 0x800000


@dataclass(slots=True, frozen=True)
class StoreConnection:
    """Location of the store.

    Attributes:
        address: ``IP:port``.
    """

    address: str


@dataclass(slots=True, frozen=True)
class StoreResponse:
    """Response of the store.

    Attributes:
        status: Status code.
        headers: Header fields with lower-case names.
        body: Complete body.
    """

    status: int
    headers: Headers
    body: bytes


async def call_store(
    store: StoreConnection,
    method: str,
    target: str,
    body: bytes,
    wait_s: float = 0,
) -> StoreResponse | StoreUnavailable:
    """Make one call on a new connection.

    Args:
        store: Location of the store.
        method: HTTP method.
        target: Path and query.
        body: Request body; empty for none.
        wait_s: Long poll timeout: how long the store may wait for changes,
            in seconds; added to the call's timeout.

    Returns:
        The response. If there is none, a write may have been applied
        nevertheless.
    """
    host, port = split_address(store.address)
    outcome: StoreResponse | StoreUnavailable = StoreUnavailable('timed out')
    with trio.move_on_after(_RESPONSE_TIMEOUT_S + wait_s):
        connection = await connect_upstream(host, port, _CONNECT_TIMEOUT_S)
        if isinstance(connection, ConnectFault):
            return StoreUnavailable(f'connection {connection.value}')
        try:
            outcome = await _send_request(
                connection, store.address, method, target, body
            )
        finally:
            connection.abort()
    return outcome


async def _send_request(
    connection: UpstreamConnection,
    address: str,
    method: str,
    target: str,
    body: bytes,
) -> StoreResponse | StoreUnavailable:
    headers = [
        (b'host', address.encode()),
        (b'connection', b'close'),
    ]
    if body:
        headers.append((b'content-type', b'application/json'))
        headers.append((b'content-length', b'%d' % len(body)))
    parts = encode_request(
        connection, method.encode(), target.encode(), headers, body
    )
    await send_request(connection, parts)
    head = await read_response_head(connection)
    if not isinstance(head, ResponseHead):
        return StoreUnavailable(head.value)
    response_body = await read_body(connection, _MAX_BODY_BYTES)
    if isinstance(response_body, ReadFault):
        return StoreUnavailable(response_body.value)
    return StoreResponse(head.status, head.headers, bytes(response_body))
