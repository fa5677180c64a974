"""Waits for an upstream for as long as nothing better may be done.

Slowness of an upstream ends an attempt only when another one would follow:
else its client gains nothing from the end, and a sound answer may still come.
A silent host ends it also where the client itself may ask again elsewhere.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import trio
from turmericcrank_core.upstream_rows import ListedUpstream

from turmericcrank_node.state.node_state import NodeState
from turmericcrank_node.upstreams.attempt import (
    HOST_UNRESPONSIVE,
    NO_RESPONSE,
    OpenResponse,
    AttemptFault,
    FaultKind,
)
from turmericcrank_node.upstreams.host_probe import is_host_unresponsive

__all__ = ('WaitLimits', 'wait_for_upstream')

_PROBE_INTERVAL_S = 1
_RETRY_POLL_S = 0.5
_Outcome = TypeVar('_Outcome')


@dataclass(slots=True, frozen=True)
class WaitLimits:
    """How long an upstream is waited for.

    Attributes:
        usual_s: Time after which another attempt promises more, in seconds.
        left_s: Time until the client must have its answer, in seconds.
        may_end_silent: Tells whether a silent host may end the wait now.
        may_end_slow: Tells whether slowness may end the wait now.
        slow_reason: Why the attempt failed, if slowness ends it.
        first_look_s: Time before the first look at the host, in seconds.
    """

    soft_timeout_s: float
    left_s: float
    may_abandon_unresponsive: Callable[[], bool]
    may_abandon_slow: Callable[[], bool]
    slow_reason: str = NO_RESPONSE
    first_probe_delay_s: float = _PROBE_INTERVAL_S


@dataclass(slots=True)
class _Wait:
    """Why a wait has ended."""

    scope: trio.CancelScope
    reason: str


async def wait_for_upstream(
    state: NodeState,
    limits: WaitLimits,
    upstream: ListedUpstream,
    operation: Callable[[], Awaitable[_Outcome | AttemptFault]],
) -> _Outcome | AttemptFault:
    """Do what needs an upstream, and end it when another one should try.

    Args:
        state: The node.
        limits: How long to wait.
        upstream: Who is waited for.
        act: Cleans up after itself when it is cancelled.
    """
    outcome: _Outcome | AttemptFault | None = None
    is_done = False
    try:
        async with trio.open_nursery() as nursery:
            wait = _Wait(nursery.cancel_scope, limits.slow_reason)
            nursery.start_soon(_watch, state, limits, upstream, wait)
            with trio.move_on_after(limits.left_s):
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


async def _watch(
    state: NodeState, limits: WaitLimits, upstream: ListedUpstream, wait: _Wait
) -> None:
    with trio.move_on_after(max(0, limits.soft_timeout_s)):
        await trio.sleep(limits.first_probe_delay_s)
        while not await _is_host_lost(state, limits, upstream):
            await trio.sleep(_PROBE_INTERVAL_S)
        wait.reason = HOST_UNRESPONSIVE
        wait.scope.cancel()
        return
    while not limits.may_abandon_slow():
        await trio.sleep(_RETRY_POLL_S)
    wait.scope.cancel()


async def _is_host_lost(
    state: NodeState, limits: WaitLimits, upstream: ListedUpstream
) -> bool:
    if not limits.may_abandon_unresponsive():
        return False
    is_unresponsive = await is_host_unresponsive(state, upstream)
    return is_unresponsive and limits.may_abandon_unresponsive()
