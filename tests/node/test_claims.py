"""At most once, through lost replies, late writes, kills and pauses."""

import trio
from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.billing import write_bill
from turmericcrank_core.claims import (
    ClaimState,
    KeptAnswer,
    check_claim_row,
    is_too_late,
)
from turmericcrank_core.codes import Ran, ResultCode
from turmericcrank_node.api.claims import (
    WonClaim,
    finish_claim,
    give_back_claim,
    name_claim_batch,
    win_claim,
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
_ANSWER = KeptAnswer(201, 'application/json', b'{"booking": 1}')
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
    """A service that counts what it ran, and what callers were told."""

    def __init__(self):
        self.sent_by = []
        self.told = []


async def _attempt(nursery, state, service, index, plan):
    store = FakeStore(state, plan['faults'], nursery)
    ctx = make_context(store, f'n{index}', nursery=nursery)
    await trio.sleep(plan['start_s'])
    decided = await win_claim(ctx, _KEY, 'body', 10)
    if decided.is_error():
        service.told.append((index, decided.error))
        return
    if isinstance(decided.ok, KeptAnswer):
        service.told.append((index, decided.ok))
        return
    await _send(ctx, service, index, plan, decided.ok)


async def _send(ctx, service, index, plan, won):
    await trio.sleep(plan['pause_s'])
    if plan['dies'] == 'claimed':
        return
    if is_too_late(
        won.claimed_s, trio.current_time(), ctx.settings.claim_limit_s
    ):
        await give_back_claim(ctx, won)
        return
    service.sent_by.append(index)
    if plan['dies'] == 'sent':
        return
    await finish_claim(ctx, won, _ANSWER, _BILL)


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
    told_not_run = {
        index
        for index, told in service.told
        if not isinstance(told, KeptAnswer) and told.ran is Ran.not_run
    }
    assert not told_not_run & set(service.sent_by)
    replays = [told for _, told in service.told if told == _ANSWER]
    assert not replays or service.sent_by
    assert len(state.rows_by_table.get('bills', {})) <= len(service.sent_by)


def _win(faults, body_hash='body', state=None):
    async def main(nursery):
        store = FakeStore(state or make_state(), faults, nursery)
        ctx = make_context(store, nursery=nursery)
        return await win_claim(ctx, _KEY, body_hash, 10)

    return run(main)


def test_a_lost_reply_is_recognized_as_an_own_write():
    decided = _win([LOST_REPLY])
    assert isinstance(decided.ok, WonClaim)


def test_a_refused_claim_has_not_run():
    assert _win([NOT_DONE]).error.code is ResultCode.store_down


def test_nobody_says_not_run_while_a_claim_is_in_doubt():
    decided = _win([LOST_REPLY, *([NOT_DONE] * 50)])
    assert decided.error.code is ResultCode.outcome_unknown
    assert decided.error.retry_after_s


def test_a_claim_in_doubt_is_settled_and_can_be_won_again():
    state = make_state()

    async def main(nursery):
        store = FakeStore(state, [LATE, *([NOT_DONE] * 30)], nursery)
        ctx = make_context(store, nursery=nursery)
        doubt = await win_claim(ctx, _KEY, 'body', 10)
        await trio.sleep(60)
        again = await win_claim(ctx, _KEY, 'body', 10)
        return doubt, again

    doubt, again = run(main)
    assert doubt.error.code is ResultCode.outcome_unknown
    assert isinstance(again.ok, WonClaim)


def test_the_kept_answer_is_given_again_and_another_body_is_refused():
    state = make_state()

    async def main(nursery):
        ctx = make_context(FakeStore(state), nursery=nursery)
        won = await win_claim(ctx, _KEY, 'body', 10)
        open_claim = await win_claim(ctx, _KEY, 'body', 10)
        await finish_claim(ctx, won.ok, _ANSWER, _BILL)
        return (
            open_claim,
            await win_claim(ctx, _KEY, 'body', 10),
            await win_claim(ctx, _KEY, 'other body', 10),
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
        won = await win_claim(ctx, _KEY, 'body', 10)
        ctx.store.nursery = nursery
        ctx.store.faults.extend(faults)
        await finish_claim(ctx, won.ok, _ANSWER, _BILL)
        await trio.sleep(60)

    run(main)
    row = check_claim_row(state.rows_by_table['claims'][_KEY].body)
    assert row.state is ClaimState.done
    assert row.answer == _ANSWER
    assert len(state.rows_by_table['bills']) == 1


def test_an_answer_is_kept_though_its_bill_is_there_already():
    """The writer of bills may be first; the node used to end then."""
    state = make_state()
    bill = make_bill(1, 'tills', _KEY)

    async def main(nursery):
        ctx = make_context(FakeStore(state), nursery=nursery)
        won = (await win_claim(ctx, _KEY, 'body', 10)).ok
        batch = f'{name_claim_batch(won.key)}/0000'
        await ctx.store.transact(
            [Operation('bills', batch, 0, [write_bill(bill)])]
        )
        await finish_claim(ctx, won, _ANSWER, bill)
        return await win_claim(ctx, _KEY, 'body', 10)

    assert run(main).ok == _ANSWER
    assert len(state.rows_by_table['bills']) == 1


def test_store_down_is_told_at_once():
    async def main(nursery):
        store = FakeStore(make_state())
        store.n_failed = 2
        ctx = make_context(store, nursery=nursery)
        before = trio.current_time()
        decided = await win_claim(ctx, _KEY, 'body', 10)
        return decided, trio.current_time() - before

    decided, took_s = run(main)
    assert decided.error.code is ResultCode.store_down
    assert decided.error.ran is Ran.not_run
    assert took_s == 0
