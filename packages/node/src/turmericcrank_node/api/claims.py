"""Acquires, completes and releases claims of at-most-once requests."""

import time
import uuid
from dataclasses import dataclass

import trio
from expression import Error, Ok, Result
from turmericcrank_core.billing import Bill, serialize_bill
from turmericcrank_core.claims import (
    ClaimRow,
    ClaimState,
    ClaimVerdict,
    StoredResponse,
    check_claim_row,
    evaluate_claim,
    serialize_claim_row,
)
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.errors import Refusal
from turmericcrank_core.event_codes import EventCode

from turmericcrank_node.state.node_context import NodeContext
from turmericcrank_node.state.store import Operation

__all__ = (
    'AcquiredClaim',
    'acquire_claim',
    'complete_claim',
    'find_unstored_answer',
    'make_claim_batch_name',
    'release_claim',
    'store_answer',
)

_CLAIMS_TABLE = 'claims'
_RETRY_DELAY_S = 0.1
_STORE_RETRY_DELAY_S = 0.5
_RETRY_AFTER_S = 2
# A client must not wait long for an answer that is ready, though a repeat at
# another node may then find the claim open.
_STORE_ANSWER_LIMIT_S = 1


@dataclass(slots=True, frozen=True)
class AcquiredClaim:
    """A claim that entitles this node to send the request.

    Attributes:
        key: Key of the row.
        row: Row as written by this node.
        version: Version of the row in the store.
        claimed_s: Monotonic time just before the claim was written.
    """

    key: str
    row: ClaimRow
    version: int
    claimed_s: float


async def acquire_claim(
    ctx: NodeContext, key: str, body_hash: str, deadline_s: float
) -> Result[AcquiredClaim | StoredResponse, Refusal]:
    """Claim a request, or return the outcome of an earlier attempt.

    Args:
        ctx: The node.
        key: Key of the claim.
        body_hash: Hash of the request.
        deadline_s: Time limit of the request, in seconds.

    Returns:
        The claim when this node may send the request, the stored response
        when it has run before, or the refusal for the client.
    """
    if ctx.store.seems_down:
        return Error(
            Refusal(ResultCode.store_down, retry_after_s=_RETRY_AFTER_S)
        )
    row = ClaimRow(
        uuid.uuid4().hex,
        body_hash,
        ClaimState.claimed,
        time.time() + deadline_s,
    )
    attempt = ClaimAttempt(ctx, key, row, trio.current_time())
    give_up_at_s = attempt.started_s + ctx.settings.claim_limit_s
    while trio.current_time() < give_up_at_s:
        decided = await attempt.try_write()
        if decided is not None:
            return decided
        await trio.sleep(_RETRY_DELAY_S)
    ctx.log.write(EventCode.claim_undecided, claim=key)
    ctx.start_soon(resolve_claim, key, row)
    return Error(
        Refusal(ResultCode.outcome_unknown, retry_after_s=_RETRY_AFTER_S)
    )


@dataclass(slots=True)
class ClaimAttempt:
    """One attempt to acquire a claim.

    Attributes:
        ctx: The node.
        key: Key of the claim.
        row: Row that this attempt writes, with its own token.
        started_s: Monotonic time of the start.
        expected_version: Row version that the next conditional write
            requires.
        may_have_applied: Whether an earlier write may have taken effect
            although it reported an error.
    """

    ctx: NodeContext
    key: str
    row: ClaimRow
    started_s: float
    expected_version: int = 0
    may_have_applied: bool = False

    async def try_write(
        self,
    ) -> Result[AcquiredClaim | StoredResponse, Refusal] | None:
        """Try one conditional write; None while the outcome is open."""
        claimed_s = trio.current_time()
        outcome = await self.ctx.store.transact(
            [
                Operation(
                    _CLAIMS_TABLE,
                    self.key,
                    self.expected_version,
                    serialize_claim_row(self.row),
                )
            ]
        )
        if outcome.is_error():
            self.may_have_applied = (
                self.may_have_applied or outcome.error.may_have_applied
            )
            if self.may_have_applied:
                return None
            return Error(
                Refusal(ResultCode.store_down, retry_after_s=_RETRY_AFTER_S)
            )
        stored = outcome.ok[0]
        if stored.condition_met:
            return self._acquired(stored.version, claimed_s)
        if stored.body is None:
            self.expected_version = stored.version
            return None
        return await self._apply_verdict(stored.version, stored.body, claimed_s)

    async def _apply_verdict(
        self, version: int, body: dict[str, object], claimed_s: float
    ) -> Result[AcquiredClaim | StoredResponse, Refusal] | None:
        stored = check_claim_row(body)
        verdict = evaluate_claim(
            stored, self.row.token, self.row.body_hash, time.time()
        )
        if verdict.is_error():
            self.ctx.log.write(EventCode.claim_conflict, claim=self.key)
            return Error(verdict.error)
        if verdict.ok is ClaimVerdict.send:
            return self._acquired(version, claimed_s)
        if verdict.ok is ClaimVerdict.replay:
            return Ok(stored.answer)
        self.expected_version = version
        return None

    def _acquired(
        self, version: int, claimed_s: float
    ) -> Result[AcquiredClaim | StoredResponse, Refusal]:
        self.ctx.log.write(EventCode.claim_won, claim=self.key)
        return Ok(AcquiredClaim(self.key, self.row, version, claimed_s))


