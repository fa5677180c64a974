"""Tests gossip messages: table staleness, loads, sessions, rollouts."""

import itertools
import json
import random
from dataclasses import replace

import msgpack
import trio
from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.crash_evidence import Suspect
from turmericcrank_core.rollout_phases import RolloutPhase
from turmericcrank_core.table_staleness import (
    is_stale,
    record_read,
    staleness_s,
)
from turmericcrank_core.upstream_limits import active_limit_per_s
from turmericcrank_core.upstream_notices import record_leaving
from turmericcrank_dev.news_bench import run_news
from turmericcrank_node.membership.gossip_fields import (
    Receiver,
    make_cell_fields,
    take_pages,
    take_small_pages,
)
from turmericcrank_node.membership.gossip_merge import merge_message
from turmericcrank_node.membership.gossip_message import (
    GossipMessage,
    pack_gossip,
    pack_rows,
    unpack_gossip,
    unpack_rows,
)
from turmericcrank_node.membership.gossip_rounds import GossipState
from turmericcrank_node.membership.gossip_server import (
    receive_datagram,
    serve_gossip,
)
from turmericcrank_node.platform_port import ChangedRow, FeedPage
from turmericcrank_node.state.node_state import (
    make_change_page,
    read_boottime_s,
)
from turmericcrank_node.state.table_watch import (
    TableWatch,
    apply_configuration,
    keep_recent_page,
    plan_read,
)
from turmericcrank_node.upstreams.crash_block_checks import (
    is_blocked,
)
from turmericcrank_node.upstreams.upstream_selection import (
    UpstreamRequirements,
    count_running,
    select_upstream,
)

from tests.gossip_builders import make_gossip_message
from tests.router_builders import make_route, make_table, make_upstream
from tests.router_fakes import list_upstreams, make_node_state


def _make_receiver(node_id='n2', **fields):
    return Receiver(node_id, **{'is_cell_peer': True, **fields})


def _make_state():
    return make_node_state(make_table(make_route()))


@given(st.binary(max_size=80))
def test_arbitrary_bytes_decode_to_a_valid_message_or_none(raw):
    message = unpack_gossip(raw)
    assert message is None or isinstance(message, GossipMessage)


_FULL_FIELDS = {
    'running_by_id': {'u1': 2},
    'sessions': [('s', 'v1', 500)],
    'tallies': [('u1', 3, 1)],
    'evidence': [('engine/5/*', 'u1', 3, 1, 0)],
    'rollouts': [('engine', 'v2', 20.0, 5, 1, 0.5)],
    'members': [('n3', 'dc1', '127.0.0.1:7', '127.0.0.1:8', True, 30)],
    'crashes': [('u1', 1.0, [('print', ['part'], True)])],
    'outputs': [('part', 2.0)],
    'blocks': [(['part'], 1.0, 1.0, 0, 0.0, 0.0)],
    'pages': [(1, 1, 2, pack_rows([('u1', 2, None)]))],
    'leavers': [('u1', 5)],
    'limits': [('u1', 2.5, False, 1.0, 2.0)],
}
_WRONG_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-2, 9) | st.text(max_size=2),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=2), inner, max_size=2)
    ),
    max_leaves=4,
)


@given(st.integers(0, 24), _WRONG_VALUES)
def test_a_field_of_the_wrong_type_raises_no_error(index, wrong_value):
    """A malformed datagram used to terminate the whole process."""
    parts = msgpack.unpackb(pack_gossip(make_gossip_message(**_FULL_FIELDS)))
    parts[index] = wrong_value
    message = unpack_gossip(msgpack.packb(parts))
    if message is not None:
        merge_message(_make_state(), message, read_boottime_s())


def test_a_malformed_datagram_is_logged_and_dropped():
    state = _make_state()
    gossip = GossipState()
    receive_datagram(state, gossip, b'\x93no')
    receive_datagram(state, gossip, pack_gossip(make_gossip_message()))
    assert 'news_rejected' in state.log.names()
    assert 'n2' in state.members.by_id


def test_message_size_grows_with_the_content():
    sizes = [line.value for line in run_news() if line.name.endswith('bytes')]
    assert sizes == sorted(sizes)


