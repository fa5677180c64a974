"""Looks whether the host of an upstream is there.

A connection that is not made in time says as much of this node's own link
as of the other host, so some other hosts are tried beside it.
"""

import enum
from collections.abc import Iterator

import trio
from turmericcrank_core.network_address import split_address
from turmericcrank_core.outcomes import is_resting
from turmericcrank_core.upstream_rows import ListedUpstream

from turmericcrank_node.http_wire import ConnectFault, connect_upstream
from turmericcrank_node.state.node_state import NodeState, read_boot_s

__all__ = ('HostSign', 'is_host_silent', 'look_at_host')

_CONNECT_S = 0.4
_MAX_OTHERS = 2


class HostSign(enum.StrEnum):
    """What is seen of the host of an upstream."""

    takes = 'takes'
    refuses = 'refuses'
    silent = 'silent'
    unknown = 'unknown'


async def look_at_host(state: NodeState, upstream: ListedUpstream) -> HostSign:
    """Try a connection to an upstream, and to some others beside it.

    Returns:
        ``unknown`` when neither it nor the others were reached: then this
        node's own link may be full or cut.
    """
    others = _choose_others(state, upstream)
    fault_by_id: dict[str, ConnectFault | None] = {}
    async with trio.open_nursery() as nursery:
        for one in (upstream, *others):
            nursery.start_soon(_probe, one, fault_by_id)
    fault = fault_by_id.pop(upstream.upstream_id)
    if fault is None:
        return HostSign.takes
    if fault is ConnectFault.refused:
        return HostSign.refuses
    for other_fault in fault_by_id.values():
        if other_fault is not ConnectFault.timed_out:
            return HostSign.silent
    return HostSign.unknown


async def is_host_silent(state: NodeState, upstream: ListedUpstream) -> bool:
    """Tell whether the host of an upstream does not respond at all.

    One that refuses may be full or about to leave, and still answer the
    requests that it has.
    """
    return await look_at_host(state, upstream) is HostSign.silent


async def _probe(
    upstream: ListedUpstream, fault_by_id: dict[str, ConnectFault | None]
) -> None:
    host, port = split_address(upstream.address)
    probe = await connect_upstream(host, port, _CONNECT_S)
    if isinstance(probe, ConnectFault):
        fault_by_id[upstream.upstream_id] = probe
        return
    probe.abort()
    fault_by_id[upstream.upstream_id] = None


def _choose_others(
    state: NodeState, upstream: ListedUpstream
) -> list[ListedUpstream]:
    """Choose a few upstreams at random that were not silent of late."""
    awake = list(_iter_awake(state, upstream.address))
    count = min(_MAX_OTHERS, len(awake))
    return state.random_source.sample(awake, count)


def _iter_awake(state: NodeState, but_address: str) -> Iterator[ListedUpstream]:
    now_s = read_boot_s()
    for one in state.listed.by_id.values():
        is_rested = is_resting(state.outcomes, one.upstream_id, now_s)
        if one.address != but_address and not is_rested:
            yield one
