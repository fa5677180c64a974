"""A repeat of a call that must not run twice gets the result of the first."""

import httpx
import pytest
import trio
from turmericcrank_core.codes import ResultCode
from turmericcrank_node.api.request_admission import AuthenticatedClient
from turmericcrank_node.api.service_handler import (
    ServiceCall,
    handle_service_call,
)

from tests.builders import make_raw_tables
from tests.fakes import FakeStore, make_context, make_state, run

_QUICK_S = 0.3
_SLOW_S = 8


class _SlowStore(FakeStore):
    """Takes some time for each transaction but the first, the claim."""

    def __init__(self, state, delay_s):
        super().__init__(state)
        self.delay_s = delay_s
        self.n_transactions = 0

    async def transact(self, operations, independent=False):
        self.n_transactions += 1
        if self.n_transactions > 1:
            await trio.sleep(self.delay_s)
        return await super().transact(operations, independent)


def _make_node(store, nursery, name, n_bookings):
    def book(_request):
        n_bookings.append(1)
        return httpx.Response(201, content=b'booked')

    ctx = make_context(store, name, make_raw_tables(), nursery)
    ctx.single_use_http = httpx.AsyncClient(transport=httpx.MockTransport(book))
    ctx.store_seen_s = trio.current_time()
    ctx.bill_sender = _BillSender()
    return ctx


class _BillSender:
    """Replicates every bill at once."""

    def send_nowait(self, entry):
        entry.replication_attempted.set()


def _book(ctx, body=b'{}'):
    route = ctx.revision.tables.routes_by_name['bays']
    client = AuthenticatedClient('tills', 'r1', '5:tills:order-1', 'order-1')
    call = ServiceCall(client, route, 'POST', 'book', 'text/plain', body)
    return handle_service_call(ctx, call)


def _book_twice(delay_s, second_node, second_body=b'{}'):
    """Repeat a call as soon as it is answered; return outcomes and runs."""
    n_bookings = []

    async def main(nursery):
        state = make_state()
        first_ctx = _make_node(
            _SlowStore(state, delay_s), nursery, 'n1', n_bookings
        )
        second_ctx = first_ctx
        if second_node != 'n1':
            second_ctx = _make_node(
                FakeStore(state), nursery, second_node, n_bookings
            )
        first = await _book(first_ctx)
        began_s = trio.current_time()
        second = await _book(second_ctx, second_body)
        return first, second, trio.current_time() - began_s

    return *run(main), len(n_bookings)


@pytest.mark.parametrize('second_node', ['n1', 'n2'])
def test_a_repeat_at_any_node_gets_the_first_result(second_node):
    """The answer used to be sent before it was in the store."""
    first, second, _, n_bookings = _book_twice(_QUICK_S, second_node)
    assert first.ok.code is ResultCode.answered
    assert second.ok.code is ResultCode.replayed
    assert second.ok.body == b'booked'
    assert n_bookings == 1


def test_a_repeat_at_the_same_node_does_not_wait_for_a_slow_store():
    first, second, waited_s, n_bookings = _book_twice(_SLOW_S, 'n1')
    assert first.ok.code is ResultCode.answered
    assert second.ok.code is ResultCode.replayed
    assert waited_s < 1
    assert n_bookings == 1


def test_another_body_under_a_key_is_rejected_while_the_store_is_slow():
    _, second, _, n_bookings = _book_twice(_SLOW_S, 'n1', b'{"bay": 2}')
    assert second.error.code is ResultCode.key_reused
    assert n_bookings == 1
