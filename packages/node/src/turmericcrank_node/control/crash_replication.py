"""Shares with all peers which requests were in flight at a crash."""

import time
from collections.abc import Iterable

from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.poison_requests import (
    CrashRecord,
    add_crash,
    clear_suspect,
    is_suspect,
)

from turmericcrank_node.membership import peer_messages as messages
from turmericcrank_node.membership.peer_sampling import send_to_peers
from turmericcrank_node.state.node_context import NodeContext

__all__ = ('clear_suspect_after_response', 'record_crash', 'report_crash')


def record_crash(
    ctx: NodeContext, record: CrashRecord, cleared: Iterable[str]
) -> None:
    """Record a crash, or cleared suspects, from this node or a peer."""
    add_crash(ctx.suspects, record)
    for fingerprint in cleared:
        clear_suspect(ctx.suspects, fingerprint, record.at_s)


async def report_crash(
    ctx: NodeContext, upstream_id: str, fingerprints: Iterable[str]
) -> None:
    """Record a crash and report it to all peers before any retry."""
    record = CrashRecord(upstream_id, time.time(), frozenset(fingerprints))
    record_crash(ctx, record, ())
    ctx.log.write(
        EventCode.upstream_failed,
        upstream=upstream_id,
        in_progress=len(record.fingerprints),
    )
    report = messages.CrashReport(
        upstream_id, record.at_s, sorted(record.fingerprints), []
    )
    await send_to_peers(ctx, report)


def clear_suspect_after_response(ctx: NodeContext, fingerprint: str) -> None:
    """Clear a suspect that got a complete response, here and at all peers."""
    if not is_suspect(ctx.suspects, fingerprint):
        return
    now_s = time.time()
    clear_suspect(ctx.suspects, fingerprint, now_s)
    report = messages.CrashReport('', now_s, [], [fingerprint])
    ctx.start_soon(send_to_peers, report)
