"""Waits for an upstream for as long as nothing better may be done.

Slowness of an upstream ends an attempt only when another one may follow it:
else its client gains nothing from the end, and a sound answer may still come.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import trio
from turmericcrank_core.upstream_rows import ListedUpstream

from turmericcrank_node.state.node_state import NodeState
from turmericcrank_node.upstreams.attempt import (
    HOST_SILENT,
    NO_RESPONSE,
    AttemptFault,
    FaultKind,
)
from turmericcrank_node.upstreams.host_probe import is_host_silent

__all__ = ('Patience', 'wait_patiently')

_LOOK_S = 1.2
_RETRY_LOOK_S = 0.2
_Outcome = TypeVar('_Outcome')


@dataclass(slots=True, frozen=True)
class Patience:
    """How long an upstream is waited for.

    Attributes:
        usual_s: Time after which another attempt promises more, in seconds.
        left_s: Time until the client must have its answer, in seconds.
        may_follow: Tells whether another attempt may follow now.
    """

    usual_s: float
    left_s: float
    may_follow: Callable[[], bool]


@dataclass(slots=True)
class _Wait:
    """Why a wait has ended."""

    scope: trio.CancelScope
    reason: str = NO_RESPONSE


async def wait_patiently(
    state: NodeState,
    patience: Patience,
    upstream: ListedUpstream,
    act: Callable[[], Awaitable[_Outcome | AttemptFault]],
) -> _Outcome | AttemptFault:
    """Do what needs an upstream, and end it when another one should try.

    Args:
        state: The node.
        patience: How long to wait.
        upstream: Who is waited for.
        act: Cleans up after itself when it is cancelled.
    """
    outcome: _Outcome | AttemptFault | None = None
    async with trio.open_nursery() as nursery:
        wait = _Wait(nursery.cancel_scope)
        nursery.start_soon(_watch, state, patience, upstream, wait)
        with trio.move_on_after(patience.left_s):
            outcome = await act()
        nursery.cancel_scope.cancel()
    if outcome is None:
        return AttemptFault(FaultKind.unknown, wait.reason)
    return outcome


async def _watch(
    state: NodeState,
    patience: Patience,
    upstream: ListedUpstream,
    wait: _Wait,
) -> None:
    with trio.move_on_after(patience.usual_s):
        while True:
            await trio.sleep(_LOOK_S)
            if await is_host_silent(state, upstream):
                wait.reason = HOST_SILENT
                wait.scope.cancel()
                return
    while not patience.may_follow():
        await trio.sleep(_RETRY_LOOK_S)
    wait.scope.cancel()
