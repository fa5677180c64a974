"""Evidence about a new version, and the stored phases of its rollout."""

import trio
from turmericcrank_core.rollout_phases import (
    RolloutPhase,
    RolloutState,
)
from turmericcrank_node.control.rollout_control import run_rollout_control
from turmericcrank_node.control.version_evidence import (
    ALL_ROUTES,
    count_version_responses,
    find_version_fault,
    iter_own_evidence,
    make_version_key,
    merge_reported_evidence,
    record_version_response,
)
from turmericcrank_node.platform_port import RolloutRow
from turmericcrank_node.state.node_state import read_boottime_s
from turmericcrank_node.state.version_counts import EvidenceCounts
from turmericcrank_node.upstreams.upstream_selection import (
    UpstreamRequirements,
    find_rollout,
    select_upstream,
)

from tests.router_builders import (
    make_order,
    make_route,
    make_table,
    make_upstream,
)
from tests.router_fakes import FakeRows, list_upstreams, make_node_state

_ORDER = make_order(duration_s=30.0)


def _make_state(rows=None, node_id='n1', phase=RolloutPhase.ordered, age_s=0):
    state = make_node_state(make_table(make_route()), rows, node_id)
    state.rollouts_by_service['engine'] = RolloutState(
        _ORDER, phase, read_boottime_s() - age_s
    )
    return state


def _record_response(
    state,
    number,
    *,
    is_error=False,
    is_slow=None,
    route='quotes',
    version='v2',
):
    upstream = make_upstream(f'u{number % 4}', version=version)
    record_version_response(state, _ORDER, upstream, route, is_error, is_slow)


def _find_fault(state):
    return find_version_fault(state, 'engine', _ORDER.number)


def _run_rollout_control(*states, seconds=0.6):
    async def main():
        async with trio.open_nursery() as nursery:
            for state in states:
                nursery.start_soon(run_rollout_control, state)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_version_with_errors_in_half_of_its_responses_is_detected_soon():
    state = _make_state()
    for number in range(24):
        _record_response(state, number, is_error=number % 2 == 0)
    assert _find_fault(state) == 'errors'


def test_a_version_that_fails_on_one_route_only_is_detected():
    state = _make_state()
    for number in range(80):
        _record_response(state, number, is_error=number % 8 == 0, route='plans')
        _record_response(
            state, number, is_error=number % 2 == 0, route='quotes'
        )
        _record_response(state, number, route='replies')
    assert _find_fault(state) == 'errors'


def test_one_bad_upstream_does_not_make_a_version_bad():
    state = _make_state()
    for number in range(40):
        _record_response(state, number, is_error=number % 4 == 0)
    assert _find_fault(state) == ''


def test_late_and_unevenly_spread_errors_are_detected():
    """Replays Kalendra, trouble-3 --seed 2000976336: 8 of 36 failed.

    The failures start late and are unevenly spread over the upstreams.
    """
    state = _make_state()
    failing = {6: 0, 7: 0, 8: 1, 14: 1, 15: 2, 21: 3, 22: 0, 30: 0}
    for number in range(36):
        _record_response(
            state, failing.get(number, number), is_error=number in failing
        )
        if number == 23:
            assert _find_fault(state) == 'errors'