def test_a_message_is_unchanged_by_encoding_and_decoding():
    message = make_gossip_message(
        running_by_id={'u1': 2}, sessions=[('s', 'v1', 500)]
    )
    assert unpack_gossip(pack_gossip(message)) == message


@given(st.floats(0, 3), st.floats(0, 3), st.floats(0, 5))
def test_staleness_reported_by_a_peer_counts_from_the_echoed_send_time(
    age_s, echo_delay_s, buffered_s
):
    """A message delayed in a suspended node's buffer must not look fresh.

    The node sends at ``sent_s``. The peer responds ``echo_delay_s`` later,
    with a table copy of staleness ``age_s``. The response is read
    ``buffered_s`` after that.
    """
    state = _make_state()
    sent_s = read_boottime_s()
    staleness = state.configuration_staleness
    staleness.current_as_of_s = sent_s - 100
    now_s = sent_s + echo_delay_s + buffered_s
    message = make_gossip_message(
        echo_s=sent_s,
        echo_incarnation=state.incarnation,
        echo_held_s=echo_delay_s,
        proofs=[[1, 1, 0, age_s], [-1, 0, 0, -1]],
    )
    merge_message(state, message, now_s)
    assert staleness_s(staleness, now_s) >= buffered_s + age_s - 1e-6


def test_a_message_without_an_echo_does_not_advance_current_as_of():
    state = _make_state()
    before = state.configuration_staleness.current_as_of_s
    merge_message(
        state,
        make_gossip_message(proofs=[[1, 1, 0, 0.0], [-1, 0, 0, -1]]),
        read_boottime_s(),
    )
    assert state.configuration_staleness.current_as_of_s == before


def test_an_echo_of_an_earlier_incarnation_does_not_advance_current_as_of():
    """After a power loss, the VM's boot-time clock restarts from zero."""
    state = _make_state()
    before = state.configuration_staleness.current_as_of_s
    message = make_gossip_message(
        echo_s=before + 5000,
        echo_incarnation='of an earlier start',
        proofs=[[1, 1, 0, 0.1], [-1, 0, 0, -1]],
    )
    merge_message(state, message, read_boottime_s())
    assert state.configuration_staleness.current_as_of_s == before


def test_a_newer_change_reported_by_a_peer_is_recorded():
    state = _make_state()
    merge_message(
        state,
        make_gossip_message(proofs=[[9, 9, 0, 0.0], [-1, 0, 0, -1]]),
        read_boottime_s(),
    )
    assert state.configuration_staleness.peer_change == 9
    record_read(state.configuration_staleness, 9, 9, read_boottime_s())
    assert state.configuration_staleness.read_version == 9


def test_reported_loads_replace_the_previous_ones():
    state = _make_state()
    state.running_by_id['u1'] = 1
    merge_message(
        state, make_gossip_message(running_by_id={'u1': 4}), read_boottime_s()
    )
    merge_message(
        state, make_gossip_message(running_by_id={'u1': 2}), read_boottime_s()
    )
    assert count_running(state, 'u1') == 3
    merge_message(
        state, make_gossip_message(running_by_id={}), read_boottime_s()
    )
    assert count_running(state, 'u1') == 1


def test_sessions_are_merged_and_rollout_phases_never_revert():
    state = _make_state()
    done = ['engine', 'v2', 20.0, 5, int(RolloutPhase.done), 9.0]
    canary = ['engine', 'v2', 20.0, 5, int(RolloutPhase.canary), 9.0]
    session = [['engine/s', 'v2', 200]]
    for rollouts in ([done], [canary]):
        message = make_gossip_message(rollouts=rollouts, sessions=session)
        merge_message(state, message, read_boottime_s())
    phase = state.rollouts_by_service['engine'].phase
    assert phase is RolloutPhase.done
    assert state.sessions.uses_by_key['engine/s'].version == 'v2'


def test_changes_read_by_a_peer_are_applied_once():
    state = _make_state()
    decoded_keys = []
    state.platform = replace(
        state.platform, decode_upstream=lambda row: decoded_keys.append(row.key)
    )
    staleness = state.upstream_staleness
    page = (1, 1, 5, pack_rows([('u1', 4, b'x'), ('u2', 5, None)]))
    message = make_gossip_message(
        pages=[page], proofs=[[-1, 0, 0, -1], [5, 5, 0, 0.1]]
    )
    merge_message(state, message, read_boottime_s())
    merge_message(state, message, read_boottime_s())
    assert decoded_keys == ['u1', 'u2']
    assert (staleness.read_version, staleness.change) == (5, 5)
    assert not is_stale(staleness)


