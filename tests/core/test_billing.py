"""Each request is billed exactly once, with any number of batch writers."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.billing import (
    Batch,
    BatchState,
    add_bill,
    apply_stored_row,
    check_bill,
    compute_token_cost,
    iter_distinct_bills,
    plan_batch_row,
    seal_batch,
    serialize_bill,
    start_batch_write,
)

from tests.builders import make_bill

_N_BILLS = 8


def _make_batch(numbers):
    bills = [make_bill(number) for number in sorted(numbers)]
    return Batch('batch', {bill.bill_id: bill for bill in bills})


class _Writer:
    """A batch writer; each step is one write, whose reply may be lost."""

    def __init__(self, numbers):
        self.chain = start_batch_write(_make_batch(numbers))

    def step(self, rows, is_reply_lost):
        planned = plan_batch_row(self.chain)
        if planned is None:
            return
        stored = rows.setdefault(planned.key, planned.bills)
        if not is_reply_lost:
            apply_stored_row(self.chain, stored)

    def finish(self, rows):
        while plan_batch_row(self.chain) is not None:
            self.step(rows, is_reply_lost=False)


_parts = st.lists(st.sets(st.integers(0, _N_BILLS - 1)), min_size=1, max_size=4)


@given(_parts, st.lists(st.tuples(st.integers(0, 9), st.booleans())))
def test_concurrent_writers_store_each_bill_exactly_once(parts, steps):
    rows = {}
    writers = [_Writer(part) for part in parts]
    for index, is_reply_lost in steps:
        writers[index % len(writers)].step(rows, is_reply_lost)
    for writer in writers:
        writer.finish(rows)
    written = Counter(
        check_bill(raw).bill_id for row in rows.values() for raw in row
    )
    expected = {f'bill-{number}' for part in parts for number in part}
    assert set(written) == expected
    assert set(written.values()) <= {1}


def test_writing_a_batch_twice_changes_nothing():
    rows = {}
    _Writer({1, 2}).finish(rows)
    before = dict(rows)
    _Writer({1, 2}).finish(rows)
    assert rows == before


def test_a_bill_after_sealing_goes_to_a_new_batch():
    state = BatchState('node-1')
    first = add_bill(state, make_bill(1))
    assert seal_batch(state).name == first
    assert add_bill(state, make_bill(2)) != first
    assert seal_batch(BatchState('node-2')) is None


@given(st.lists(st.lists(st.integers(0, 5))))
def test_bills_with_the_same_id_count_once(numbers):
    rows = [
        [serialize_bill(make_bill(number)) for number in row] for row in numbers
    ]
    counted = [bill.bill_id for bill in iter_distinct_bills(rows)]
    assert len(counted) == len(set(counted))
    assert set(counted) == {f'bill-{one}' for row in numbers for one in row}


def test_prices_are_per_1000_tokens():
    assert compute_token_cost(1000, 500, 10, 40) == 30
