"""Connects to an upstream through another node."""

import trio
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.membership import Peer, iter_alive
from turmericcrank_core.network_address import split_address
from turmericcrank_core.upstream_path import (
    avoid_peer,
    plan_probe_peers,
    plan_tunnel_peers,
)
from turmericcrank_core.upstream_registry import ListedUpstream

from turmericcrank_node.http_connection import (
    CONNECTION_ERRORS,
    ConnectFault,
    UpstreamConnection,
    connect_upstream,
)
from turmericcrank_node.state.node_state import NodeState, read_boottime_s
from turmericcrank_node.tunnel.tunnel_stream import (
    TunnelRequest,
    TunnelStatus,
    TunnelStream,
    pack_request,
    read_status,
)

__all__ = ('connect_through_peer', 'probe_through_peers')

_CONNECT_TIMEOUT_S = 0.25
# Longer than the time for which a peer tries to connect to an upstream.
_REPLY_TIMEOUT_S = 0.6
_FAULT_BY_STATUS = {
    TunnelStatus.refused: ConnectFault.refused,
    TunnelStatus.timed_out: ConnectFault.timed_out,
}
# They tell of the upstream, not of the peer.
_UPSTREAM_STATUSES = frozenset((*_FAULT_BY_STATUS, TunnelStatus.not_listed))


async def connect_through_peer(
    state: NodeState, upstream: ListedUpstream
) -> UpstreamConnection | ConnectFault:
    """Connect to an upstream through the first peer that can help.

    Returns:
        The connection, the fault of the upstream as the peer saw it, or
        ``no_path`` if no peer could help.
    """
    now_s = read_boottime_s()
    peers = plan_tunnel_peers(
        state.upstream_path,
        iter_alive(state.members, now_s),
        state.settings.data_centre,
        state.random_source,
        now_s,
    )
    for peer in peers:
        outcome = await _ask_peer(state, peer, upstream, is_probe=False)
        if isinstance(outcome, UpstreamConnection):
            return outcome
        if outcome in _FAULT_BY_STATUS:
            return _FAULT_BY_STATUS[outcome]
    return ConnectFault.no_path


async def probe_through_peers(
    state: NodeState, upstream: ListedUpstream
) -> bool:
    """Return whether one of a few peers reaches an upstream."""
    now_s = read_boottime_s()
    peers = plan_probe_peers(
        state.upstream_path,
        iter_alive(state.members, now_s),
        state.random_source,
        now_s,
    )
    for peer in peers:
        outcome = await _ask_peer(state, peer, upstream, is_probe=True)
        if isinstance(outcome, UpstreamConnection):
            outcome.abort()
            return True
    return False


async def _ask_peer(
    state: NodeState, peer: Peer, upstream: ListedUpstream, *, is_probe: bool
) -> UpstreamConnection | TunnelStatus | None:
    """Ask a peer for a tunnel; avoid it for a while if it can't help."""
    request = TunnelRequest(
        state.settings.node_id, upstream.upstream_id, is_probe
    )
    outcome = await _open_tunnel(peer, request)
    if isinstance(outcome, UpstreamConnection):
        return outcome
    state.log.write(
        EventCode.tunnel_failed,
        peer=peer.node_id,
        upstream=upstream.upstream_id,
        outcome='no reply' if outcome is None else outcome.name,
    )
    if outcome not in _UPSTREAM_STATUSES:
        avoid_peer(state.upstream_path, peer.node_id, read_boottime_s())
    return outcome


async def _open_tunnel(
    peer: Peer, request: TunnelRequest
) -> UpstreamConnection | TunnelStatus | None:
    """Ask one peer for a tunnel; None if it does not reply."""
    host, port = split_address(peer.peer_address)
    connection = await connect_upstream(host, port, _CONNECT_TIMEOUT_S)
    if isinstance(connection, ConnectFault):
        return None
    status: TunnelStatus | None = None
    try:
        with trio.move_on_after(_REPLY_TIMEOUT_S):
            await connection.stream.send_all(pack_request(request))
            status = await read_status(connection.stream)
    except CONNECTION_ERRORS:
        status = None
    finally:
        if status is not TunnelStatus.open:
            connection.abort()
    if status is not TunnelStatus.open:
        return status
    return UpstreamConnection(
        TunnelStream(connection.stream), tunnel_peer=peer.node_id
    )
