"""Makes one HTTP call to the platform's store, within a time limit."""

from dataclasses import dataclass

import trio
from turmericcrank_core.network_address import split_address

from turmericcrank_node.http_wire import (
    ConnectFault,
    ReadFault,
    ResponseHead,
    UpstreamConnection,
    connect_upstream,
    read_body,
    read_response_head,
    write_request,
)
from turmericcrank_node.platform_port import StoreUnavailable

__all__ = ('StoreConnection', 'StoreReply', 'call_store')

_CONNECT_S = 0.5
_ANSWER_S = 1.5
_MAX_BYTES = 0x2000000


@dataclass(slots=True, frozen=True)
class StoreConnection:
    """Where the store is.

    Attributes:
        address: ``IP:port``.
    """

    address: str


@dataclass(slots=True, frozen=True)
class StoreReply:
    """What the store answered."""

    status: int
    body: bytes


async def call_store(
    store: StoreConnection,
    method: str,
    target: str,
    body: bytes,
    wait_s: float = 0,
) -> StoreReply | StoreUnavailable:
    """Make one call on a connection of its own.

    Args:
        store: Where the store is.
        method: HTTP method.
        target: Path and query.
        body: Body; empty for none.
        wait_s: How long the store is asked to wait for changes, in seconds.

    Returns:
        The answer. Without one, a write may have been done all the same.
    """
    host, port = split_address(store.address)
    outcome: StoreReply | StoreUnavailable = StoreUnavailable('no answer')
    with trio.move_on_after(_ANSWER_S + wait_s):
        connection = await connect_upstream(host, port, _CONNECT_S)
        if isinstance(connection, ConnectFault):
            return StoreUnavailable(f'connection {connection.value}')
        try:
            outcome = await _exchange(
                connection, store.address, method, target, body
            )
        finally:
            connection.abort()
    return outcome


async def _exchange(
    connection: UpstreamConnection,
    address: str,
    method: str,
    target: str,
    body: bytes,
) -> StoreReply | StoreUnavailable:
    headers = [
        (b'host', address.encode()),
        (b'connection', b'close'),
    ]
    if body:
        headers.append((b'content-type', b'application/json'))
        headers.append((b'content-length', b'%d' % len(body)))
    await write_request(
        connection, method.encode(), target.encode(), headers, body
    )
    head = await read_response_head(connection)
    if not isinstance(head, ResponseHead):
        return StoreUnavailable(head.value)
    answer = await read_body(connection, _MAX_BYTES)
    if isinstance(answer, ReadFault):
        return StoreUnavailable(answer.value)
    return StoreReply(head.status, answer)
