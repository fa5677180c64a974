"""Tests of the request limits that upstreams name."""

from turmericcrank_core.upstream_limits import (
    UpstreamLimits,
    active_limit_per_s,
    record_limit,
)


def test_a_limit_holds_until_a_response_no_longer_names_it():
    limits = UpstreamLimits()
    assert not record_limit(limits, 'u1', None, 0)
    assert record_limit(limits, 'u1', 2.5, 1)
    assert not record_limit(limits, 'u1', 2.5, 2)
    assert active_limit_per_s(limits, 'u1') == 2.5
    assert record_limit(limits, 'u1', 1, 3)
    assert active_limit_per_s(limits, 'u1') == 1
    assert record_limit(limits, 'u1', None, 4)
    assert active_limit_per_s(limits, 'u1') is None
    assert not record_limit(limits, 'u1', None, 5)
    assert record_limit(limits, 'u1', 1, 6)