def test_changes_after_a_gap_are_not_applied():
    state = _make_state()
    page = (1, 3, 5, pack_rows([('u1', 4, b'x')]))
    message = make_gossip_message(
        pages=[page], proofs=[[-1, 0, 0, -1], [5, 5, 0, 0.1]]
    )
    merge_message(state, message, read_boottime_s())
    assert state.upstream_staleness.read_version == 1
    assert is_stale(state.upstream_staleness)


def test_an_applied_page_does_not_advance_current_as_of():
    state = _make_state()
    before_s = state.upstream_staleness.current_as_of_s
    page = (1, 1, 5, pack_rows([('u1', 4, b'x')]))
    merge_message(state, make_gossip_message(pages=[page]), read_boottime_s())
    assert state.upstream_staleness.current_as_of_s == before_s


def test_only_small_recent_pages_are_kept_for_peers():
    state = _make_state()
    small = FeedPage((ChangedRow('u1', 4, b'x'),), 4, 0)
    noise = random.Random(1).randbytes(9000)
    large = FeedPage((ChangedRow('u1', 4, noise),), 4, 0)
    for page in (small, large, FeedPage((), 4, 0)):
        keep_recent_page(state, make_change_page(1, 3, page, 10.0))
    assert [kept.page for kept in state.recent_pages] == [small]
    keep_recent_page(state, make_change_page(1, 3, large, 20.0))
    assert not state.recent_pages


def test_crashes_reported_by_a_peer_identify_a_poison_request():
    state = _make_state()
    bad, good = ('bad', [], False), ('good', [], False)
    first = make_gossip_message(crashes=[['u1', 10.0, [bad, good]]])
    second = make_gossip_message(crashes=[['u2', 20.0, [bad]]])
    for message in (first, first, second, second):
        merge_message(state, message, read_boottime_s())
    assert is_blocked(state, Suspect('bad'))
    assert not is_blocked(state, Suspect('good'))


def test_a_draining_upstream_is_reported_to_nodes_that_start_later():
    """The row of the draining upstream still says that it is ready."""
    informed_state = _make_state()
    list_upstreams(informed_state, make_upstream('u1', born_ms=7))
    record_leaving(informed_state.notices, 'u1', 7, read_boottime_s())
    sent_rows = make_cell_fields(informed_state, read_boottime_s() + 60, False)[
        'leavers'
    ]
    new_state = _make_state()
    merge_message(
        new_state, make_gossip_message(leavers=sent_rows), read_boottime_s()
    )
    list_upstreams(new_state, make_upstream('u1', born_ms=7))
    requirements = UpstreamRequirements('engine', 's1', '', '')
    assert select_upstream(new_state, requirements, frozenset()) is None
    list_upstreams(new_state, make_upstream('u1', born_ms=8))
    assert select_upstream(new_state, requirements, frozenset()) is not None


@given(st.binary(max_size=60))
def test_arbitrary_bytes_unpack_to_no_rows(raw):
    assert unpack_rows(raw) == []


def test_rows_above_the_size_limit_are_not_unpacked():
    assert unpack_rows(pack_rows([('op', 1, bytes(0x200000))])) == []


def test_a_configuration_of_a_hundred_routes_is_gossiped():
    """Guards against every node of a large site reading the store itself."""
    state = _make_state()
    routes = [
        {'name': f'r-{number}', 'prefix': f'/{number * 7919}/', 'kind': 'x'}
        for number in range(100)
    ]
    body = json.dumps({'version': 2, 'routes': routes}).encode()
    page = FeedPage((ChangedRow('config', 2, body),), 2, 0)
    keep_recent_page(state, make_change_page(0, 1, page, read_boottime_s()))
    page_row = take_pages(state, _make_receiver(), read_boottime_s())[0]
    assert unpack_rows(page_row[3]) == [('config', 2, body)]
    assert len(page_row[3]) < len(body) / 3


def _add_change(state, change=5, **fields):
    page = FeedPage((ChangedRow('u1', change, b'x'),), change, 0)
    read_s = read_boottime_s()
    keep_recent_page(
        state, make_change_page(1, change - 1, page, read_s, **fields)
    )


