"""Shares with all peers what crashes upstreams, and what does not."""

import itertools
import time
from typing import Any

import trio
from turmericcrank_core import crash_blocks
from turmericcrank_core.connection_breaks import record_answered_keys
from turmericcrank_core.crash_block import (
    CrashBlock,
    is_test_due,
    name_test_turn,
)
from turmericcrank_core.crash_blocks import (
    find_block,
    merge_block,
    record_output_of,
    start_test,
)
from turmericcrank_core.crash_evidence import CrashRecord, Suspect
from turmericcrank_core.event_codes import EventCode

from turmericcrank_node.control.evidence_replication import choose_aggregators
from turmericcrank_node.membership import peer_messages as messages
from turmericcrank_node.membership.crash_rows import (
    make_block_row,
    make_crash_row,
    parse_block,
    parse_crash,
)
from turmericcrank_node.membership.peer_sampling import send_to_peers
from turmericcrank_node.state.in_flight_attempt import (
    InFlightAttempt,
    list_suspects,
    record_complete_response,
    record_events,
)
from turmericcrank_node.state.node_context import NodeContext

__all__ = (
    'is_blocked',
    'judge_crashes',
    'merge_crash_report',
    'record_output',
    'record_response',
    'report_crash',
    'serve_crash_blocks',
    'take_test',
)

_REPEAT_INTERVAL_S = 1
_REPEAT_FANOUT = 3


def is_blocked(ctx: NodeContext, suspect: Suspect) -> bool:
    """Return whether a request must not be sent, as it crashes upstreams."""
    return find_block(ctx.crash_guard, suspect) is not None


def take_test(ctx: NodeContext, suspect: Suspect) -> bool:
    """Return whether a blocked request is to be sent as a test now.

    Only the node whose turn it is may send one.
    """
    now_s = time.time()
    block = find_block(ctx.crash_guard, suspect)
    if block is None or not is_test_due(block, now_s):
        return False
    turn = name_test_turn(block, now_s)
    node_id = ctx.settings.node_id
    if choose_aggregators({*ctx.window.listed, node_id}, turn)[0] != node_id:
        return False
    tested = start_test(ctx.crash_guard, block, now_s)
    _announce(ctx, [tested], 'test')
    ctx.start_soon(send_to_peers, _make_report(blocks=[tested]))
    return True


async def report_crash(
    ctx: NodeContext, upstream_id: str, attempts: list[InFlightAttempt]
) -> None:
    """Record a crash and report it to all peers before any retry."""
    now_s = time.time()
    record = CrashRecord(upstream_id, now_s, list_suspects(attempts, now_s))
    blocks = crash_blocks.report_crash(ctx.crash_guard, record, now_s)
    if blocks is None:
        return
    ctx.log.write(
        EventCode.upstream_failed,
        upstream=upstream_id,
        in_progress=len(attempts),
        n_suspects=len(record.suspects),
    )
    _announce(ctx, blocks, 'crash')
    await send_to_peers(ctx, _make_report(record, blocks=blocks))


def record_output(
    ctx: NodeContext, upstream_id: str, request_id: str, n_events: int
) -> None:
    """Record events of a response; tell peers if they clear a suspect."""
    attempt = ctx.in_flight.get(upstream_id, {}).get(request_id)
    if attempt and record_events(attempt, n_events, time.time()):
        _record_proof(ctx, attempt.suspect, attempt.first_output_s)


def record_response(
    ctx: NodeContext, upstream_id: str, request_id: str
) -> None:
    """Record a complete response; tell peers if it clears a suspect."""
    attempt = ctx.in_flight.get(upstream_id, {}).get(request_id)
    if attempt and record_complete_response(attempt, time.time()):
        _record_proof(ctx, attempt.suspect, attempt.first_output_s)


def merge_crash_report(ctx: NodeContext, report: messages.CrashReport) -> None:
    """Merge crashes, output of suspects and blocks that a peer reports."""
    now_s = time.time()
    guard = ctx.crash_guard
    if report.upstream_id:
        record = parse_crash(report.upstream_id, report.at_s, report.suspects)
        blocks = crash_blocks.report_crash(guard, record, now_s)
        _announce(ctx, blocks or [], 'peer')
    for key, at_s in report.outputs:
        output = record_output_of(guard, frozenset((key,)), at_s, now_s)
        _announce(ctx, output.lifted + output.blocks, 'peer')
    for block in itertools.starmap(parse_block, report.blocks):
        if merge_block(guard, block):
            _announce(ctx, [guard.blocks_by_keys[block.keys]], 'peer')


def judge_crashes(ctx: NodeContext) -> None:
    """Judge the messages that prompts share."""
    blocks = crash_blocks.judge_parts(ctx.crash_guard, time.time())
    _announce(ctx, blocks, 'crash')


async def serve_crash_blocks(ctx: NodeContext) -> None:
    """Judge crashes, and repeat the blocks to some peers.

    Nodes that have started later learn of them so.
    """
    while True:
        await trio.sleep(_REPEAT_INTERVAL_S)
        judge_crashes(ctx)
        crash_blocks.expire_blocks(ctx.crash_guard, time.time())
        blocks = list(ctx.crash_guard.blocks_by_keys.values())
        if blocks:
            report = _make_report(blocks=blocks)
            await send_to_peers(ctx, report, _REPEAT_FANOUT)


def _record_proof(ctx: NodeContext, suspect: Suspect, at_s: float) -> None:
    record_answered_keys(ctx.crash_guard.breaks, suspect.keys, at_s)
    output = record_output_of(ctx.crash_guard, suspect.keys, at_s, time.time())
    _announce(ctx, output.lifted + output.blocks, 'response')
    if output.proven_keys or output.lifted:
        report = _make_report(
            outputs=[[key, at_s] for key in output.proven_keys],
            blocks=output.lifted + output.blocks,
        )
        ctx.start_soon(send_to_peers, report)


def _make_report(
    record: CrashRecord | None = None,
    outputs: list[list[Any]] | None = None,
    blocks: list[CrashBlock] | None = None,
) -> messages.CrashReport:
    crash_row = make_crash_row(record) if record else ['', 0, []]
    return messages.CrashReport(
        *crash_row, outputs or [], [make_block_row(one) for one in blocks or ()]
    )


def _announce(ctx: NodeContext, blocks: list[CrashBlock], source: str) -> None:
    for block in blocks:
        ctx.log.write(
            EventCode.crash_block_changed,
            keys=sorted(block.keys),
            active=crash_blocks.is_active(block),
            n_tests=block.n_tests,
            source=source,
        )
