"""Tests that bounds of the retry budget are read as they are given."""

import pytest
from turmericcrank_node.platform_port import OperatingLimits
from turmericcrank_platform.settings import check_settings

_SETTINGS = {
    'node': 'front-1',
    'ip': '10.0.0.1',
    'zone': 'dc1',
    'listen': {'front': 'a:1', 'ready': 'a:2', 'control': 'a:3'},
    'platform': {'address': '10.0.0.9:80'},
}


def _read_bounds(**bounds: float | None) -> OperatingLimits:
    named = {name.replace('_', '-'): raw for name, raw in bounds.items()}
    return check_settings({**_SETTINGS, 'bounds': named}).ok.bounds


@pytest.mark.parametrize('zero', [0, 0.0])
def test_budget_without_retries_is_no_missing_bound(zero):
    """A service got 50 retries in a window where none are allowed."""
    bounds = _read_bounds(retry_budget_ratio=zero, retry_budget_slack=zero)
    assert bounds.retry_ratio == 0
    assert bounds.retry_slack == 0


def test_budget_bounds_are_read_one_by_one():
    """One of 0 leaves the other as it is; a missing one has its default."""
    default = OperatingLimits()
    assert _read_bounds(retry_budget_ratio=0).retry_ratio == 0
    assert _read_bounds(retry_budget_ratio=0).retry_slack == default.retry_slack
    assert _read_bounds(retry_budget_slack=0).retry_slack == 0
    assert _read_bounds(retry_budget_slack=0).retry_ratio == default.retry_ratio
    assert _read_bounds() == default
    assert _read_bounds(retry_budget_slack=None) == default


def test_budget_bounds_are_below_those_of_the_platform():
    """The router keeps a part of the budget unused."""
    bounds = _read_bounds(retry_budget_ratio=0.9, retry_budget_slack=54)
    assert 0 < bounds.retry_ratio < 0.9
    assert 0 < bounds.retry_slack < 54


@pytest.mark.parametrize(
    'bounds', [{'retry_budget_slack': '50'}, {'drain_ms': 'x'}]
)
def test_lost_no_node_with_a_bound_of_another_type(bounds):
    """It raised an error, which ended a running node at a reload."""
    named = {name.replace('_', '-'): raw for name, raw in bounds.items()}
    checked = check_settings({**_SETTINGS, 'bounds': named})
    assert [one.field for one in checked.error] == list(named)


def test_a_grace_period_without_a_value_has_its_default():
    assert _read_bounds(grace_s=None) == OperatingLimits()
