"""Requests to upstreams that answer early, on each way to an upstream."""

import trio
from turmericcrank_core.routing import CallKind

from tests.cut_site import CutSite
from tests.router_builders import make_route, make_table
from tests.router_fakes import (
    keep_tables_current,
    make_node_state,
    open_client,
    request_bytes,
    start_upstreams,
)
from tests.upstream_fakes import END_CHUNK, response_bytes

WAYS = ('direct', 'tunnel')
UPLOAD = b'x' * 900_000
EVENT_STREAM = b'Content-Type: text/event-stream'
# Statuses that are none, or that no final answer may have.
BAD_STATUSES = (b'000', b'099', b'020', b'0200', b'20', b'2x0', b'-20', b'101')
# Lines whose name holds a blank or a control byte, or is empty.
BAD_LINES = (
    b'X Foo: 1',
    b'X-Foo : 1',
    b'X\tFoo: 1',
    b'X-Foo\t: 1',
    b'X\x01Foo: 1',
    b'X\x7fFoo: 1',
    b'X\x00Foo: 1',
    b'X\x0bFoo: 1',
    b'X\rFoo: 1',
    b': 1',
    b'signed : yes',
    b'Content-Length : 4',
    b'Content-Length\x00: 4',
    b'Transfer-Encoding : chunked',
    b'Transfer\x7fEncoding: chunked',
)
_REQUEST_S = 4


def answer_bytes(body, *lines, status=b'200'):
    """Build an answer from the lines of its head; it has no length."""
    first = (b'HTTP/1.1 %s X' % status, b'id: {id}', b'signed: yes')
    return b'\r\n'.join([*first, *lines, b'', body])


def call_upstream(way, scripts, **fields):
    """Send a request for each script of an upstream, one after another.

    Args:
        way: How the node reaches the upstream, one of ``WAYS``.
        scripts: What the upstream does; see ``FakeUpstream``.
        fields: ``reads_bodies`` of the upstream, ``body`` of the requests, and
            fields of the route.

    Returns:
        The responses, as the client has received them.
    """
    reads_bodies = fields.pop('reads_bodies', True)
    body = fields.pop('body', b'{}')
    defaults = {'kind': CallKind.non_idempotent, 'is_resumable': False}
    route = make_route('bays', **{**defaults, **fields})

    async def main():
        async with trio.open_nursery() as nursery:
            site = await _start(nursery, way, route, reads_bodies)
            responses = []
            for number, script in enumerate(scripts):
                site.scripts.append(script)
                request = request_bytes('/bays/1', body=body, id=f'r{number}')
                client = await open_client(nursery, site.state)
                responses.append(await _exchange(client, request))
            nursery.cancel_scope.cancel()
        return responses

    return trio.run(main)


class _Site:
    """A node and the scripts that its upstreams have not run yet."""

    def __init__(self, state, scripts):
        self.state = state
        self.scripts = scripts


async def _start(nursery, way, route, reads_bodies):
    scripts = []
    if way == 'direct':
        state = make_node_state(make_table(route))
        nursery.start_soon(keep_tables_current, state)
        fakes = await start_upstreams(nursery, state, scripts, slots=64)
        for fake in fakes:
            fake.reads_bodies = reads_bodies
        return _Site(state, scripts)
    site = CutSite(nursery, [route])
    await site.start(scripts, reads_bodies=reads_bodies)
    for state in (site.cut, site.helper):
        nursery.start_soon(keep_tables_current, state)
    nursery.start_soon(site.send_heartbeats)
    # The node finds out that it is cut off.
    scripts.append([response_bytes()])
    await site.send(request_bytes('/bays/1', id='r-first'))
    return _Site(site.cut, scripts)


async def _exchange(client, request):
    """Send a request; read its response to the end that its head tells."""
    await client.send_all(request)
    received = b''
    with trio.move_on_after(_REQUEST_S):
        while not _is_whole(received):
            part = await client.receive_some()
            if not part:
                break
            received += part
    await client.aclose()
    return received


def _is_whole(received):
    head, blank_line, body = received.partition(b'\r\n\r\n')
    if not blank_line:
        return False
    if b'chunked' in head:
        return body.endswith(END_CHUNK)
    length = head.partition(b'content-length: ')[2].partition(b'\r\n')[0]
    return len(body) >= int(length)
