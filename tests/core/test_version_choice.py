"""Tests of the version that a session uses during a rollout."""

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.rollout_phases import RolloutPhase
from turmericcrank_core.version_choice import (
    KnownVersions,
    RecentSessions,
    choose_versions,
    expire_sessions,
    iter_sessions_to_gossip,
    record_session,
    record_versions,
)

from tests.router_builders import make_rollout

_BOTH = ['v1', 'v2']
_CANARY_SHARE = 0.06
_keys = st.text('abcdef0123456789', min_size=1, max_size=12)


def _choose(phase, session_version='', key='s', versions=_BOTH):
    rollout = make_rollout(phase)
    return choose_versions(
        versions, rollout, session_version, key, _CANARY_SHARE
    )


@given(_keys, st.sampled_from(_BOTH))
def test_a_session_keeps_its_version_during_the_canary_phase(key, version):
    assert _choose(RolloutPhase.canary, version, key)[0] == version


@given(_keys)
def test_the_version_of_a_new_session_depends_only_on_its_key(key):
    first = _choose(RolloutPhase.canary, key=key)
    assert first == _choose(RolloutPhase.canary, key=key)


def test_about_the_canary_share_of_new_sessions_gets_the_new_version():
    keys = [f'session-{number}' for number in range(4000)]
    n_new = sum(
        _choose(RolloutPhase.canary, key=key)[0] == 'v2' for key in keys
    )
    assert 0.04 <= n_new / len(keys) <= 0.08


@given(_keys, st.sampled_from(RolloutPhase))
def test_a_session_left_out_of_gossip_gets_one_version_everywhere(key, phase):
    """Only sessions that the canary phase could move need to be gossiped."""
    sessions = RecentSessions()
    record_session(sessions, key, 'v1', 1)
    if not list(iter_sessions_to_gossip(sessions, 0, _CANARY_SHARE)):
        assert _choose(phase, '', key) == _choose(phase, 'v1', key)


@given(_keys, st.sampled_from(['', *_BOTH]))
def test_a_rolled_back_version_gets_no_requests(key, session_version):
    assert 'v2' not in _choose(RolloutPhase.rolled_back, session_version, key)
    only_new = _choose(RolloutPhase.rolled_back, session_version, key, ['v2'])
    assert only_new == []


@given(_keys, st.sampled_from(['', *_BOTH]))
def test_the_new_version_comes_first_when_full_and_is_alone_when_done(
    key, session_version
):
    assert _choose(RolloutPhase.done, session_version, key) == ['v2']
    assert _choose(RolloutPhase.full, session_version, key)[0] == 'v2'


@given(_keys)
def test_a_new_version_gets_no_requests_before_the_canary_phase(key):
    known_versions = KnownVersions()
    record_versions(known_versions, 'engine', ['v1', 'v1'])
    record_versions(known_versions, 'engine', ['v2', 'v1'])
    versions = known_versions.known_by_service['engine']
    assert choose_versions(versions, None, '', key, _CANARY_SHARE) == ['v1']
    ordered = make_rollout(RolloutPhase.ordered)
    assert choose_versions(versions, ordered, '', key, _CANARY_SHARE) == ['v1']


def test_a_version_that_no_longer_runs_is_removed():
    known_versions = KnownVersions()
    record_versions(known_versions, 'engine', ['v1', 'v2'])
    record_versions(known_versions, 'engine', ['v2'])
    assert known_versions.known_by_service['engine'] == ['v2']


def test_the_latest_use_of_a_session_is_kept_in_any_order():
    sessions = RecentSessions()
    record_session(sessions, 'a', 'v2', 9)
    record_session(sessions, 'a', 'v1', 4)
    record_session(sessions, 'b', 'v1', 1)
    assert sessions.uses_by_key['a'].version == 'v2'
    assert [key for key, _ in iter_sessions_to_gossip(sessions, 5, 1)] == ['a']
    expire_sessions(sessions, 5)
    assert list(sessions.uses_by_key) == ['a']
