"""Bills: each request once, in batches, through any number of writers.

A bill is put into the open batch of its node the moment it is made. The
same bill goes to one peer under the same batch name, so that the peer can
write the batch if the node dies. A batch is a chain of rows, each written
only if absent. A writer that finds a row already there takes the bills in
it off its own list and writes the rest as the next row. So any number of
writers, with any part of the batch, in any order, write each bill once.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

__all__ = (
    'Batch',
    'BatchBook',
    'Bill',
    'ChainRow',
    'ChainWrite',
    'absorb_row',
    'add_bill',
    'check_bill',
    'count_distinct',
    'make_cost',
    'plan_chain_write',
    'seal_batch',
    'start_chain',
    'write_bill',
)

_TOKENS_PER_PRICE = 1000


@dataclass(slots=True, frozen=True)
class Bill:
    """What one request costs.

    Attributes:
        bill_id: Unique name; the same request always has the same.
        team: Team that pays.
        route: Route that was asked for.
        model_version: ``model@version`` that answered.
        tokens_in: Tokens read.
        tokens_out: Tokens written.
        cost_microcents: Price of all tiers that ran, in microcents.
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
        name: Unique over all nodes and starts.
        bills_by_id: The bills.
    """

    name: str
    bills_by_id: dict[str, Bill] = field(default_factory=dict)


@dataclass(slots=True)
class BatchBook:
    """The open batch of one node and the sealed ones still to be written.

    Attributes:
        incarnation: Unique name of this start of the node.
        sequence: Number of the open batch.
        open: Batch that receives new bills.
        sealed_by_name: Batches not yet confirmed by the store.
    """

    incarnation: str
    sequence: int = 0
    open: Batch = field(default_factory=lambda: Batch(''))
    sealed_by_name: dict[str, Batch] = field(default_factory=dict)


@dataclass(slots=True)
class ChainWrite:
    """One writer's way along the chain of a batch.

    Attributes:
        batch: Name of the batch.
        slot: Row to be written next.
        left_by_id: Bills not yet found in an earlier row.
    """

    batch: str
    slot: int
    left_by_id: dict[str, Bill]


@dataclass(slots=True, frozen=True)
class ChainRow:
    """One row to be written if it is absent.

    Attributes:
        key: Key in the table of bills.
        bills: Stored forms of the bills.
    """

    key: str
    bills: list[Any]


def make_cost(
    tokens_in: int,
    tokens_out: int,
    cost_in_microcents: float,
    cost_out_microcents: float,
) -> float:
    """Price tokens, in microcents, from prices of 1,000 tokens."""
    price = tokens_in * cost_in_microcents + tokens_out * cost_out_microcents
    return price / _TOKENS_PER_PRICE


def add_bill(book: BatchBook, bill: Bill) -> str:
    """Put a bill into the open batch and give the name of the batch."""
    if not book.open.name:
        book.open.name = f'{book.incarnation}-{book.sequence:08d}'
    book.open.bills_by_id[bill.bill_id] = bill
    return book.open.name


def seal_batch(book: BatchBook) -> Batch | None:
    """Close the open batch so that it can be written; None when empty."""
    sealed = book.open
    if not sealed.bills_by_id:
        return None
    book.sealed_by_name[sealed.name] = sealed
    book.sequence += 1
    book.open = Batch('')
    return sealed


def start_chain(batch: Batch) -> ChainWrite:
    """Start to write a batch at its first row."""
    return ChainWrite(batch.name, 0, dict(batch.bills_by_id))


def plan_chain_write(chain: ChainWrite) -> ChainRow | None:
    """Give the next row; None when all is written."""
    if not chain.left_by_id:
        return None
    bills = [
        write_bill(chain.left_by_id[bill_id])
        for bill_id in sorted(chain.left_by_id)
    ]
    return ChainRow(f'{chain.batch}/{chain.slot:04d}', bills)


def absorb_row(chain: ChainWrite, row: Iterable[Any]) -> None:
    """Take the bills of a row that stands off the list and move on.

    The row may be this writer's own, written by an attempt whose reply
    was lost, or another writer's with other bills of the same batch.
    """
    for raw in row:
        chain.left_by_id.pop(check_bill(raw).bill_id, None)
    chain.slot += 1


def write_bill(bill: Bill) -> list[Any]:
    """Give the stored form of a bill, a list in the order of its fields."""
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
    """Build a bill from its stored form."""
    return Bill(*raw)


def count_distinct(rows: Iterable[Iterable[Any]]) -> Iterator[Bill]:
    """Yield each bill once, the first in the order of the rows.

    A caller that sends the same keyed, repeatable request to two nodes is
    answered twice, but both bills have the same name and count once.
    """
    seen: set[str] = set()
    for row in rows:
        for raw in row:
            bill = check_bill(raw)
            if bill.bill_id not in seen:
                seen.add(bill.bill_id)
                yield bill
