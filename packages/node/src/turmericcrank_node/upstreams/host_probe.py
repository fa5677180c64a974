"""Looks whether the host of an upstream is there.

A connection that is not made in time says as much of this node's own link
as of the other host, so it is tried again beside some other hosts.
"""

import enum
from collections.abc import Iterator

import trio
from turmericcrank_core.network_address import split_address
from turmericcrank_core.outcomes import is_resting
from turmericcrank_core.upstream_rows import ListedUpstream

from turmericcrank_node.http_wire import ConnectFault, connect_upstream
from turmericcrank_node.state.node_state import NodeState, read_boot_s

__all__ = ('HostStatus', 'is_host_unresponsive', 'probe_host')

_CONNECT_TIMEOUT_S = 0.4
_MAX_CONTROLS = 2


class HostStatus(enum.StrEnum):
    """What is seen of the host of an upstream."""

    takes = 'takes'
    refuses = 'refuses'
    silent = 'silent'
    unknown = 'unknown'


_STATUS_BY_FAULT = {
    None: HostStatus.takes,
    ConnectFault.refused: HostStatus.refuses,
    ConnectFault.timed_out: HostStatus.silent,
    ConnectFault.unreachable: HostStatus.unknown,
}


async def probe_host(state: NodeState, upstream: ListedUpstream) -> HostStatus:
    """Try a connection to an upstream, and again beside others if need be.

    Returns:
        ``unknown`` when neither it nor the others were reached: then this
        node's own link may be full or cut.
    """
    fault = await _probe(upstream)
    if fault is not None and fault is not ConnectFault.refused:
        fault = await _probe_with_controls(state, upstream)
    return _STATUS_BY_FAULT[fault]


async def _probe_with_controls(
    state: NodeState, upstream: ListedUpstream
) -> ConnectFault | None:
    """Try a connection again; ``unreachable`` when no other is made either."""
    fault_by_id: dict[str, ConnectFault | None] = {}

    async def note_probe(one: ListedUpstream) -> None:
        fault_by_id[one.upstream_id] = await _probe(one)

    async with trio.open_nursery() as nursery:
        for one in (upstream, *_choose_controls(state, upstream)):
            nursery.start_soon(note_probe, one)
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


async def is_host_unresponsive(state: NodeState, upstream: ListedUpstream) -> bool:
    """Tell whether the host of an upstream does not respond at all.

    One that refuses may be full or about to leave, and still answer the
    requests that it has.
    """
    return await probe_host(state, upstream) is HostStatus.silent


async def _probe(upstream: ListedUpstream) -> ConnectFault | None:
    host, port = split_address(upstream.address)
    probe = await connect_upstream(host, port, _CONNECT_TIMEOUT_S)
    if isinstance(probe, ConnectFault):
        return probe
    probe.abort()
    return None


def _choose_controls(
    state: NodeState, upstream: ListedUpstream
) -> list[ListedUpstream]:
    """Choose a few upstreams at random that were not silent of late."""
    others = list(_iter_controls(state, upstream.address))
    count = min(_MAX_CONTROLS, len(others))
    return state.random_source.sample(others, count)


def _iter_controls(
    state: NodeState, excluded_address: str
) -> Iterator[ListedUpstream]:
    now_s = read_boot_s()
    for one in state.listed.by_id.values():
        is_excluded = is_resting(state.outcomes, one.upstream_id, now_s)
        if one.address != excluded_address and not is_excluded:
            yield one
