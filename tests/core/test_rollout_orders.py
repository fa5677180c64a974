"""Orders of a rollout before and after the store returned from a copy."""

import pytest
from turmericcrank_core.rollout_orders import (
    KnownOrder,
    OrderRelation,
    StoredOrder,
    compare_stored,
    is_new_order,
    resolve_report,
)

from tests.router_builders import make_order, make_rollout

_BEFORE = StoredOrder(make_order(number=57), 57, 0)


def _store_later(number, **fields):
    """Make an order that was read after a return from a copy."""
    return StoredOrder(make_order(number=number, **fields), 1000 + number, 1)


@pytest.mark.parametrize('number', [52, 57, 60])
def test_an_order_that_is_written_again_is_the_same_under_any_number(number):
    own = _BEFORE.order
    known = KnownOrder(_BEFORE)
    assert not is_new_order(own, known, _store_later(number))


@pytest.mark.parametrize('number', [45, 57, 60])
def test_an_order_for_another_version_is_new_under_any_number(number):
    own = _BEFORE.order
    read = _store_later(number, version='v3')
    assert is_new_order(own, KnownOrder(_BEFORE), read)


def test_an_order_for_the_same_version_is_new_in_the_same_history():
    again = StoredOrder(make_order(number=60), 60, 0)
    assert is_new_order(_BEFORE.order, KnownOrder(_BEFORE), again)
    assert not is_new_order(again.order, KnownOrder(_BEFORE), again)
    assert not is_new_order(again.order, KnownOrder(again), _BEFORE)


def test_a_replaced_order_that_a_peer_reports_is_ignored():
    read = _store_later(45, version='v3')
    own = make_rollout(number=45, version='v3')
    known = KnownOrder(read, _BEFORE.order)
    assert resolve_report(own, known, make_rollout(number=57)) is None


def test_a_report_under_the_later_number_counts_for_the_known_order():
    known = KnownOrder(_store_later(60))
    own = make_rollout(number=57)
    resolved = resolve_report(own, known, make_rollout(number=60))
    assert resolved.order == own.order


@pytest.mark.parametrize(
    ('stored', 'change', 'relation'),
    [
        (make_order(number=57), 1070, OrderRelation.same),
        (make_order(number=57, version='v1'), 1030, OrderRelation.earlier),
        (make_order(number=60), 1070, OrderRelation.same),
        (make_order(number=70, version='v3'), 1075, OrderRelation.later),
    ],
)
def test_a_stored_phase_is_told_by_its_row_and_content(
    stored, change, relation
):
    """A node that has started since knows the order as number 60 only."""
    read = _store_later(60)
    found = compare_stored(read.order, KnownOrder(read), stored, change)
    assert found is relation


def test_a_stored_phase_is_told_by_its_number_before_the_order_is_read():
    order = make_order(number=57)
    for number, relation in (
        (56, OrderRelation.earlier),
        (58, OrderRelation.later),
    ):
        stored = make_order(number=number)
        assert compare_stored(order, None, stored, 58) is relation
