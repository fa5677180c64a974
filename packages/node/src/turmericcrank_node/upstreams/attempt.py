"""Sends a request to one upstream and reads the head of its response."""

import enum
from dataclasses import dataclass

import trio
from turmericcrank_core.network_address import split_address
from turmericcrank_core.upstream_rows import ListedUpstream

from turmericcrank_node.http_wire import (
    ConnectFault,
    ReadFault,
    ResponseHead,
    UpstreamConnection,
    connect_upstream,
    is_success,
    read_response_head,
    write_request,
)
from turmericcrank_node.platform_port import AnswerHead, Call, Sending
from turmericcrank_node.state.node_state import NodeState

__all__ = (
    'Answering',
    'AttemptFault',
    'FaultKind',
    'is_host_silent',
    'open_attempt',
    'takes_connections',
)

_CONNECT_S = 0.4
_LOOK_S = 1.2
_NO_RESPONSE = 'no response in time'
_SILENCES = frozenset((_NO_RESPONSE, 'stalled'))


class FaultKind(enum.StrEnum):
    """What is known of a request after a failed attempt."""

    not_sent = 'not sent'
    not_run = 'not run'
    unknown = 'unknown'


@dataclass(slots=True, frozen=True)
class AttemptFault:
    """An attempt that gave no response.

    Attributes:
        kind: Whether the request may have run.
        reason: What was seen.
    """

    kind: FaultKind
    reason: str

    @property
    def is_silent(self) -> bool:
        """Tell whether the upstream did not speak at all."""
        return self.kind is FaultKind.not_sent or self.reason in _SILENCES


@dataclass(slots=True, frozen=True)
class Answering:
    """An upstream that has begun to answer.

    Attributes:
        connection: Where the body comes.
        status: Status of the response.
        head: What its head says.
    """

    connection: UpstreamConnection
    status: int
    head: AnswerHead


async def open_attempt(
    state: NodeState,
    call: Call,
    sending: Sending,
    upstream: ListedUpstream,
    head_timeout_s: float,
) -> Answering | AttemptFault:
    """Send a request and wait for the head of the response.

    Args:
        state: The node.
        call: The client's request.
        sending: What the upstream is told with it.
        upstream: Where it goes.
        head_timeout_s: Longest wait for the head, in seconds.

    Returns:
        The response, whose connection the caller closes, or why there is
        none; then the connection is closed.
    """
    host, port = split_address(upstream.address)
    connect_s = min(_CONNECT_S, head_timeout_s)
    connection = await connect_upstream(host, port, connect_s)
    if isinstance(connection, ConnectFault):
        return AttemptFault(FaultKind.not_sent, connection.value)
    is_kept = False
    try:
        outcome = await _exchange(
            state, call, sending, connection, upstream, head_timeout_s
        )
        is_kept = isinstance(outcome, Answering)
    finally:
        if not is_kept:
            connection.abort()
    return outcome


async def _exchange(
    state: NodeState,
    call: Call,
    sending: Sending,
    connection: UpstreamConnection,
    upstream: ListedUpstream,
    head_timeout_s: float,
) -> Answering | AttemptFault:
    headers = state.platform.encode_sending(call, sending)
    request = call.request
    head: ResponseHead | ReadFault | None = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            write_request,
            connection,
            request.method,
            request.target,
            headers,
            request.body,
        )
        with trio.move_on_after(head_timeout_s) as scope:
            nursery.start_soon(_watch_host, upstream, scope)
            head = await read_response_head(connection)
        nursery.cancel_scope.cancel()
    if head is None:
        return AttemptFault(FaultKind.unknown, _NO_RESPONSE)
    if isinstance(head, ReadFault):
        return AttemptFault(FaultKind.unknown, head.value)
    return _check_head(state, call, connection, head)


async def _watch_host(
    upstream: ListedUpstream, scope: trio.CancelScope
) -> None:
    """End the wait for an upstream whose host does not respond any more."""
    while True:
        await trio.sleep(_LOOK_S)
        if await is_host_silent(upstream):
            scope.cancel()
            return


async def takes_connections(upstream: ListedUpstream) -> bool:
    """Tell whether an upstream takes connections."""
    return await _probe(upstream) is None


async def is_host_silent(upstream: ListedUpstream) -> bool:
    """Tell whether the host of an upstream does not respond at all.

    One that refuses may be full or about to leave, and still answer the
    requests that it has.
    """
    return await _probe(upstream) is ConnectFault.timed_out


async def _probe(upstream: ListedUpstream) -> ConnectFault | None:
    host, port = split_address(upstream.address)
    probe = await connect_upstream(host, port, _CONNECT_S)
    if isinstance(probe, ConnectFault):
        return probe
    probe.abort()
    return None


def _check_head(
    state: NodeState,
    call: Call,
    connection: UpstreamConnection,
    head: ResponseHead,
) -> Answering | AttemptFault:
    answer = state.platform.decode_answer(head.status, head.headers)
    if answer.is_not_run:
        return AttemptFault(FaultKind.not_run, f'status {head.status}')
    if answer.request_id and answer.request_id != call.request_id:
        return AttemptFault(FaultKind.unknown, 'another request was answered')
    if is_success(head.status) and not answer.is_signed:
        return AttemptFault(FaultKind.unknown, 'no signature')
    return Answering(connection, head.status, answer)
