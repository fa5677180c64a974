"""Validation, comparison and patches of the two tables."""

import copy

import pytest
from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.tables import (
    apply_patch,
    check_tables,
    describe_patch,
    plan_patch,
)

from tests.builders import make_raw_tables, names

_rows = st.dictionaries(names, st.dictionaries(names, st.integers()))
_raw = st.fixed_dictionaries({'routes': _rows, 'pools': _rows})


def _list_errors(change):
    raw = copy.deepcopy(make_raw_tables())
    change(raw)
    return [str(field_error) for field_error in check_tables(raw).error]


def _make_change(table, row, field, found):
    def change(raw):
        raw[table][row][field] = found

    return change


@pytest.mark.parametrize(
    ('change', 'message'),
    [
        (
            _make_change('routes', 'quotes', 'pools', ['nowhere']),
            "routes.quotes.pools: got 'nowhere', allowed is a pool: "
            'cheap, best, booking',
        ),
        (
            _make_change('routes', 'quotes', 'pools', []),
            'routes.quotes.pools: got [], allowed is one or more names, '
            'each once',
        ),
        (
            _make_change('routes', 'quotes', 'priority', 12),
            'routes.quotes.priority: got 12, allowed is a whole number '
            'from 0 to 9',
        ),
        (
            _make_change('routes', 'quotes', 'teams', 'planners'),
            "routes.quotes.teams: got 'planners', allowed is a list",
        ),
        (
            _make_change('routes', 'quotes', 'pools', ['cheap', 'best']),
            'routes.quotes.quality_target: got None, allowed is a number '
            'over 0 to 100 with a cascade',
        ),
        (
            _make_change('pools', 'cheap', 'state', 'gone'),
            "pools.cheap.state: got 'gone', allowed is one of active, "
            'retiring, withdrawn',
        ),
        (
            _make_change('pools', 'cheap', 'colour', 'red'),
            'pools.cheap.colour: got an unknown field, allowed is only '
            'model, version, upstreams, cost_in_microcents, '
            'cost_out_microcents, capacity, state, checks_fencing, '
            'generation',
        ),
    ],
)
def test_an_error_names_table_row_field_value_and_range(change, message):
    assert _list_errors(change) == [message]


def test_a_cascade_must_list_the_cheapest_pool_first():
    raw = make_raw_tables(quality_target=80)
    raw['routes']['quotes']['pools'] = ['best', 'cheap']
    errors = [str(field_error) for field_error in check_tables(raw).error]
    assert errors == [
        "routes.quotes.pools: got ['best', 'cheap'], allowed is cheapest first"
    ]


def test_an_upstream_belongs_to_one_pool():
    raw = make_raw_tables()
    raw['pools']['best']['upstreams'] = raw['pools']['cheap']['upstreams']
    errors = check_tables(raw).error
    assert {field_error.row for field_error in errors} == {'cheap', 'best'}


@given(_raw, _raw)
def test_a_patch_turns_the_older_tables_into_the_newer(before, after):
    assert apply_patch(before, plan_patch(before, after)) == after


@given(_raw)
def test_equal_tables_have_an_empty_patch(raw):
    patch = plan_patch(raw, raw)
    assert not list(describe_patch(raw, patch))


@given(st.recursive(st.integers() | st.text(), st.lists, max_leaves=5))
def test_arbitrary_input_is_rejected_without_a_crash(raw):
    assert check_tables(raw).is_error()


@given(st.dictionaries(names, st.recursive(st.integers(), st.lists)))
def test_arbitrary_rows_are_rejected_without_a_crash(rows):
    raw = make_raw_tables()
    raw['routes'].update(rows)
    raw['pools'].update(rows)
    assert check_tables(raw).is_error() == bool(rows)
