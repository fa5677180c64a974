"""What a node keeps of what it knew when the store returns from a copy."""

from dataclasses import replace

import trio
from turmericcrank_node.platform_port import ChangedRow, FeedPage, HistoryLost
from turmericcrank_node.state import table_watch
from turmericcrank_node.state.node_state import read_boottime_s
from turmericcrank_node.upstreams.upstream_selection import (
    UpstreamRequirements,
    select_upstream,
)

from tests.router_builders import make_route, make_table, make_upstream
from tests.router_fakes import FakeRows, list_upstreams, make_node_state

_LOST_VERSION = 90
_RETURNED_VERSION = 1000
_BORN_MS = 5
_READY = make_upstream('u1', born_ms=_BORN_MS)
_RESTARTED = make_upstream('u1', born_ms=_BORN_MS + 1)
_DRAINING = make_upstream('u1', born_ms=_BORN_MS, is_draining=True)
_LISTED_BY_BODY = {
    b'ready': _READY,
    b'draining': _DRAINING,
    b'restarted': _RESTARTED,
}


def _make_page(body, version):
    return FeedPage((ChangedRow('u1', version, body),), version, 0)


def _make_state(*pages):
    state = make_node_state(
        make_table(make_route()), FakeRows(pages=list(pages))
    )
    state.platform = replace(
        state.platform, decode_upstream=lambda row: _LISTED_BY_BODY[row.body]
    )
    return state


def _read(state, times):
    watch = table_watch.TableWatch(
        'upstreams', 1, state.upstream_staleness, table_watch.apply_upstreams
    )

    async def read_in_turn():
        for _ in range(times):
            planned = table_watch.plan_read(
                state, watch, read_boottime_s(), is_starting=False
            )
            await table_watch._read_once(state, watch, planned)

    trio.run(read_in_turn)


def _select(state):
    requirements = UpstreamRequirements('engine', 's', '', '')
    return select_upstream(state, requirements, frozenset())


def test_a_draining_upstream_gets_no_request_after_the_store_returned():
    """The copy is from before the upstream reported that it is draining."""
    state = _make_state(
        _make_page(b'draining', _LOST_VERSION),
        HistoryLost(),
        _make_page(b'ready', _RETURNED_VERSION),
    )
    list_upstreams(state, _READY)
    assert _select(state) is not None
    _read(state, times=3)
    assert state.upstream_staleness.read_version == _RETURNED_VERSION
    assert _select(state) is None


def test_an_upstream_that_started_again_is_used_after_the_store_returned():
    state = _make_state(
        _make_page(b'draining', _LOST_VERSION),
        HistoryLost(),
        _make_page(b'restarted', _RETURNED_VERSION),
    )
    list_upstreams(state, _READY)
    _read(state, times=3)
    assert _select(state) is not None