def test_a_change_is_resent_until_the_peer_reports_it():
    """Incident inc1: each message repeated all recent changes."""
    state = _make_state()
    _add_change(state)
    now_s = read_boottime_s()

    def count(**fields):
        return len(take_small_pages(state, _make_receiver(**fields), now_s))

    assert count() == 1
    assert count() == 0
    assert count(node_id='n3') == 1
    # A message sent while the change was in transit is not evidence of loss.
    assert count(received_s=now_s + 0.1) == 0
    assert count(received_s=now_s + 0.5, changes=(0, 5)) == 0
    assert count(received_s=now_s + 0.5, changes=(9, 4)) == 1
    assert count(node_id='n4', changes=(9, 4)) == 1


def test_a_change_from_a_cell_peer_is_sent_to_other_cells_only():
    state = _make_state()
    _add_change(state, is_from_cell_peer=True)
    now_s = read_boottime_s()
    assert not take_pages(state, _make_receiver(), now_s)
    assert take_pages(state, _make_receiver(is_cell_peer=False), now_s)


def test_a_message_without_counts_leaves_the_loads_unchanged():
    state = _make_state()
    for running_by_id, expected in (({'u1': 2}, 2), (None, 2), ({}, 0)):
        merge_message(
            state,
            make_gossip_message(running_by_id=running_by_id),
            read_boottime_s(),
        )
        assert count_running(state, 'u1') == expected


def test_gossip_of_a_burst_of_changes_stays_within_its_share_of_the_link():
    """Incident inc1: changes arrived faster than a link could send them."""
    link_bytes_per_s = 20_000
    duration_s = 1.5

    async def main():
        state = _make_state()
        state.settings = replace(
            state.settings, link_bytes_per_s=link_bytes_per_s
        )
        for node_id in ('n2', 'n3', 'n4'):
            merge_message(
                state, make_gossip_message(node_id=node_id), read_boottime_s()
            )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_gossip, state)
            with trio.move_on_after(duration_s):
                for change in itertools.count(2):
                    _add_change(state, change)
                    state.request_gossip()
                    await trio.sleep(0.02)
            nursery.cancel_scope.cancel()
        return state.metrics.gossip_bytes.collect()[0].samples[0].value

    n_bytes = trio.run(main)
    assert 0 < n_bytes < link_bytes_per_s * duration_s / 4


def test_a_failed_read_delays_a_known_change_only_briefly():
    """Guards against a full back-off while a peer reports a newer change.

    After a failed read, a node was 5.6 s behind a configuration (scenario
    trouble-3, enlarged site Vembanad).
    """
    state = _make_state()
    staleness = state.configuration_staleness
    watch = TableWatch('configuration', 0, staleness, apply_configuration)
    now_s = read_boottime_s()
    watch.failed_s = now_s
    watch.is_unavailable = True
    staleness.peer_change = staleness.read_version + 5
    plan_read(state, watch, now_s, is_starting=False)
    assert plan_read(state, watch, now_s + 0.2, is_starting=False).due_s > 0
    planned = plan_read(state, watch, now_s + 0.3, is_starting=False)
    assert planned.due_s <= 0
    assert planned.reason == 'behind'


def test_a_limit_reported_by_a_peer_is_kept_and_forwarded():
    state = _make_state()
    list_upstreams(state, make_upstream('u1'))
    message = make_gossip_message(
        cell='north', limits=[('u1', 0.5, False, 1e6, 1e6)], cluster_s=1e6
    )
    merge_message(state, message, read_boottime_s())
    assert active_limit_per_s(state.upstream_limits, 'u1') == 0.5
    assert state.gossip_requested.is_set()
    fields = make_cell_fields(state, read_boottime_s(), has_counts=False)
    assert [row[:3] for row in fields['limits']] == [('u1', 0.5, False)]


def test_a_peer_that_starts_later_is_told_of_a_limit():
    state = _make_state()
    now_s = read_boottime_s()
    merge_message(
        state,
        make_gossip_message(
            limits=[('u1', 0.5, False, 3.0, 3.0)], cluster_s=3.0
        ),
        now_s,
    )
    fields = make_cell_fields(state, now_s + 100, has_counts=False)
    assert [row[0] for row in fields['limits']] == ['u1']
