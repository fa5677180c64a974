"""A node that is cut off from all upstreams, and a peer that is not."""

import functools

import trio
from turmericcrank_core.membership import Peer, record_peer
from turmericcrank_node.state.node_state import read_boottime_s
from turmericcrank_node.tunnel.tunnel_server import serve_tunnel

from tests.router_builders import make_table, make_upstream
from tests.router_fakes import (
    list_upstreams,
    make_node_state,
    open_client,
    read_until,
)
from tests.upstream_fakes import FakeUpstream

_N_UPSTREAMS = 5
_HEARTBEAT_S = 0.2


class CutSite:
    """One node that is cut off, and one that is not.

    Both list the same upstreams. The first one lists addresses that refuse
    connections, or never accept them.
    """

    def __init__(self, nursery, routes):
        self.nursery = nursery
        self.cut = make_node_state(make_table(*routes), node_id='n1')
        self.helper = make_node_state(make_table(*routes), node_id='n2')
        self.upstreams = []
        self.unreachable = []
        self.helping = trio.CancelScope()
        self.helper_address = ''

    async def start(self, scripts, *, is_silent=False, **fields):
        for number in range(_N_UPSTREAMS):
            upstream = FakeUpstream(scripts, **fields)
            dead = FakeUpstream([])
            for fake in (upstream, dead):
                await self.nursery.start(fake.serve)
            if is_silent:
                dead.stop_accepting()
            else:
                dead.refuse_connections()
            self.upstreams.append(upstream)
            self.unreachable.append(dead)
            name = f'u{number}'
            real = make_upstream(name, address=upstream.address)
            listed = make_upstream(name, address=dead.address)
            list_upstreams(self.helper, real)
            list_upstreams(self.cut, listed)
        await self.nursery.start(self._serve_helper)

    async def _serve_helper(self, task_status):
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        host, port = listeners[0].socket.getsockname()
        self.helper_address = f'{host}:{port}'
        self._record_heartbeat()
        with self.helping:
            async with trio.open_nursery() as tunnels:
                await trio.serve_listeners(
                    functools.partial(serve_tunnel, self.helper),
                    listeners,
                    handler_nursery=tunnels,
                    task_status=task_status,
                )

    async def send_heartbeats(self):
        """Let the first node hear of its helper for longer than a moment."""
        while True:
            self._record_heartbeat()
            await trio.sleep(_HEARTBEAT_S)

    def _record_heartbeat(self):
        peer = Peer(
            'n2', 'i', 'dc1', self.helper_address, '', True, read_boottime_s()
        )
        record_peer(self.cut.members, peer)

    def heal(self):
        """Let the first node reach the upstreams by itself."""
        rows = self.helper.upstream_registry.by_id.values()
        list_upstreams(self.cut, *rows)

    def n_received(self):
        return sum(len(upstream.requests) for upstream in self.upstreams)

    async def send(self, request, marker=b'\r\n\r\n'):
        client = await open_client(self.nursery, self.cut)
        await client.send_all(request)
        return await read_until(client, marker)
