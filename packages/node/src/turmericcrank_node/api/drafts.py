"""Queue of long drafts: stored at once, run when there is capacity.

Only the team that submitted a draft can fetch it. The row of a draft holds
its state. Its queue row is a lease: the node that runs the draft renews it,
and another node takes over an expired one. The result takes effect only
through one transaction that ends the lease, marks the draft done and writes
its bill. So a draft that two nodes have run has one result and one bill.
"""

import json
import uuid
from dataclasses import dataclass, field
from typing import Any

import trio
import xxhash
from expression import Error, Ok, Result
from turmericcrank_core.billing import serialize_bill
from turmericcrank_core.claims import hash_body
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.errors import Refusal
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.leases import (
    LeaseObservation,
    check_lease,
    plan_lease,
    record_lease,
    serialize_lease,
)
from turmericcrank_core.requests import ModelRequest, check_model_request

from turmericcrank_node.api.model_handler import (
    CompleteAnswer,
    get_complete_answer,
)
from turmericcrank_node.api.request_admission import (
    AuthenticatedClient,
    check_accepting_requests,
    track_background_work,
)
from turmericcrank_node.api.request_planning import plan_call
from turmericcrank_node.state.node_context import NodeContext
from turmericcrank_node.state.store import Operation, StoredRow

__all__ = ('fetch_draft', 'serve_drafts', 'store_draft')

_DRAFTS = 'drafts'
_QUEUE = 'draft_queue'
_QUEUE_PAGE_SIZE = 50
_POLL_INTERVAL_S = 1
_N_NODES_AT_BASE_INTERVAL = 8
_RETRY_AFTER_S = 2
_RENEW_FRACTION = 0.33
_MAX_FAILURES = 20
_PERMANENT_ERROR_CODES = frozenset(
    (
        ResultCode.poisoned,
        ResultCode.team_not_allowed,
        ResultCode.unknown_route,
        ResultCode.version_withdrawn,
    )
)


@dataclass(slots=True)
class DraftRunner:
    """State of the task that runs drafts.

    Attributes:
        observations_by_id: Last observed lease of each queued draft.
        failures_by_id: Number of failed runs of each draft on this node.
        running: Drafts that this node is running.
    """

    observations_by_id: dict[str, LeaseObservation] = field(
        default_factory=dict
    )
    failures_by_id: dict[str, int] = field(default_factory=dict)
    running: set[str] = field(default_factory=set)


async def store_draft(
    ctx: NodeContext, client: AuthenticatedClient, body: bytes
) -> Result[str, Refusal]:
    """Store a draft in the platform's store and return its id.

    Submitting the same draft with the same idempotency key again returns
    the same id.
    """
    draft_id = uuid.uuid4().hex
    if client.idempotency_key:
        draft_id = xxhash.xxh3_128_hexdigest(client.bill_id.encode())
    unavailable = Error(
        Refusal(ResultCode.store_down, retry_after_s=_RETRY_AFTER_S)
    )
    if ctx.store.seems_down:
        return unavailable
    body_hash = hash_body('POST', _DRAFTS, body)
    written = await ctx.store.write_object(
        _make_request_object_name(draft_id), body
    )
    if written.is_error():
        return unavailable
    row = {'team': client.team, 'state': 'kept', 'body_hash': body_hash}
    outcome = await ctx.store.transact(
        [
            Operation(_DRAFTS, draft_id, 0, row),
            Operation(_QUEUE, draft_id, 0, {'lease': None}),
        ]
    )
    if outcome.is_error():
        if outcome.error.may_have_applied:
            return Error(
                Refusal(
                    ResultCode.outcome_unknown, retry_after_s=_RETRY_AFTER_S
                )
            )
        return unavailable
    stored = outcome.ok[0]
    if not stored.condition_met and stored.body['body_hash'] != body_hash:
        return Error(Refusal(ResultCode.key_reused))
    ctx.log.write(EventCode.draft_kept, draft=draft_id)
    return Ok(draft_id)


