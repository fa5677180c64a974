"""Fakes of the platform, the log and the clients of the router."""

import json
from dataclasses import dataclass, field

import trio
from expression import Error
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.table_staleness import record_read
from turmericcrank_core.upstream_registry import record_listed
from turmericcrank_core.version_choice import record_versions
from turmericcrank_node.http_connection import find_header
from turmericcrank_node.platform_port import (
    Conflict,
    DecodedRequest,
    FeedPage,
    NodeAddresses,
    Platform,
    ResponseInfo,
    RolloutRow,
    RouterSettings,
    StorePort,
    StoreUnavailable,
)
from turmericcrank_node.router_node import make_state
from turmericcrank_node.serving.client_connection import (
    serve_client_connection,
)
from turmericcrank_node.serving.connection_state import ConnectionHandlers
from turmericcrank_node.serving.router import handle_request, reject_body
from turmericcrank_node.state.node_state import read_boottime_s

from tests.router_builders import HOST, KEY, make_upstream
from tests.upstream_fakes import FakeUpstream

# Versions that the fake store gives out before it returns from a copy.
VERSIONS_PER_ERA = 1000
_MEMBER_FOR_S = 60
_READ_INTERVAL_S = 0.2


@dataclass
class FakeRows:
    """Store tables in memory; every call fails while ``is_down`` is set."""

    version: int = 1
    rollouts: dict = field(default_factory=dict)
    members: dict = field(default_factory=dict)
    blocks: dict = field(default_factory=dict)
    pages: list = field(default_factory=list)
    is_down: bool = False


class FakeLog:
    def __init__(self):
        self.events = []

    def write(self, event, /, **fields):
        self.events.append((event.name, fields))

    def names(self):
        return [name for name, _ in self.events]


def make_fake_store(rows):
    async def read_rollout(service):
        if rows.is_down:
            return StoreUnavailable('down')
        return rows.rollouts.get(service)

    async def write_rollout(row):
        if rows.is_down:
            return StoreUnavailable('down')
        service = row.order.service
        held = rows.rollouts.get(service)
        version = held.version if held else 0
        if version != row.version:
            return Conflict()
        rows.version += 1
        rows.rollouts[service] = RolloutRow(
            row.order, row.phase, row.began_ms, rows.version
        )
        return rows.version

    async def read_page(*_asked):
        if rows.is_down:
            return StoreUnavailable('down')
        if rows.pages:
            return rows.pages.pop(0)
        return FeedPage((), rows.version, 0)

    async def write_node(node_id, address):
        rows.members[node_id] = address

    async def read_nodes():
        return rows.members

    return StorePort(
        read_page,
        read_page,
        read_rollout,
        write_rollout,
        write_node,
        read_nodes,
        *_make_block_calls(rows),
    )


def _make_block_calls(rows):
    async def write_blocks(blocks, ended):
        if rows.is_down:
            return StoreUnavailable('down')
        rows.blocks.update((block.keys, block) for block in blocks)
        for keys in ended:
            rows.blocks.pop(keys, None)
        return None

    async def read_blocks():
        if rows.is_down:
            return StoreUnavailable('down')
        return tuple(rows.blocks.values())

    return write_blocks, read_blocks


def make_fake_platform(rows=None):
    """Create a platform with short header names such as ``id`` and ``key``."""
    return Platform(
        store=make_fake_store(rows or FakeRows()),
        configuration_table='configuration',
        upstream_table='upstreams',
        decode_configuration=lambda _row: None,
        decode_rollout_order=lambda _row: None,
        find_era=lambda version: version // VERSIONS_PER_ERA,
        decode_upstream=lambda _row: None,
        decode_request=_decode_request,
        decode_response_head=_decode_response_head,
        encode_forward_headers=_encode_forward_headers,
        decode_address_query=lambda _request: 'dc1',
        encode_addresses=lambda found, keep_s: json.dumps(
            [found, keep_s]
        ).encode(),
        is_health_check=lambda request: request.target == b'/ready',
        reload_settings=lambda: Error([]),
    )


def _decode_request(request):
    headers = request.headers
    wait = find_header(headers, b'wait')
    return DecodedRequest(
        request=request,
        request_id=find_header(headers, b'id'),
        host=find_header(headers, b'host'),
        path=request.target.partition(b'?')[0].decode(),
        api_key=find_header(headers, b'key'),
        client_timeout_s=float(wait) if wait else None,
        session=find_header(headers, b'session'),
        shared_parts=tuple(find_header(headers, b'parts').split()),
        last_event_id=find_header(headers, b'last'),
        allows_model_choice=True,
    )