def test_errors_that_the_replaced_version_also_has_are_ignored():
    """Replays a service at which 0.14 of the requests fail on any version."""
    state = _make_state()
    for number in range(300):
        _record_response(state, number, is_error=number % 7 == 0, version='v1')
        if number % 4 == 0:
            _record_response(state, number // 4, is_error=number % 28 == 0)
    assert _find_fault(state) == ''


def test_responses_without_timing_do_not_count_as_fast():
    """Replays a slow version, half of whose answers had low confidence.

    Those answers were discarded, so they have no timing; they must not count
    as fast.
    """
    state = _make_state()
    for number in range(12):
        _record_response(state, number)
        _record_response(state, number, is_slow=True)
    assert _find_fault(state) == 'slow'


def test_a_healthy_version_is_not_stopped():
    state = _make_state()
    for number in range(200):
        _record_response(
            state, number, is_error=number % 50 == 0, is_slow=number % 12 == 0
        )
    assert _find_fault(state) == ''


def test_repeated_evidence_reports_are_counted_once():
    state = _make_state()
    key = make_version_key('engine', _ORDER.number, ALL_ROUTES), 'u1'
    reported_by_key = {}
    for n_responses in (3, 5, 5):
        merge_reported_evidence(
            state, reported_by_key, {key: EvidenceCounts(n_responses, 0, 0)}, 1
        )
    _record_response(state, 1)
    assert count_version_responses(state, 'engine', _ORDER.number) == 6


def test_evidence_is_reported_only_during_its_rollout():
    state = _make_state(phase=RolloutPhase.canary)
    _record_response(state, 1)
    assert list(iter_own_evidence(state))
    state.rollouts_by_service['engine'] = RolloutState(
        _ORDER, RolloutPhase.done, 0
    )
    assert not list(iter_own_evidence(state))


def test_a_good_rollout_is_written_phase_by_phase():
    rows = FakeRows()
    state = _make_state(rows)
    _run_rollout_control(state)
    assert rows.rollouts['engine'].phase is RolloutPhase.canary
    state.rollouts_by_service['engine'] = RolloutState(
        _ORDER, RolloutPhase.canary, read_boottime_s() - 28
    )
    _run_rollout_control(state)
    assert rows.rollouts['engine'].phase is RolloutPhase.full
    state.rollouts_by_service['engine'] = RolloutState(
        _ORDER, RolloutPhase.full, read_boottime_s() - 29.5
    )
    _run_rollout_control(state)
    assert rows.rollouts['engine'].phase is RolloutPhase.done


def test_two_nodes_that_act_at_once_write_each_phase_once():
    rows = FakeRows()
    states = [_make_state(rows, name) for name in ('n1', 'n2')]
    _run_rollout_control(*states)
    assert rows.version == 2
    for state in states:
        phase = state.rollouts_by_service['engine'].phase
        assert phase is RolloutPhase.canary


def test_a_bad_version_gets_no_requests_while_the_store_is_down():
    rows = FakeRows(is_down=True)
    state = _make_state(rows, phase=RolloutPhase.full, age_s=5)
    upstreams = make_upstream('u0'), make_upstream('u1', version='v2')
    list_upstreams(state, *upstreams)
    for number in range(24):
        _record_response(state, number, is_error=True)
    _run_rollout_control(state)
    assert find_rollout(state, 'engine').phase is RolloutPhase.rolled_back
    for number in range(40):
        requirements = UpstreamRequirements('engine', f's{number}', 'v2', '')
        assert select_upstream(state, requirements, frozenset()).version == 'v1'
    rows.is_down = False
    _run_rollout_control(state)
    assert rows.rollouts['engine'].phase is RolloutPhase.rolled_back


def test_a_node_that_starts_during_a_rollout_reads_its_phase():
    rows = FakeRows()
    rows.rollouts['engine'] = RolloutRow(_ORDER, RolloutPhase.rolled_back, 0, 7)
    state = _make_state(rows)
    _run_rollout_control(state)
    rollout = state.rollouts_by_service['engine']
    assert rollout.phase is RolloutPhase.rolled_back
    assert rows.rollouts['engine'].version == 7


def test_a_finished_rollout_is_not_rolled_back_by_a_node_that_knows_less():
    """A node finds the version bad while another one has written ``done``.

    The upstreams of the old version stop at ``done``, those of the new one at
    ``rolled_back``: none is left.
    """
    rows = FakeRows()
    done = RolloutRow(_ORDER, RolloutPhase.done, 0, 3)
    rows.rollouts['engine'] = done
    state = _make_state(rows, phase=RolloutPhase.full, age_s=29)
    for number in range(60):
        _record_response(state, number, is_error=True)
    assert _find_fault(state)
    _run_rollout_control(state)
    assert rows.rollouts['engine'] == done
    assert state.rollouts_by_service['engine'].phase is RolloutPhase.done
    assert find_rollout(state, 'engine').phase is RolloutPhase.done