async def fetch_draft(
    ctx: NodeContext, team: str, draft_id: str
) -> Result[dict[str, Any], Refusal]:
    """Return the state of a draft; ``not_found`` for any other team."""
    found = await ctx.store.read([(_DRAFTS, draft_id)])
    if found.is_error():
        return Error(
            Refusal(ResultCode.store_down, retry_after_s=_RETRY_AFTER_S)
        )
    row = found.ok[0].body
    if row is None or row['team'] != team:
        return Error(Refusal(ResultCode.not_found))
    if row['state'] != 'done':
        return Ok({'id': draft_id, **_describe_state(row)})
    answer = await ctx.store.read_object(row['answer'])
    if answer.is_error() or answer.ok is None:
        return Error(
            Refusal(ResultCode.store_down, retry_after_s=_RETRY_AFTER_S)
        )
    return Ok(
        {'id': draft_id, 'state': 'done', 'answer': json.loads(answer.ok)}
    )


async def serve_drafts(ctx: NodeContext) -> None:
    """Acquire queued drafts and run them until cancelled."""
    runner = DraftRunner()
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(
                ctx.scale_interval_s(
                    _POLL_INTERVAL_S, _N_NODES_AT_BASE_INTERVAL
                )
            )
            if not ctx.leaving and check_accepting_requests(ctx).is_ok():
                await _acquire_queued(ctx, runner, nursery)


async def _acquire_queued(
    ctx: NodeContext, runner: DraftRunner, nursery: trio.Nursery
) -> None:
    queued = await ctx.store.scan(_QUEUE, limit=_QUEUE_PAGE_SIZE)
    for row in queued.default_value([]):
        if len(runner.running) >= ctx.settings.max_draft_runs:
            return
        if row.key not in runner.running:
            await _try_acquire(ctx, runner, row, nursery)


def _describe_state(row: dict[str, Any]) -> dict[str, Any]:
    return {
        name: row[name] for name in ('state', 'code', 'detail') if name in row
    }


def _make_request_object_name(draft_id: str) -> str:
    return f'drafts/{draft_id}/request'


async def _try_acquire(
    ctx: NodeContext,
    runner: DraftRunner,
    row: StoredRow,
    nursery: trio.Nursery,
) -> None:
    observation = runner.observations_by_id.setdefault(
        row.key, LeaseObservation()
    )
    now_s = trio.current_time()
    record_lease(observation, check_lease(row.body['lease']), now_s)
    lease = plan_lease(
        observation, ctx.incarnation, ctx.settings.draft_lease_s, now_s
    )
    if lease is None:
        return
    body = {'lease': serialize_lease(lease)}
    outcome = await ctx.store.transact(
        [Operation(_QUEUE, row.key, row.version, body)]
    )
    if outcome.is_ok() and outcome.ok[0].condition_met:
        ctx.log.write(EventCode.draft_taken, draft=row.key)
        runner.running.add(row.key)
        run = DraftRun(ctx, row.key, body, outcome.ok[0].version)
        nursery.start_soon(_run_tracked, runner, run)


@dataclass(slots=True)
class DraftRun:
    """One draft that this node runs under a lease.

    Attributes:
        ctx: The node.
        draft_id: Id of the draft.
        body: Queue row as written by this node.
        version: Version of the queue row.
        lease_lost: Whether another node has taken over the lease.
    """

    ctx: NodeContext
    draft_id: str
    body: dict[str, Any]
    version: int
    lease_lost: bool = False

    async def renew(self) -> None:
        """Renew the lease until it is lost or the task is cancelled."""
        interval_s = self.ctx.settings.draft_lease_s * _RENEW_FRACTION
        while not self.lease_lost:
            await trio.sleep(interval_s)
            self.body['lease']['renewals'] += 1
            outcome = await self.ctx.store.transact(
                [Operation(_QUEUE, self.draft_id, self.version, self.body)]
            )
            if outcome.is_error():
                continue
            stored = outcome.ok[0]
            is_own = stored.condition_met or stored.body == self.body
            self.lease_lost = not is_own
            self.version = stored.version


