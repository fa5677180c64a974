"""Probes whether the host of an upstream is reachable.

A connection timeout may be caused by this node's own link as well as by the
other host. A probe without a response is therefore repeated together with
probes of some other upstreams, which serve as controls.
"""

import enum
from collections.abc import Iterator

import trio
from turmericcrank_core.upstream_health import is_ejected
from turmericcrank_core.upstream_registry import ListedUpstream

from turmericcrank_node.http_connection import ConnectFault
from turmericcrank_node.state.node_state import NodeState, read_boottime_s
from turmericcrank_node.upstreams.upstream_access import connect_to_upstream

__all__ = ('HostStatus', 'is_host_unresponsive', 'probe_host')

_PROBE_TIMEOUT_S = 1.5
_MAX_CONTROLS = 2


class HostStatus(enum.StrEnum):
    """Result of probing the host of an upstream.

    Attributes:
        takes: It accepts connections.
        refuses: It refuses connections.
        silent: It was not reached, but a control was.
        unknown: Neither it nor any control was reached.
    """

    takes = 'takes'
    refuses = 'refuses'
    silent = 'silent'
    unknown = 'unknown'


_STATUS_BY_FAULT = {
    None: HostStatus.takes,
    ConnectFault.refused: HostStatus.refuses,
    ConnectFault.timed_out: HostStatus.silent,
    ConnectFault.unreachable: HostStatus.unknown,
    ConnectFault.no_path: HostStatus.unknown,
}


async def probe_host(state: NodeState, upstream: ListedUpstream) -> HostStatus:
    """Probe the host of an upstream; if it is not reached, use controls.

    Returns:
        ``unknown`` if neither the host nor any control was reached: this
        node's own link may then be saturated or down.
    """
    fault = await _probe(state, upstream)
    if fault is not None and fault is not ConnectFault.refused:
        fault = await _probe_with_controls(state, upstream)
    return _STATUS_BY_FAULT[fault]


async def _probe_with_controls(
    state: NodeState, upstream: ListedUpstream
) -> ConnectFault | None:
    """Repeat a probe; ``unreachable`` if no control was reached either."""
    fault_by_id: dict[str, ConnectFault | None] = {}

    async def record_probe(target: ListedUpstream) -> None:
        fault_by_id[target.upstream_id] = await _probe(state, target)

    async with trio.open_nursery() as nursery:
        for target in (upstream, *_choose_controls(state, upstream)):
            nursery.start_soon(record_probe, target)
    fault = fault_by_id.pop(upstream.upstream_id)
    if fault is None or fault is ConnectFault.refused:
        return fault
    is_any_reached = any(
        other is None or other is ConnectFault.refused
        for other in fault_by_id.values()
    )
    if is_any_reached:
        return ConnectFault.timed_out
    return ConnectFault.unreachable


async def is_host_unresponsive(
    state: NodeState, upstream: ListedUpstream
) -> bool:
    """Return whether the host of an upstream is unresponsive.

    A host that refuses connections is not unresponsive: it may be at capacity
    or draining, and still complete its in-flight requests.
    """
    return await probe_host(state, upstream) is HostStatus.silent


async def _probe(
    state: NodeState, upstream: ListedUpstream
) -> ConnectFault | None:
    probe = await connect_to_upstream(state, upstream, _PROBE_TIMEOUT_S)
    if isinstance(probe, ConnectFault):
        return probe
    probe.abort()
    return None


def _choose_controls(
    state: NodeState, upstream: ListedUpstream
) -> list[ListedUpstream]:
    """Choose a few random upstreams that are not ejected as controls."""
    others = list(_iter_controls(state, upstream.address))
    count = min(_MAX_CONTROLS, len(others))
    return state.random_source.sample(others, count)


def _iter_controls(
    state: NodeState, excluded_address: str
) -> Iterator[ListedUpstream]:
    now_s = read_boottime_s()
    for target in state.upstream_registry.by_id.values():
        is_excluded = is_ejected(
            state.upstream_health, target.upstream_id, now_s
        )
        if target.address != excluded_address and not is_excluded:
            yield target
