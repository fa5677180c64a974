"""Sends a request to one upstream and reads the response head."""

import enum
from dataclasses import dataclass, replace
from http import HTTPStatus

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.upstream_notices import defer_upstream, record_leaving
from turmericcrank_core.upstream_registry import ListedUpstream

from turmericcrank_node.http_connection import (
    ConnectFault,
    ReadFault,
    UpstreamConnection,
    encode_request,
    is_success,
    read_response_head,
    send_request,
)
from turmericcrank_node.platform_port import (
    DecodedRequest,
    ForwardMetadata,
    ResponseInfo,
)
from turmericcrank_node.state.node_state import NodeState, read_boottime_s
from turmericcrank_node.upstreams.brittle_upstreams import process_brittleness
from turmericcrank_node.upstreams.request_limits import process_request_limit
from turmericcrank_node.upstreams.upstream_access import connect_to_upstream

__all__ = (
    'DEADLINE_MARGIN_S',
    'HOST_UNRESPONSIVE',
    'NO_EVENT',
    'NO_RESPONSE',
    'AttemptFault',
    'FaultKind',
    'OpenResponse',
    'open_attempt',
)

HOST_UNRESPONSIVE = 'host silent'
NO_EVENT = 'timed out waiting for an event'
NO_RESPONSE = 'timed out waiting for a response'
# Time in which a client can still be told that its request was not sent.
DEADLINE_MARGIN_S = 0.02
_UNRESPONSIVE_REASONS = frozenset((NO_RESPONSE, HOST_UNRESPONSIVE, NO_EVENT))
_BROKEN_REASONS = frozenset((ReadFault.reset, ReadFault.ended_early))
_NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


class FaultKind(enum.StrEnum):
    """Whether the upstream of a failed attempt may have executed the request.

    Attributes:
        not_sent: The request was not sent.
        not_run: The upstream states that it did not execute the request.
        unknown: The request may have been executed.
    """

    not_sent = 'not sent'
    not_run = 'not run'
    unknown = 'unknown'


@dataclass(slots=True, frozen=True)
class AttemptFault:
    """A failed attempt, without a usable response.

    Attributes:
        kind: Whether the request may have been executed.
        reason: Cause of the failure, for the log.
    """

    kind: FaultKind
    reason: str

    @property
    def is_unresponsive(self) -> bool:
        """Whether the upstream was not reached or stopped sending."""
        if self.kind is FaultKind.not_sent:
            return self.is_upstream_fault
        return self.reason in _UNRESPONSIVE_REASONS

    @property
    def is_broken_connection(self) -> bool:
        """Whether the connection ended before the response did."""
        return self.reason in _BROKEN_REASONS

    @property
    def is_upstream_fault(self) -> bool:
        """Whether the upstream may be at fault, not this node's links."""
        return self.reason != ConnectFault.no_path


@dataclass(slots=True, frozen=True)
class OpenResponse:
    """A response whose head has been read and whose body is still open.

    Attributes:
        connection: Connection from which the body is read.
        status: Status code.
        head: Decoded head of the response.
    """

    connection: UpstreamConnection
    status: int
    head: ResponseInfo


async def open_attempt(
    state: NodeState,
    call: DecodedRequest,
    metadata: ForwardMetadata,
    upstream: ListedUpstream,
) -> OpenResponse | AttemptFault:
    """Send a request and wait for the response head.

    Only connecting has a timeout; the caller limits the rest.

    Args:
        state: The node.
        call: Client request.
        metadata: Metadata that is forwarded with the request.
        upstream: Upstream that receives the request.

    Returns:
        The open response, whose connection the caller must close, or a
        fault; the connection is then closed already.
    """
    # Stop shortly before the deadline, so that the client can still be told
    # that the request was not sent.
    connect_s = metadata.time_left_s - DEADLINE_MARGIN_S
    if connect_s <= 0:
        return AttemptFault(
            FaultKind.not_sent, 'too little time left to connect'
        )
    began_s = trio.current_time()
    connection = await connect_to_upstream(state, upstream, connect_s)
    if isinstance(connection, ConnectFault):
        return AttemptFault(FaultKind.not_sent, connection.value)
    if connection.tunnel_peer:
        state.log.write(
            EventCode.tunnel_used,
            request=call.request_id,
            upstream=upstream.upstream_id,
            peer=connection.tunnel_peer,
        )
    is_open = False
    try:
        outcome = await _write_and_read_head(
            state,
            call,
            _subtract_time(metadata, trio.current_time() - began_s),
            connection,
            upstream,
        )
        is_open = isinstance(outcome, OpenResponse)
    finally:
        if not is_open:
            connection.abort()
    return outcome


def _subtract_time(
    metadata: ForwardMetadata, elapsed_s: float
) -> ForwardMetadata:
    """Return the metadata with the time that connecting has left."""
    left_s = max(0, metadata.time_left_s - elapsed_s)
    return replace(metadata, time_left_s=left_s)


async def _write_and_read_head(
    state: NodeState,
    call: DecodedRequest,
    metadata: ForwardMetadata,
    connection: UpstreamConnection,
    upstream: ListedUpstream,
) -> OpenResponse | AttemptFault:
    headers = state.platform.encode_forward_headers(call, metadata)
    request = call.request
    # A connection that ends before the request is encoded takes none.
    parts = encode_request(
        connection, request.method, request.target, headers, request.body
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_request, connection, parts)
        head = await read_response_head(connection)
        nursery.cancel_scope.cancel()
    if isinstance(head, ReadFault):
        return AttemptFault(FaultKind.unknown, head.value)
    response_info = state.platform.decode_response_head(
        head.status, head.headers
    )
    if response_info.request_id and response_info.request_id != call.request_id:
        return AttemptFault(FaultKind.unknown, 'response to another request')
    _process_notices(state, upstream, response_info)
    if head.status != HTTPStatus.MISDIRECTED_REQUEST:
        process_brittleness(state, upstream.upstream_id, response_info)
    process_request_limit(
        state, upstream.upstream_id, head.status, response_info
    )
    return _check_head(connection, head.status, response_info)


def _process_notices(
    state: NodeState, upstream: ListedUpstream, response_info: ResponseInfo
) -> None:
    """Process the backpressure and drain notices of a response."""
    upstream_id = upstream.upstream_id
    now_s = read_boottime_s()
    if response_info.retry_after_s is not None:
        wait_s = response_info.retry_after_s
        defer_upstream(state.notices, upstream_id, wait_s, now_s)
        state.log.write(
            EventCode.upstream_deferred, upstream=upstream_id, wait_s=wait_s
        )
    if not response_info.is_leaving:
        return
    if record_leaving(state.notices, upstream_id, upstream.born_ms, now_s):
        state.log.write(
            EventCode.upstream_leaving,
            upstream=upstream_id,
            born_ms=upstream.born_ms,
            source='response',
        )
        state.request_gossip()


def _check_head(
    connection: UpstreamConnection, status: int, response_info: ResponseInfo
) -> OpenResponse | AttemptFault:
    if response_info.is_not_run:
        return AttemptFault(FaultKind.not_run, f'status {status}')
    if is_success(status) and not response_info.is_signed:
        return AttemptFault(FaultKind.unknown, 'response without a signature')
    if status in _NOT_RUN_STATUSES:
        # A client reads these statuses as "not executed", which the
        # upstream has not stated, so they are not forwarded.
        return AttemptFault(
            FaultKind.unknown,
            f'status {status} without stating whether the request ran',
        )
    return OpenResponse(connection, status, response_info)