async def _run_tracked(runner: DraftRunner, run: DraftRun) -> None:
    try:
        with track_background_work(run.ctx):
            await _run_and_commit(runner, run)
    finally:
        runner.running.discard(run.draft_id)


async def _run_and_commit(runner: DraftRunner, run: DraftRun) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run.renew)
        outcome = await _run_draft(run.ctx, run)
        nursery.cancel_scope.cancel()
    failures = runner.failures_by_id.get(run.draft_id, 0)
    if outcome.is_ok():
        await _store_answer(run, outcome.ok)
    elif (
        outcome.error.code in _PERMANENT_ERROR_CODES or failures > _MAX_FAILURES
    ):
        await _store_failure(run, outcome.error)
    else:
        runner.failures_by_id[run.draft_id] = failures + 1
        await _release_lease(run)


async def _run_draft(
    ctx: NodeContext, run: DraftRun
) -> Result[CompleteAnswer, Refusal]:
    unavailable = Refusal(ResultCode.store_down)
    draft_read = await ctx.store.read([(_DRAFTS, run.draft_id)])
    request_body = await ctx.store.read_object(
        _make_request_object_name(run.draft_id)
    )
    if draft_read.is_error() or request_body.is_error() or not request_body.ok:
        return Error(unavailable)
    row = draft_read.ok[0].body
    checked = check_model_request(json.loads(request_body.ok), request_body.ok)
    if checked.is_error():
        return Error(checked.error)
    return await _generate_answer(ctx, run, row['team'], checked.ok)


async def _generate_answer(
    ctx: NodeContext, run: DraftRun, team: str, request: ModelRequest
) -> Result[CompleteAnswer, Refusal]:
    client = AuthenticatedClient(
        team, uuid.uuid4().hex, f'draft-{run.draft_id}', run.draft_id
    )
    planned = plan_call(ctx, client, request, '')
    if planned.is_error():
        return Error(planned.error)
    return await get_complete_answer(ctx, planned.ok)


async def _store_answer(run: DraftRun, complete_answer: CompleteAnswer) -> None:
    ctx = run.ctx
    name = f'drafts/{run.draft_id}/answer-{ctx.incarnation}-{run.version}'
    written = await ctx.store.write_object(name, complete_answer.raw)
    if written.is_error():
        return
    bill_row = Operation(
        'bills',
        f'draft-{run.draft_id}/0000',
        0,
        [serialize_bill(complete_answer.bill)],
    )
    await _commit_result(run, {'state': 'done', 'answer': name}, [bill_row])


async def _store_failure(run: DraftRun, refusal: Refusal) -> None:
    row = {
        'state': 'failed',
        'code': int(refusal.code),
        'detail': refusal.message,
    }
    await _commit_result(run, row, [])


async def _commit_result(
    run: DraftRun, changes: dict[str, Any], extra_operations: list[Operation]
) -> None:
    """End the lease and update the draft in one transaction."""
    ctx = run.ctx
    draft_read = await ctx.store.read([(_DRAFTS, run.draft_id)])
    if draft_read.is_error() or run.lease_lost:
        return
    row = draft_read.ok[0]
    outcome = await ctx.store.transact(
        [
            Operation(_QUEUE, run.draft_id, run.version, None),
            Operation(
                _DRAFTS, run.draft_id, row.version, {**row.body, **changes}
            ),
            *extra_operations,
        ]
    )
    if outcome.is_ok() and all(write.condition_met for write in outcome.ok):
        ctx.log.write(
            EventCode.draft_finished,
            draft=run.draft_id,
            state=changes['state'],
        )


async def _release_lease(run: DraftRun) -> None:
    await run.ctx.store.transact(
        [Operation(_QUEUE, run.draft_id, run.version, {'lease': None})]
    )
