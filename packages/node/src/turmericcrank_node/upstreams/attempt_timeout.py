"""Decides when to abandon an attempt at a slow or unresponsive upstream.

Slowness ends an attempt only if a retry would follow: otherwise the client
gains nothing, and a valid response may still arrive. For an unresponsive
host the condition may be weaker: the client itself may retry at another node.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import trio
from turmericcrank_core.upstream_registry import ListedUpstream

from turmericcrank_node.state.node_state import NodeState
from turmericcrank_node.upstreams.attempt import (
    HOST_UNRESPONSIVE,
    NO_RESPONSE,
    AttemptFault,
    FaultKind,
    OpenResponse,
)
from turmericcrank_node.upstreams.host_probe import is_host_unresponsive

__all__ = ('WaitLimits', 'wait_for_upstream')

_PROBE_INTERVAL_S = 1
_RETRY_POLL_S = 0.5
_Outcome = TypeVar('_Outcome')


@dataclass(slots=True, frozen=True)
class WaitLimits:
    """Limits of the wait for an upstream.

    Attributes:
        soft_timeout_s: Time after which a retry is more promising, in
            seconds.
        left_s: Time until the deadline of the request, in seconds.
        may_abandon_unresponsive: Returns whether an unresponsive host may
            end the wait now.
        may_abandon_slow: Returns whether slowness may end the wait now.
        slow_reason: Reason of the fault if slowness ends the attempt.
        first_probe_delay_s: Delay of the first probe of the host, in
            seconds.
    """

    soft_timeout_s: float
    left_s: float
    may_abandon_unresponsive: Callable[[], bool]
    may_abandon_slow: Callable[[], bool]
    slow_reason: str = NO_RESPONSE
    first_probe_delay_s: float = _PROBE_INTERVAL_S


@dataclass(slots=True)
class _Wait:
    """A wait that can be cancelled, and the reason if it is."""

    scope: trio.CancelScope
    reason: str


async def wait_for_upstream(
    state: NodeState,
    limits: WaitLimits,
    upstream: ListedUpstream,
    operation: Callable[[], Awaitable[_Outcome | AttemptFault]],
) -> _Outcome | AttemptFault:
    """Run an operation at an upstream; cancel it if a retry is better.

    It is also cancelled at the deadline of the request.

    Args:
        state: The node.
        limits: Limits of the wait.
        upstream: Upstream that runs the operation.
        operation: Operation to run; it must release its resources when it
            is cancelled.
    """
    outcome: _Outcome | AttemptFault | None = None
    is_done = False
    try:
        async with trio.open_nursery() as nursery:
            wait = _Wait(nursery.cancel_scope, limits.slow_reason)
            nursery.start_soon(_watch_upstream, state, limits, upstream, wait)
            with trio.move_on_after(max(0, limits.left_s)):
                outcome = await operation()
                is_done = True
            nursery.cancel_scope.cancel()
    except BaseException:
        if isinstance(outcome, OpenResponse):
            outcome.connection.abort()
        raise
    if is_done:
        return outcome
    return AttemptFault(FaultKind.unknown, wait.reason)


async def _watch_upstream(
    state: NodeState, limits: WaitLimits, upstream: ListedUpstream, wait: _Wait
) -> None:
    with trio.move_on_after(max(0, limits.soft_timeout_s)):
        await trio.sleep(limits.first_probe_delay_s)
        while not await _should_abandon_host(state, limits, upstream):
            await trio.sleep(_PROBE_INTERVAL_S)
        wait.reason = HOST_UNRESPONSIVE
        wait.scope.cancel()
        return
    while not limits.may_abandon_slow():
        await trio.sleep(_RETRY_POLL_S)
    wait.scope.cancel()


async def _should_abandon_host(
    state: NodeState, limits: WaitLimits, upstream: ListedUpstream
) -> bool:
    if not limits.may_abandon_unresponsive():
        return False
    is_unresponsive = await is_host_unresponsive(state, upstream)
    return is_unresponsive and limits.may_abandon_unresponsive()
