"""Tests of the registry of upstreams and of missing rows."""

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.upstream_registry import (
    UpstreamRegistry,
    expire_missing,
    iter_usable,
    record_listed,
    record_missing,
)

from tests.router_builders import make_upstream

_steps = st.lists(
    st.tuples(
        st.sampled_from(['ready', 'draining', 'missing', 'wait']),
        st.sampled_from(['u1', 'u2']),
    ),
    max_size=12,
)


def _list_usable(registry, now_s):
    usable = iter_usable(registry, 'engine', now_s)
    return [upstream.upstream_id for upstream in usable]


@given(_steps)
def test_a_draining_or_long_missing_upstream_is_never_usable(steps):
    registry = UpstreamRegistry()
    missing_since_s = {}
    now_s = 0.0
    for step, upstream_id in steps:
        if step == 'wait':
            now_s += 0.7
        elif step == 'missing':
            record_missing(registry, upstream_id, now_s)
            missing_since_s.setdefault(upstream_id, now_s)
        else:
            is_draining = step == 'draining'
            upstream = make_upstream(upstream_id, is_draining=is_draining)
            record_listed(registry, upstream)
            missing_since_s.pop(upstream_id, None)
            if is_draining:
                missing_since_s[upstream_id] = -10
        usable = _list_usable(registry, now_s)
        for missing_id, since_s in missing_since_s.items():
            assert missing_id not in usable or now_s - since_s <= 1.3


def test_an_upstream_stays_usable_when_its_missing_row_is_listed_again():
    registry = UpstreamRegistry()
    record_listed(registry, make_upstream('u1'))
    record_missing(registry, 'u1', 10)
    assert _list_usable(registry, 11) == ['u1']
    record_listed(registry, make_upstream('u1'))
    assert not expire_missing(registry, 30)
    assert _list_usable(registry, 30) == ['u1']


def test_an_upstream_that_is_missing_for_too_long_is_removed():
    registry = UpstreamRegistry()
    record_listed(registry, make_upstream('u1'))
    record_missing(registry, 'u1', 10)
    assert expire_missing(registry, 12) == ['u1']
    assert _list_usable(registry, 12) == []


def test_only_upstreams_of_the_requested_service_are_returned():
    registry = UpstreamRegistry()
    record_listed(registry, make_upstream('u1', service='booking'))
    assert _list_usable(registry, 0) == []
