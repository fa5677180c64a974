"""At-most-once tests with lost replies, late writes, crashes and delays."""

import trio
from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.billing import serialize_bill
from turmericcrank_core.claims import (
    ClaimState,
    StoredResponse,
    check_claim_row,
    is_send_deadline_passed,
)
from turmericcrank_core.codes import ExecutionStatus, ResultCode
from turmericcrank_node.api.claims import (
    AcquiredClaim,
    acquire_claim,
    complete_claim,
    make_claim_batch_name,
    release_claim,
)
from turmericcrank_node.state.store import Operation

from tests.builders import make_bill
from tests.fakes import (
    DONE,
    LATE,
    LOST_REPLY,
    NOT_DONE,
    FakeStore,
    make_context,
    make_state,
    run,
)

_KEY = '5:tills:order-1'
_ANSWER = StoredResponse(201, 'application/json', b'{"booking": 1}')
_BILL = make_bill(1, 'tills', _KEY)
_faults = st.lists(
    st.sampled_from([DONE, DONE, NOT_DONE, LOST_REPLY, LATE]), max_size=8
)
_attempts = st.lists(
    st.fixed_dictionaries(
        {
            'start_s': st.floats(0, 8),
            'pause_s': st.sampled_from([0, 0, 1, 4]),
            'dies': st.sampled_from(['never', 'never', 'claimed', 'sent']),
            'faults': _faults,
        }
    ),
    min_size=2,
    max_size=4,
)


class _Service:
    """Records which attempts sent the request and what clients received."""

    def __init__(self):
        self.sent_by = []
        self.outcomes = []


async def _attempt(nursery, state, service, index, plan):
    store = FakeStore(state, plan['faults'], nursery)
    ctx = make_context(store, f'n{index}', nursery=nursery)
    await trio.sleep(plan['start_s'])
    decided = await acquire_claim(ctx, _KEY, 'body', 10)
    if decided.is_error():
        service.outcomes.append((index, decided.error))
        return
    if isinstance(decided.ok, StoredResponse):
        service.outcomes.append((index, decided.ok))
        return
    await _send(ctx, service, index, plan, decided.ok)


async def _send(ctx, service, index, plan, acquired):
    await trio.sleep(plan['pause_s'])
    if plan['dies'] == 'claimed':
        return
    if is_send_deadline_passed(
        acquired.claimed_s, trio.current_time(), ctx.settings.claim_limit_s
    ):
        await release_claim(ctx, acquired)
        return
    service.sent_by.append(index)
    if plan['dies'] == 'sent':
        return
    await complete_claim(ctx, acquired, _ANSWER, _BILL)


@given(_attempts)
def test_only_one_attempt_ever_sends(plans):
    service = _Service()
    state = make_state()

    async def main(nursery):
        async with trio.open_nursery() as attempts:
            for index, plan in enumerate(plans):
                attempts.start_soon(
                    _attempt, nursery, state, service, index, plan
                )
        await trio.sleep(60)

    run(main)
    assert len(service.sent_by) <= 1
    reported_not_run = {
        index
        for index, outcome in service.outcomes
        if not isinstance(outcome, StoredResponse)
        and outcome.ran is ExecutionStatus.not_run
    }
    assert not reported_not_run & set(service.sent_by)
    replays = [outcome for _, outcome in service.outcomes if outcome == _ANSWER]
    assert not replays or service.sent_by
    assert len(state.rows_by_table.get('bills', {})) <= len(service.sent_by)


def _acquire(faults, body_hash='body', state=None):
    async def main(nursery):
        store = FakeStore(state or make_state(), faults, nursery)
        ctx = make_context(store, nursery=nursery)
        return await acquire_claim(ctx, _KEY, body_hash, 10)

    return run(main)


def test_own_claim_write_is_recognized_after_a_lost_response():
    decided = _acquire([LOST_REPLY])
    assert isinstance(decided.ok, AcquiredClaim)


