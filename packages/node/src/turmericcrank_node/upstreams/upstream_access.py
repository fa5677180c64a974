"""Connects to upstreams, through a peer while this node is cut off from all."""

from collections.abc import Awaitable, Callable, Iterable

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.network_address import split_address
from turmericcrank_core.upstream_health import end_ejections
from turmericcrank_core.upstream_path import (
    is_check_due,
    record_check,
    record_probe,
    record_reached,
)
from turmericcrank_core.upstream_registry import ListedUpstream

from turmericcrank_node.http_connection import (
    ConnectFault,
    UpstreamConnection,
    connect_upstream,
)
from turmericcrank_node.state.node_state import NodeState, read_boottime_s
from turmericcrank_node.tunnel.tunnel_client import (
    connect_through_peer,
    probe_through_peers,
)

__all__ = (
    'check_path',
    'connect_directly',
    'connect_to_upstream',
    'serve_path_probes',
)

_CONNECT_TIMEOUT_S = 0.4
_N_CONTROLS = 4
# Requests whose connection failed wait for the result of a check.
_CHECK_TIMEOUT_S = 0.8
_PROBE_INTERVAL_S = 0.3
_Probe = Callable[[NodeState, ListedUpstream], Awaitable[bool]]


async def connect_to_upstream(
    state: NodeState, upstream: ListedUpstream, time_left_s: float
) -> UpstreamConnection | ConnectFault:
    """Connect to an upstream, directly or through a peer.

    Args:
        state: The node.
        upstream: Upstream to connect to.
        time_left_s: Longest time that it may take, in seconds.
    """
    with trio.move_on_after(time_left_s):
        began_s = read_boottime_s()
        if state.upstream_path.is_cut_off:
            return await connect_through_peer(state, upstream)
        outcome = await connect_directly(state, upstream)
        if isinstance(outcome, UpstreamConnection):
            return outcome
        if await check_path(state, upstream, began_s):
            return await connect_through_peer(state, upstream)
        return outcome
    return ConnectFault.timed_out


async def connect_directly(
    state: NodeState, upstream: ListedUpstream
) -> UpstreamConnection | ConnectFault:
    """Connect to an upstream without the help of a peer."""
    host, port = split_address(upstream.address)
    outcome = await connect_upstream(host, port, _CONNECT_TIMEOUT_S)
    if isinstance(outcome, UpstreamConnection):
        record_reached(state.upstream_path, read_boottime_s())
    return outcome


async def check_path(
    state: NodeState, upstream: ListedUpstream, failed_s: float
) -> bool:
    """Return whether this node is cut off, after a failed connection.

    Args:
        state: The node.
        upstream: Upstream that was not reached.
        failed_s: When that connection was begun, in seconds.
    """
    path = state.upstream_path
    async with state.path_check:
        if is_check_due(path, failed_s, read_boottime_s()):
            is_cut_off = False
            with trio.move_on_after(_CHECK_TIMEOUT_S):
                is_cut_off = await _is_cut_off(state, upstream)
            record_check(path, is_cut_off, read_boottime_s())
            if is_cut_off:
                _begin_cut(state, upstream)
    return path.is_cut_off


async def serve_path_probes(state: NodeState) -> None:
    """Find out when this node reaches upstreams by itself again."""
    while True:
        await state.cut_off.wait()
        while state.upstream_path.is_cut_off:
            await trio.sleep(_PROBE_INTERVAL_S)
            targets = _choose_upstreams(state, '', 1)
            is_reached = await _is_any_reached(_probe_directly, state, targets)
            record_probe(state.upstream_path, is_reached, read_boottime_s())
        state.cut_off = trio.Event()
        state.log.write(EventCode.upstreams_reached)
        state.request_gossip()


def _begin_cut(state: NodeState, upstream: ListedUpstream) -> None:
    # What this node has just failed to reach is not at fault.
    end_ejections(state.upstream_health)
    state.cut_off.set()
    state.log.write(EventCode.upstreams_cut_off, upstream=upstream.upstream_id)
    state.request_gossip()


async def _is_cut_off(state: NodeState, upstream: ListedUpstream) -> bool:
    """Return whether a peer reaches upstreams and this node reaches none."""
    controls = _choose_upstreams(state, upstream.address, _N_CONTROLS)
    if await _is_any_reached(_probe_directly, state, controls):
        return False
    targets = [upstream, *controls]
    return await _is_any_reached(probe_through_peers, state, targets)


def _choose_upstreams(
    state: NodeState, excluded_address: str, count: int
) -> list[ListedUpstream]:
    """Choose random upstreams, of any service, at other addresses."""
    others = [
        listed
        for listed in state.upstream_registry.by_id.values()
        if listed.address != excluded_address
    ]
    return state.random_source.sample(others, min(count, len(others)))


async def _probe_directly(state: NodeState, upstream: ListedUpstream) -> bool:
    outcome = await connect_directly(state, upstream)
    if isinstance(outcome, UpstreamConnection):
        outcome.abort()
        return True
    return False


async def _is_any_reached(
    probe: _Probe, state: NodeState, targets: Iterable[ListedUpstream]
) -> bool:
    """Probe all targets at once; return whether one is reached."""
    reached = trio.Event()

    async def run(target: ListedUpstream, scope: trio.CancelScope) -> None:
        if await probe(state, target):
            reached.set()
            scope.cancel()

    async with trio.open_nursery() as nursery:
        for target in targets:
            nursery.start_soon(run, target, nursery.cancel_scope)
    return reached.is_set()
