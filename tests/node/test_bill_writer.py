"""Tests that bills survive store outages and the loss of their node."""

import math

import trio
from expression import Error, Ok
from turmericcrank_core.billing import BatchState, check_bill
from turmericcrank_core.freshness import PeerSample, record_sample
from turmericcrank_node.api.bill_writer import (
    BillQueue,
    BillReplicas,
    commit_bill,
    serve_bills,
)
from turmericcrank_node.membership.peer_server import handle_message
from turmericcrank_node.membership.vm_list import merge_vm_rows

from tests.builders import make_bill
from tests.fakes import (
    LOST_REPLY,
    NOT_DONE,
    FakeStore,
    make_context,
    make_state,
    run,
)


class _NodePair:
    """Two nodes that hold each other's bill replicas."""

    def __init__(self, nursery, faults=()):
        self.state = make_state()
        self.bill_replicas = [BillReplicas(), BillReplicas()]
        self.nodes = []
        self.scopes = []
        self.is_partitioned = False
        for index in range(2):
            store = FakeStore(self.state, faults if index == 0 else ())
            ctx = make_context(store, f'n{index}', nursery=nursery)
            rows = [
                {
                    'id': f'n{other}',
                    'role': 'entry',
                    'data_centre': f'dc{other}',
                    'state': 'live',
                }
                for other in range(2)
            ]
            merge_vm_rows(ctx, 1, rows)
            ctx.request_peer = self._make_requester(1 - index)
            self.nodes.append(ctx)

    async def start(self, nursery):
        for index, ctx in enumerate(self.nodes):
            sender, receiver = trio.open_memory_channel(math.inf)
            ctx.bill_sender = sender
            scope = trio.CancelScope()
            self.scopes.append(scope)
            queue = BillQueue(BatchState(ctx.incarnation))
            nursery.start_soon(self._serve, scope, ctx, queue, index, receiver)
            await trio.sleep(0)
        for ctx in self.nodes:
            other = next(iter(ctx.window.listed))
            record_sample(ctx.window, other, PeerSample(0, has_responded=True))

    async def _serve(self, scope, ctx, queue, index, receiver):
        with scope:
            await serve_bills(ctx, queue, self.bill_replicas[index], receiver)

    def _make_requester(self, other):
        async def request(_peer, message, _timeout_s):
            if self.is_partitioned:
                return Error('cut')
            return Ok(
                handle_message(
                    self.nodes[other], self.bill_replicas[other], message
                )
            )

        return request

    def list_bills(self):
        rows = self.state.rows_by_table.get('bills', {})
        return sorted(
            check_bill(raw).bill_id for row in rows.values() for raw in row.body
        )


def _run_pair(scenario, faults=()):
    async def main(nursery):
        pair = _NodePair(nursery, faults)
        await pair.start(nursery)
        await scenario(pair)
        return pair.list_bills()

    return run(main)


async def _commit(pair, numbers):
    for number in numbers:
        await commit_bill(pair.nodes[0], make_bill(number))


def test_bills_are_written_once_in_batches():
    async def scenario(pair):
        await _commit(pair, range(5))
        await trio.sleep(5)
        assert len(pair.state.rows_by_table['bills']) < 5

    assert _run_pair(scenario) == [f'bill-{number}' for number in range(5)]


def test_a_lost_store_response_writes_no_bill_twice():
    async def scenario(pair):
        await _commit(pair, range(3))
        await trio.sleep(5)

    expected = [f'bill-{number}' for number in range(3)]
    assert _run_pair(scenario, [LOST_REPLY, NOT_DONE, LOST_REPLY]) == expected


def test_bills_of_a_lost_node_are_written_by_its_peer():
    async def scenario(pair):
        await _commit(pair, range(3))
        pair.scopes[0].cancel()
        await trio.sleep(30)

    assert _run_pair(scenario) == [f'bill-{number}' for number in range(3)]


def test_bills_from_a_store_outage_survive_the_loss_of_their_node():
    async def scenario(pair):
        for ctx in pair.nodes:
            ctx.store.is_down = True
        for number in range(4):
            await _commit(pair, [number])
            await trio.sleep(1)
        pair.scopes[0].cancel()
        await trio.sleep(600)
        for ctx in pair.nodes:
            ctx.store.is_down = False
            ctx.store.n_failed = 0
        await trio.sleep(30)

    assert _run_pair(scenario) == [f'bill-{number}' for number in range(4)]


def test_a_node_without_store_access_and_its_peer_write_each_bill_once():
    async def scenario(pair):
        await _commit(pair, range(2))
        pair.nodes[0].store.is_down = True
        await _commit(pair, range(2, 4))
        await trio.sleep(30)
        await _commit(pair, range(4, 6))
        pair.nodes[0].store.is_down = False
        await trio.sleep(30)

    assert _run_pair(scenario) == [f'bill-{number}' for number in range(6)]