def test_a_claim_write_that_was_not_applied_is_reported_as_store_down():
    assert _acquire([NOT_DONE]).error.code is ResultCode.store_down


def test_a_claim_write_that_may_have_applied_is_reported_as_unknown():
    decided = _acquire([LOST_REPLY, *([NOT_DONE] * 50)])
    assert decided.error.code is ResultCode.outcome_unknown
    assert decided.error.retry_after_s


def test_an_undecided_claim_is_resolved_and_can_be_acquired_again():
    state = make_state()

    async def main(nursery):
        store = FakeStore(state, [LATE, *([NOT_DONE] * 30)], nursery)
        ctx = make_context(store, nursery=nursery)
        undecided = await acquire_claim(ctx, _KEY, 'body', 10)
        await trio.sleep(60)
        retried = await acquire_claim(ctx, _KEY, 'body', 10)
        return undecided, retried

    undecided, retried = run(main)
    assert undecided.error.code is ResultCode.outcome_unknown
    assert isinstance(retried.ok, AcquiredClaim)


def test_a_stored_response_is_replayed_and_another_body_is_rejected():
    state = make_state()

    async def main(nursery):
        ctx = make_context(FakeStore(state), nursery=nursery)
        acquired = await acquire_claim(ctx, _KEY, 'body', 10)
        open_claim = await acquire_claim(ctx, _KEY, 'body', 10)
        await complete_claim(ctx, acquired.ok, _ANSWER, _BILL)
        return (
            open_claim,
            await acquire_claim(ctx, _KEY, 'body', 10),
            await acquire_claim(ctx, _KEY, 'other body', 10),
        )

    open_claim, kept, reused = run(main)
    assert open_claim.error.code is ResultCode.outcome_unknown
    assert kept.ok == _ANSWER
    assert reused.error.code is ResultCode.key_reused


@given(_faults)
def test_answer_and_bill_are_kept_together_once(faults):
    state = make_state()

    async def main(nursery):
        ctx = make_context(FakeStore(state), nursery=nursery)
        acquired = await acquire_claim(ctx, _KEY, 'body', 10)
        ctx.store.nursery = nursery
        ctx.store.faults.extend(faults)
        await complete_claim(ctx, acquired.ok, _ANSWER, _BILL)
        await trio.sleep(60)

    run(main)
    row = check_claim_row(state.rows_by_table['claims'][_KEY].body)
    assert row.state is ClaimState.done
    assert row.answer == _ANSWER
    assert len(state.rows_by_table['bills']) == 1


def test_a_response_is_stored_if_its_bill_is_already_stored():
    """The bill writer may store the bill before the claim is completed.

    The conflict on the bill row used to terminate the node.
    """
    state = make_state()
    bill = make_bill(1, 'tills', _KEY)

    async def main(nursery):
        ctx = make_context(FakeStore(state), nursery=nursery)
        acquired = (await acquire_claim(ctx, _KEY, 'body', 10)).ok
        batch = f'{make_claim_batch_name(acquired.key)}/0000'
        await ctx.store.transact(
            [Operation('bills', batch, 0, [serialize_bill(bill)])]
        )
        await complete_claim(ctx, acquired, _ANSWER, bill)
        return await acquire_claim(ctx, _KEY, 'body', 10)

    assert run(main).ok == _ANSWER
    assert len(state.rows_by_table['bills']) == 1


def test_a_store_outage_is_reported_at_once():
    async def main(nursery):
        store = FakeStore(make_state())
        store.n_failed = 2
        ctx = make_context(store, nursery=nursery)
        before = trio.current_time()
        decided = await acquire_claim(ctx, _KEY, 'body', 10)
        return decided, trio.current_time() - before

    decided, elapsed_s = run(main)
    assert decided.error.code is ResultCode.store_down
    assert decided.error.ran is ExecutionStatus.not_run
    assert elapsed_s == 0