def _decode_response_head(_status, headers):
    confidence = find_header(headers, b'confidence')
    wait = find_header(headers, b'retry-after')
    limit = find_header(headers, b'limit')
    brittle = find_header(headers, b'brittle')
    return ResponseInfo(
        request_id=find_header(headers, b'id'),
        is_signed=bool(find_header(headers, b'signed')),
        is_not_run=bool(find_header(headers, b'not-run')),
        confidence=float(confidence) if confidence else None,
        is_leaving=bool(find_header(headers, b'leaving')),
        retry_after_s=float(wait) if wait else None,
        request_limit_per_s=float(limit) if limit else None,
        max_rejections_per_s=float(brittle) if brittle else None,
        headers=[
            pair
            for pair in headers
            if pair[0] not in {b'content-length', b'transfer-encoding'}
        ],
    )


def _encode_forward_headers(call, metadata):
    added = [
        (b'host', b'upstream'),
        (b'id', call.request_id.encode()),
        (b'team', metadata.team.encode()),
        (b'left', str(metadata.time_left_s).encode()),
        (b'model', metadata.model.encode()),
        (b'last', metadata.last_event_id.encode()),
    ]
    if call.request.body:
        added.append((b'content-length', b'%d' % len(call.request.body)))
    return added


def make_node_state(table, rows=None, node_id='n1'):
    """Create the state of a node that has just read its tables.

    The node has long been a member.
    """
    settings = RouterSettings(
        node_id,
        'dc1',
        NodeAddresses('127.0.0.1:1', '', '', '127.0.0.1:2'),
        (),
        '127.0.0.1:3',
    )
    state = make_state(settings, make_fake_platform(rows))
    state.log = FakeLog()
    state.table = table
    state.joined_s = read_boottime_s() - _MEMBER_FOR_S
    _record_table_reads(state)
    return state


async def keep_tables_current(state):
    """Record reads of the tables, as the watch of a node does."""
    while True:
        _record_table_reads(state)
        await trio.sleep(_READ_INTERVAL_S)


def _record_table_reads(state):
    for staleness in (state.configuration_staleness, state.upstream_staleness):
        record_read(staleness, 1, 1, read_boottime_s())


def list_upstreams(state, *upstreams):
    """Add upstreams and their versions to the state of a node."""
    for upstream in upstreams:
        record_listed(state.upstream_registry, upstream)
    versions_by_service = {}
    for listed in upstreams:
        versions_by_service.setdefault(listed.service, []).append(
            listed.version
        )
    for service, versions in versions_by_service.items():
        record_versions(state.versions, service, versions)


async def start_upstreams(nursery, state, *scripts_by_upstream, **fields):
    """Start one fake upstream for each list of scripts and register them.

    Upstreams with the same list share its scripts.
    """
    fakes = [FakeUpstream(scripts) for scripts in scripts_by_upstream]
    rows = []
    for number, fake in enumerate(fakes):
        await nursery.start(fake.serve)
        rows.append(make_upstream(f'u{number}', address=fake.address, **fields))
    list_upstreams(state, *rows)
    return fakes


async def open_client(nursery, state):
    """Connect a client to the router of a node."""
    handlers = ConnectionHandlers(
        lambda request, exchange: handle_request(state, request, exchange),
        lambda request, exchange: reject_body(state, request, exchange),
        lambda: state.limits,
        lambda: state.is_stopping,
        state.closing,
        state.body_budget,
        state.connections,
        lambda cause, n_bytes: state.log.write(
            EventCode.connection_discarded, cause=cause, n_bytes=n_bytes
        ),
    )
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')

    async def serve(stream):
        await serve_client_connection(handlers, stream)

    await nursery.start(trio.serve_listeners, serve, listeners)
    host, port = listeners[0].socket.getsockname()
    return await trio.open_tcp_stream(host, port)


def request_bytes(path='/quotes/1', method='POST', body=b'{}', **headers):
    """Build the bytes of a client request."""
    named = {'Host': HOST, 'id': 'r1', 'key': KEY, **headers}
    lines = [f'{method} {path} HTTP/1.1'.encode()]
    lines += [f'{name}: {text}'.encode() for name, text in named.items()]
    lines.append(b'Content-Length: %d' % len(body))
    return b'\r\n'.join([*lines, b'', body])


async def read_until(stream, marker, timeout_s=6):
    """Read until a marker, the end of the connection or a timeout."""
    seen = b''
    with trio.move_on_after(timeout_s):
        while marker not in seen:
            try:
                part = await stream.receive_some()
            except trio.BrokenResourceError:
                break
            if not part:
                break
            seen += part
    return seen