def find_unstored_answer(
    ctx: NodeContext, key: str, body_hash: str
) -> Result[StoredResponse, Refusal] | None:
    """Return the outcome of a call whose answer this node still has to store.

    Returns:
        The answer, or a refusal if the key was used for another request;
        None if there is no such call.
    """
    row = ctx.unstored_claims_by_key.get(key)
    if row is None:
        return None
    if row.body_hash != body_hash:
        return Error(Refusal(ResultCode.key_reused))
    return Ok(row.answer)


async def store_answer(
    ctx: NodeContext,
    acquired_claim: AcquiredClaim,
    answer: StoredResponse,
    bill: Bill,
) -> None:
    """Store an answer before its client gets it, unless the store is slow.

    A client that has the answer may repeat the call at any node, and each
    node must find the answer. If the store takes longer than
    ``_STORE_ANSWER_LIMIT_S``, storing continues in the background, and only
    this node has the answer until then.
    """
    ctx.unstored_claims_by_key[acquired_claim.key] = _make_done_row(
        acquired_claim, answer
    )
    is_stored = trio.Event()
    ctx.start_soon(
        _store_in_background, acquired_claim, answer, bill, is_stored
    )
    with trio.move_on_after(_STORE_ANSWER_LIMIT_S):
        await is_stored.wait()


async def _store_in_background(
    ctx: NodeContext,
    acquired_claim: AcquiredClaim,
    answer: StoredResponse,
    bill: Bill,
    is_stored: trio.Event,
) -> None:
    await complete_claim(ctx, acquired_claim, answer, bill)
    ctx.unstored_claims_by_key.pop(acquired_claim.key, None)
    is_stored.set()


def _make_done_row(
    acquired_claim: AcquiredClaim, answer: StoredResponse
) -> ClaimRow:
    return ClaimRow(
        acquired_claim.row.token,
        acquired_claim.row.body_hash,
        ClaimState.done,
        acquired_claim.row.open_until_s,
        answer,
    )


async def complete_claim(
    ctx: NodeContext,
    acquired_claim: AcquiredClaim,
    answer: StoredResponse,
    bill: Bill,
) -> None:
    """Store the response and the bill in one transaction.

    Retries until the store has processed the transaction. A version conflict
    of the claim counts as success, since it follows an earlier write whose
    reply was lost.

    Args:
        ctx: The node.
        acquired_claim: The claim.
        answer: The complete response.
        bill: Bill of the request; written with the response or not at all,
            unless the bill writer has already stored it.
    """
    row = _make_done_row(acquired_claim, answer)
    operations = [
        Operation(
            _CLAIMS_TABLE,
            acquired_claim.key,
            acquired_claim.version,
            serialize_claim_row(row),
        ),
        Operation(
            'bills',
            f'{make_claim_batch_name(acquired_claim.key)}/0000',
            0,
            [serialize_bill(bill)],
        ),
    ]
    while True:
        outcome = await ctx.store.transact(operations)
        if outcome.is_ok():
            claim_outcome, *bill_outcomes = outcome.ok
            is_billed = all(bill.condition_met for bill in bill_outcomes)
            if claim_outcome.condition_met and not is_billed:
                operations.pop()
            else:
                ctx.log.write(EventCode.answer_kept, claim=acquired_claim.key)
                return
        else:
            await trio.sleep(_STORE_RETRY_DELAY_S)


def make_claim_batch_name(key: str) -> str:
    """Return the name of the single-bill batch of a claimed request."""
    return f'claim-{key}'


async def release_claim(
    ctx: NodeContext, acquired_claim: AcquiredClaim
) -> None:
    """Mark a claim as not run; the request must not have been sent."""
    await resolve_claim(ctx, acquired_claim.key, acquired_claim.row)


async def resolve_claim(ctx: NodeContext, key: str, row: ClaimRow) -> None:
    """Mark a claim of this node as not run.

    It may be unknown whether the claim was written. The row is therefore
    also written when it is absent, so that a delayed write of the same
    attempt fails its version check.
    """
    not_run = ClaimRow(
        row.token, row.body_hash, ClaimState.not_run, row.open_until_s
    )
    expected_version = 0
    while True:
        outcome = await ctx.store.transact(
            [
                Operation(
                    _CLAIMS_TABLE,
                    key,
                    expected_version,
                    serialize_claim_row(not_run),
                )
            ]
        )
        if outcome.is_error():
            await trio.sleep(_STORE_RETRY_DELAY_S)
            continue
        stored = outcome.ok[0]
        if stored.condition_met or not _is_own_open_claim(
            stored.body, row.token
        ):
            ctx.log.write(EventCode.claim_resolved, claim=key)
            return
        expected_version = stored.version


def _is_own_open_claim(body: dict[str, object] | None, token: str) -> bool:
    if body is None:
        return True
    stored = check_claim_row(body)
    return stored.token == token and stored.state is ClaimState.claimed
