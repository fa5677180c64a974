"""What a node keeps of what it knew when the store returns from a copy."""

from dataclasses import replace

import trio
from turmericcrank_core.rollout_phases import RolloutPhase, RolloutState
from turmericcrank_node.control.rollout_control import run_rollout_control
from turmericcrank_node.platform_port import (
    ChangedRow,
    FeedPage,
    HistoryLost,
    RolloutRow,
)
from turmericcrank_node.state import table_watch
from turmericcrank_node.state.node_state import read_boottime_s
from turmericcrank_node.state.table_rows import apply_configuration
from turmericcrank_node.upstreams.upstream_selection import (
    UpstreamRequirements,
    select_upstream,
)

from tests.router_builders import (
    make_order,
    make_route,
    make_table,
    make_upstream,
)
from tests.router_fakes import (
    VERSIONS_PER_ERA,
    FakeRows,
    list_upstreams,
    make_node_state,
)

_LOST_VERSION = 90
_RETURNED_VERSION = VERSIONS_PER_ERA + 80
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


def _read_order(state, version, order):
    """Let a node read the row of an order in the configuration table."""
    state.platform = replace(
        state.platform, decode_rollout_order=lambda _row: order
    )
    row = ChangedRow('rollout', version, b'')
    apply_configuration(state, FeedPage((row,), version, 0), is_complete=False)


def _make_rolled_back_node():
    """Make a node that knows an order of the lost seconds as rolled back."""
    state = make_node_state(make_table(make_route()))
    order = make_order(number=_LOST_VERSION)
    _read_order(state, _LOST_VERSION, order)
    state.rollouts_by_service['engine'] = RolloutState(
        order, RolloutPhase.rolled_back, 0
    )
    return state


def test_a_rolled_back_version_is_not_tried_again_after_the_store_returned():
    """The operators' order is written again, at a higher version this time."""
    state = _make_rolled_back_node()
    again = make_order(number=_LOST_VERSION + 3)
    _read_order(state, VERSIONS_PER_ERA + again.number, again)
    known = state.rollouts_by_service['engine']
    assert known.phase is RolloutPhase.rolled_back


def test_a_new_order_is_followed_after_the_store_returned():
    """Its version is below that of the order that it replaces."""
    state = _make_rolled_back_node()
    following = make_order(number=_LOST_VERSION - 3, version='v3')
    _read_order(state, VERSIONS_PER_ERA + following.number, following)
    known = state.rollouts_by_service['engine']
    assert known.order == following
    assert known.phase is RolloutPhase.ordered


def test_a_node_that_starts_later_takes_up_what_is_stored_of_an_order():
    """The phase is stored under the number from before the return."""
    stored = make_order(number=_LOST_VERSION)
    again = make_order(number=_LOST_VERSION + 3)
    rows = FakeRows(version=VERSIONS_PER_ERA + again.number + 1)
    rows.rollouts['engine'] = RolloutRow(
        stored, RolloutPhase.rolled_back, 0, rows.version
    )
    state = make_node_state(make_table(make_route()), rows)
    _read_order(state, VERSIONS_PER_ERA + again.number, again)

    async def control():
        with trio.move_on_after(0.4):
            await run_rollout_control(state)

    trio.run(control)
    assert rows.rollouts['engine'].phase is RolloutPhase.rolled_back
    assert state.rollouts_by_service['engine'].phase is RolloutPhase.rolled_back
