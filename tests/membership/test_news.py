"""Messages between nodes: proofs, loads, sessions, roll-outs."""

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.proofs import (
    is_behind,
    note_reading,
    proof_age_s,
)
from turmericcrank_core.rollout_phases import RolloutPhase
from turmericcrank_dev.news_bench import run_news
from turmericcrank_node.membership.news_taking import take_news
from turmericcrank_node.membership.node_news import (
    NodeNews,
    pack_news,
    unpack_news,
)
from turmericcrank_node.platform_port import ChangedRow, FeedPage
from turmericcrank_node.state.node_state import ReadPage, read_boot_s
from turmericcrank_node.state.table_watch import keep_page
from turmericcrank_node.upstreams.candidates import count_running
from turmericcrank_node.upstreams.crash_watch import is_banned

from tests.router_builders import make_route, make_table
from tests.router_fakes import make_node_state


def _news(**fields):
    usual = {
        'node_id': 'n2',
        'incarnation': 'a',
        'data_centre': 'dc1',
        'peer_address': '127.0.0.1:5',
        'client_address': '127.0.0.1:6',
        'is_ready': True,
        'sent_s': 3.0,
        'echo_s': -1.0,
        'echo_incarnation': '',
        'echo_held_s': 0.0,
        'proofs': [[0, -1], [0, -1]],
    }
    return NodeNews(**{**usual, **fields})


def _state():
    return make_node_state(make_table(make_route()))


@given(st.binary(max_size=80))
def test_bytes_that_are_no_message_are_ignored(raw):
    news = unpack_news(raw)
    assert news is None or isinstance(news, NodeNews)


def test_messages_are_larger_the_more_they_tell_of():
    sizes = [line.value for line in run_news() if line.name.endswith('bytes')]
    assert sizes == sorted(sizes)


def test_a_message_comes_out_as_it_went_in():
    news = _news(running_by_id={'u1': 2}, sessions=[['s', 'v1', 0.5]])
    assert unpack_news(pack_news(news)) == news


@given(st.floats(0, 3), st.floats(0, 3), st.floats(0, 5))
def test_a_peers_proof_counts_from_the_message_that_it_echoes(
    age_s, held_s, buffered_s
):
    """A message that waits in the buffer of a frozen node proves nothing new.

    The node asked at ``asked_s``; the peer answered ``held_s`` later, with
    a proof of that age; the answer was read ``buffered_s`` after that.
    """
    state = _state()
    asked_s = read_boot_s()
    proof = state.configuration_proof
    proof.proven_s = asked_s - 100
    now_s = asked_s + held_s + buffered_s
    news = _news(
        echo_s=asked_s,
        echo_incarnation=state.incarnation,
        echo_held_s=held_s,
        proofs=[[1, age_s], [0, -1]],
    )
    take_news(state, news, now_s)
    assert proof_age_s(proof, now_s) >= buffered_s + age_s - 1e-6


def test_a_message_that_echoes_nothing_proves_nothing():
    state = _state()
    before = state.configuration_proof.proven_s
    take_news(state, _news(proofs=[[1, 0.0], [0, -1]]), read_boot_s())
    assert state.configuration_proof.proven_s == before


def test_an_echo_of_an_earlier_start_of_this_node_proves_nothing():
    """Replays a VM that lost its power: its clock has begun anew."""
    state = _state()
    before = state.configuration_proof.proven_s
    news = _news(
        echo_s=before + 5000,
        echo_incarnation='of an earlier start',
        proofs=[[1, 0.1], [0, -1]],
    )
    take_news(state, news, read_boot_s())
    assert state.configuration_proof.proven_s == before


def test_a_peer_that_knows_more_makes_this_node_read():
    state = _state()
    take_news(state, _news(proofs=[[9, 0.0], [0, -1]]), read_boot_s())
    assert state.configuration_proof.told_change == 9
    note_reading(state.configuration_proof, 9, 9, read_boot_s())
    assert state.configuration_proof.read_version == 9


def test_loads_that_are_told_replace_the_last_ones():
    state = _state()
    state.running_by_id['u1'] = 1
    take_news(state, _news(running_by_id={'u1': 4}), read_boot_s())
    take_news(state, _news(running_by_id={'u1': 2}), read_boot_s())
    assert count_running(state, 'u1') == 3
    take_news(state, _news(), read_boot_s())
    assert count_running(state, 'u1') == 1


def test_sessions_and_phases_are_taken_and_never_go_back():
    state = _state()
    done = ['engine', 'v2', 20.0, 5, int(RolloutPhase.done), 9.0]
    canary = ['engine', 'v2', 20.0, 5, int(RolloutPhase.canary), 9.0]
    session = [['engine/s', 'v2', 200]]
    for rollouts in ([done], [canary]):
        news = _news(rollouts=rollouts, sessions=session)
        take_news(state, news, read_boot_s())
    phase = state.rollouts_by_service['engine'].phase
    assert phase is RolloutPhase.done
    assert state.sessions.uses_by_key['engine/s'].version == 'v2'


def test_changes_that_a_peer_has_read_need_no_call_to_the_store():
    state = _state()
    taken = []
    state.platform = replace(
        state.platform, decode_upstream=lambda row: taken.append(row.key)
    )
    proof = state.upstream_proof
    page = [1, 1, 5, [['u1', 4, b'x'], ['u2', 5, None]]]
    news = _news(pages=[page], proofs=[[0, -1], [5, 0.1]])
    take_news(state, news, read_boot_s())
    take_news(state, news, read_boot_s())
    assert taken == ['u1', 'u2']
    assert (proof.read_version, proof.change) == (5, 5)
    assert not is_behind(proof)


def test_changes_with_a_gap_before_them_are_not_taken():
    state = _state()
    page = [1, 3, 5, [['u1', 4, b'x']]]
    news = _news(pages=[page], proofs=[[0, -1], [5, 0.1]])
    take_news(state, news, read_boot_s())
    assert state.upstream_proof.read_version == 1
    assert is_behind(state.upstream_proof)


def test_a_page_proves_no_moment_by_itself():
    state = _state()
    before_s = state.upstream_proof.proven_s
    page = [1, 1, 5, [['u1', 4, b'x']]]
    take_news(state, _news(pages=[page]), read_boot_s())
    assert state.upstream_proof.proven_s == before_s


def test_only_small_pages_are_kept_for_peers_and_for_a_while():
    state = _state()
    small = FeedPage((ChangedRow('u1', 4, b'x'),), 4, 0)
    large = FeedPage((ChangedRow('u1', 4, b'x' * 5000),), 4, 0)
    for page in (small, large, FeedPage((), 4, 0)):
        keep_page(state, ReadPage(1, 3, page, 10.0))
    assert [kept.page for kept in state.read_pages] == [small]
    keep_page(state, ReadPage(1, 3, large, 20.0))
    assert not state.read_pages


def test_a_crash_that_a_peer_tells_of_counts_here():
    state = _state()
    first = _news(crashes=[['u1', 10.0, ['bad', 'good']]])
    second = _news(crashes=[['u2', 20.0, ['bad']]])
    for news in (first, first, second, second):
        take_news(state, news, read_boot_s())
    assert is_banned(state, 'bad')
    assert not is_banned(state, 'good')
