"""Exactly-once billing in batches, with any number of concurrent writers.

A bill is added to the open batch of its node as soon as it is created. It
is also replicated to one peer under the same batch name, so that the peer
can write the batch if the node fails. A batch is stored as a sequence of
numbered rows, each written only if absent. A writer that finds an existing
row removes the bills in it from its pending bills and writes the remaining
ones as the next row. So any number of writers, each with any part of the
batch and in any order, store each bill exactly once.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

__all__ = (
    'Batch',
    'BatchRow',
    'BatchState',
    'BatchWrite',
    'Bill',
    'add_bill',
    'apply_stored_row',
    'check_bill',
    'compute_token_cost',
    'iter_distinct_bills',
    'plan_batch_row',
    'seal_batch',
    'serialize_bill',
    'start_batch_write',
)

_TOKENS_PER_PRICE_UNIT = 1000


@dataclass(slots=True, frozen=True)
class Bill:
    """Usage and cost of one request.

    Attributes:
        bill_id: Unique id; a repeated request has the same id.
        team: Team that is billed.
        route: Requested route.
        model_version: ``model@version`` that answered.
        tokens_in: Number of input tokens.
        tokens_out: Number of output tokens.
        cost_microcents: Cost of all tiers that ran, in microcents.
    """

    bill_id: str
    team: str
    route: str
    model_version: str
    tokens_in: int
    tokens_out: int
    cost_microcents: float


@dataclass(slots=True)
class Batch:
    """Bills that are written together.

    Attributes:
        name: Name that is unique across nodes and their restarts.
        bills_by_id: The bills.
    """

    name: str
    bills_by_id: dict[str, Bill] = field(default_factory=dict)


@dataclass(slots=True)
class BatchState:
    """The open batch of one node and its sealed batches.

    Attributes:
        incarnation: Unique name of the node's process, new at each start.
        sequence: Sequence number of the open batch.
        open: Batch that receives new bills.
        sealed_by_name: Batches not yet acknowledged by the store.
    """

    incarnation: str
    sequence: int = 0
    open: Batch = field(default_factory=lambda: Batch(''))
    sealed_by_name: dict[str, Batch] = field(default_factory=dict)


@dataclass(slots=True)
class BatchWrite:
    """Progress of one writer through the rows of a batch.

    Attributes:
        batch: Name of the batch.
        row_number: Number of the row to be written next.
        pending_by_id: Bills that are in no row read or written so far.
    """

    batch: str
    row_number: int
    pending_by_id: dict[str, Bill]


@dataclass(slots=True, frozen=True)
class BatchRow:
    """One row to be written if it is absent.

    Attributes:
        key: Key in the table of bills.
        bills: Bills in their stored form.
    """

    key: str
    bills: list[Any]


def compute_token_cost(
    tokens_in: int,
    tokens_out: int,
    cost_in_microcents: float,
    cost_out_microcents: float,
) -> float:
    """Return the cost in microcents, from prices per 1,000 tokens."""
    price = tokens_in * cost_in_microcents + tokens_out * cost_out_microcents
    return price / _TOKENS_PER_PRICE_UNIT


def add_bill(state: BatchState, bill: Bill) -> str:
    """Add a bill to the open batch and return the name of the batch."""
    if not state.open.name:
        state.open.name = f'{state.incarnation}-{state.sequence:08d}'
    state.open.bills_by_id[bill.bill_id] = bill
    return state.open.name


def seal_batch(state: BatchState) -> Batch | None:
    """Seal the open batch so that it can be written; None when empty."""
    sealed = state.open
    if not sealed.bills_by_id:
        return None
    state.sealed_by_name[sealed.name] = sealed
    state.sequence += 1
    state.open = Batch('')
    return sealed


def start_batch_write(batch: Batch) -> BatchWrite:
    """Return the state of a writer before the first row of a batch."""
    return BatchWrite(batch.name, 0, dict(batch.bills_by_id))


def plan_batch_row(batch_write: BatchWrite) -> BatchRow | None:
    """Return the next row to write; None when all bills are stored."""
    if not batch_write.pending_by_id:
        return None
    bills = [
        serialize_bill(batch_write.pending_by_id[bill_id])
        for bill_id in sorted(batch_write.pending_by_id)
    ]
    return BatchRow(f'{batch_write.batch}/{batch_write.row_number:04d}', bills)


def apply_stored_row(batch_write: BatchWrite, row: Iterable[Any]) -> None:
    """Remove the bills of a stored row from the pending ones and advance.

    The row may be this writer's own, from a write whose reply was lost, or
    another writer's with other bills of the same batch.
    """
    for raw in row:
        batch_write.pending_by_id.pop(check_bill(raw).bill_id, None)
    batch_write.row_number += 1


def serialize_bill(bill: Bill) -> list[Any]:
    """Return the stored form of a bill, a list in the order of its fields."""
    return [
        bill.bill_id,
        bill.team,
        bill.route,
        bill.model_version,
        bill.tokens_in,
        bill.tokens_out,
        bill.cost_microcents,
    ]


def check_bill(raw: Iterable[Any]) -> Bill:
    """Parse a bill from its stored form."""
    return Bill(*raw)


def iter_distinct_bills(rows: Iterable[Iterable[Any]]) -> Iterator[Bill]:
    """Yield the distinct bills, the first of each id in the row order.

    A client that sends the same idempotent request with the same key to two
    nodes is answered twice, but both bills have the same id and count once.
    """
    seen: set[str] = set()
    for row in rows:
        for raw in row:
            bill = check_bill(raw)
            if bill.bill_id not in seen:
                seen.add(bill.bill_id)
                yield bill
