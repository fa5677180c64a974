"""Records what crashes upstreams, and stops requests that carry it.

The requests of this node that waited without any output at an upstream that
crashed are suspects. Nodes report crashes, and output that clears suspects, to
each other, so that all of them judge by the same evidence.
"""

from collections.abc import Collection, Iterable, Mapping

import xxhash
from turmericcrank_core.connection_breaks import (
    find_answered_since,
    record_answer,
)
from turmericcrank_core.crash_block import (
    CrashBlock,
    is_active,
    is_same_state,
)
from turmericcrank_core.crash_blocks import (
    merge_block,
    record_output_of,
    report_crash,
)
from turmericcrank_core.crash_evidence import (
    CrashRecord,
    Suspect,
    count_crashes,
    list_clearable,
)
from turmericcrank_core.event_codes import EventCode

from turmericcrank_node.platform_port import DecodedRequest
from turmericcrank_node.state.crash_reports import Audience, PendingReport
from turmericcrank_node.state.in_flight_attempt import (
    InFlightAttempt,
    list_suspects,
    record_complete_response,
    record_events,
)
from turmericcrank_node.state.node_state import (
    NodeState,
    read_cluster_time_s,
)

__all__ = (
    'announce_blocks',
    'fingerprint_request',
    'is_part_key',
    'make_part_key',
    'make_suspect',
    'merge_crash_report',
    'merge_output_report',
    'merge_reported_block',
    'publish_crash',
    'record_begin',
    'record_crash',
    'record_in_flight',
    'record_output',
    'record_response',
)

_KEY_DIGITS = 12
# Fingerprints of requests are hexadecimal.
_PART_PREFIX = 'p'
_MAX_LOGGED = 16
_MIN_LOGGED_CRASHES = 3


def fingerprint_request(call: DecodedRequest, team: str) -> str:
    """Hash the content of a request, to recognize it when it is repeated.

    The request id is left out: it is new for each attempt of the client.
    """
    digest = xxhash.xxh3_64()
    for part in (team.encode(), call.request.target, call.request.body):
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return str(digest.hexdigest())


def make_suspect(
    service: str, fingerprint: str, parts: Iterable[str]
) -> Suspect:
    """Return what a request is blamed by if it crashes an upstream.

    Keys of parts have a fixed length, whatever the client sends.
    """
    return Suspect(
        fingerprint,
        frozenset(make_part_key(service, part) for part in parts),
    )


def record_in_flight(
    state: NodeState,
    upstream_id: str,
    attempt: InFlightAttempt,
) -> int:
    """Record an attempt as in flight at an upstream; return its number."""
    state.last_attempt_number += 1
    number = state.last_attempt_number
    state.attempts_by_upstream.setdefault(upstream_id, {})[number] = attempt
    return number


def record_begin(state: NodeState, upstream_id: str, number: int) -> None:
    """Record that the head of a streamed response has arrived."""
    attempt = state.attempts_by_upstream.get(upstream_id, {}).get(number)
    if attempt is not None:
        attempt.has_begun = True


def record_output(
    state: NodeState, upstream_id: str, number: int, n_events: int
) -> None:
    """Record events of a response; tell other nodes what they prove."""
    attempt = state.attempts_by_upstream.get(upstream_id, {}).get(number)
    if attempt and record_events(attempt, n_events, read_cluster_time_s(state)):
        _record_answer(state, upstream_id, attempt)


def record_response(state: NodeState, upstream_id: str, number: int) -> None:
    """Record a complete response; tell other nodes what it proves."""
    attempt = state.attempts_by_upstream.get(upstream_id, {}).get(number)
    now_s = read_cluster_time_s(state)
    if attempt and record_complete_response(attempt, now_s):
        _record_answer(state, upstream_id, attempt)


def record_crash(
    state: NodeState,
    upstream_id: str,
    reason: str,
    attempts_by_number: Mapping[int, InFlightAttempt],
) -> None:
    """Record that an upstream crashes now, and tell other nodes.

    Args:
        state: The node.
        upstream_id: Upstream that crashed.
        reason: How the connection broke, for the log.
        attempts_by_number: Attempts that were in flight there, by number.
    """
    now_s = read_cluster_time_s(state)
    suspects = list_suspects(attempts_by_number.values(), now_s)
    record = CrashRecord(upstream_id, now_s, suspects)
    publish_crash(state, record, reason, attempts_by_number.values())


def publish_crash(
    state: NodeState,
    record: CrashRecord,
    reason: str,
    attempts: Collection[InFlightAttempt],
) -> None:
    """Record a crash that this node has noticed, and tell other nodes.

    The reason is how it was noticed, for the log.
    """
    now_s = read_cluster_time_s(state)
    blocks = _report_crash(state, record, now_s)
    if blocks is None:
        return
    state.crash_reports.by_crash[record] = PendingReport()
    _report_answers(state, record, now_s)
    logged = list(attempts)[:_MAX_LOGGED]
    state.log.write(
        EventCode.upstream_failed,
        upstream=record.upstream_id,
        reason=reason,
        n_requests=len(attempts),
        n_suspects=len(record.suspects),
        in_flight=[
            [one.request_id, list(one.parts), one.has_begun, one.n_events]
            for one in logged
        ],
    )
    announce_blocks(state, blocks, 'crash', Audience.everyone)
    state.request_gossip()


def merge_crash_report(
    state: NodeState,
    record: CrashRecord,
    source: str,
    audience: Audience | None,
) -> bool:
    """Record a crash that another node reported.

    Args:
        state: The node.
        record: What the other node reported.
        source: Id of the other node.
        audience: Nodes that depend on this node to hear of it; None for none.

    Returns:
        False if it adds nothing to what this node knows.
    """
    now_s = read_cluster_time_s(state)
    blocks = _report_crash(state, record, now_s)
    if blocks is None:
        return False
    if audience is not None:
        state.crash_reports.by_crash[record] = PendingReport(audience)
    _report_answers(state, record, now_s)
    announce_blocks(state, blocks, source, audience)
    return True


def merge_output_report(
    state: NodeState,
    key: str,
    at_s: float,
    source: str,
    audience: Audience | None,
) -> bool:
    """Record output of a request that another node reports.

    Args:
        state: The node.
        key: Fingerprint of the request, or key of a part of its prompt.
        at_s: Time of the output on the cluster clock, in seconds.
        source: Id of the other node.
        audience: Nodes that depend on this node to hear of it; None for none.

    Returns:
        Whether it clears a suspect.
    """
    keys = frozenset((key,))
    return bool(_apply_proof(state, keys, at_s, source, audience))


def merge_reported_block(
    state: NodeState,
    block: CrashBlock,
    source: str,
    audience: Audience | None,
) -> bool:
    """Merge a block that another node reports.

    Args:
        state: The node.
        block: What the other node reported.
        source: Id of the other node.
        audience: Nodes that depend on this node to hear of it; None for none.

    Returns:
        Whether other nodes must learn of it at once.
    """
    is_changed = merge_block(state.crash_guard, block)
    merged = state.crash_guard.blocks_by_keys.get(block.keys)
    if merged is None:
        return False
    if is_changed:
        _log_block(state, merged, source)
    by_block = state.crash_reports.by_block
    if not is_same_state(merged, block):
        # The sender does not know the newer state.
        by_block.setdefault(block.keys, PendingReport())
    elif is_changed and audience is not None:
        by_block[block.keys] = PendingReport(audience)
    return is_changed


def make_part_key(service: str, part: str) -> str:
    """Return the key of a prompt part, of a fixed length."""
    named = f'{service}/{part}'.encode('utf-8', 'surrogatepass')
    digest = xxhash.xxh3_64_hexdigest(named)[:_KEY_DIGITS]
    return f'{_PART_PREFIX}{digest}'


def is_part_key(key: str) -> bool:
    """Return whether a key is that of a part, not of a request."""
    return key.startswith(_PART_PREFIX)


def _report_crash(
    state: NodeState, record: CrashRecord, now_s: float
) -> list[CrashBlock] | None:
    """Record a crash, and the service of its upstream while that is listed."""
    guard = state.crash_guard
    upstream = state.upstream_registry.by_id.get(record.upstream_id)
    if upstream is not None:
        service_by_id = guard.history.service_by_upstream_id
        service_by_id[record.upstream_id] = upstream.service
    return report_crash(guard, record, now_s)


def _report_answers(
    state: NodeState, record: CrashRecord, now_s: float
) -> None:
    """Report what this node has seen answered since a late crash."""
    guard = state.crash_guard
    for key in find_answered_since(guard.breaks, record, now_s):
        proven_s = guard.history.proven_s_by_key.get(key, 0)
        if proven_s > record.at_s:
            state.crash_reports.by_output[key, proven_s] = PendingReport()


def _record_answer(
    state: NodeState, upstream_id: str, attempt: InFlightAttempt
) -> None:
    upstream = state.upstream_registry.by_id.get(upstream_id)
    if upstream is not None:
        record_answer(
            state.crash_guard.breaks,
            upstream,
            attempt.suspect.keys,
            attempt.first_output_s,
        )
    _record_proof(state, attempt.suspect.keys, attempt.first_output_s)


def _record_proof(state: NodeState, keys: frozenset[str], at_s: float) -> None:
    """Record output of a request of this node, and report what it clears."""
    guard = state.crash_guard
    if guard.history.crashes or guard.blocks_by_keys:
        _apply_proof(state, keys, at_s, 'response', Audience.everyone)


def _apply_proof(
    state: NodeState,
    keys: frozenset[str],
    at_s: float,
    source: str,
    audience: Audience | None,
) -> list[str]:
    """Apply output of a request; return the keys that it clears."""
    now_s = read_cluster_time_s(state)
    history = state.crash_guard.history
    n_crashes_by_key = {
        key: count_crashes(history, key)
        for key in list_clearable(history, keys, at_s)
    }
    output = record_output_of(state.crash_guard, keys, at_s, now_s)
    _log_cleared(state, n_crashes_by_key, source)
    announce_blocks(state, output.lifted + output.blocks, source, audience)
    if audience is None:
        return output.proven_keys
    for key in output.proven_keys:
        state.crash_reports.by_output[key, at_s] = PendingReport(audience)
    return output.proven_keys


def _log_cleared(
    state: NodeState,
    n_crashes_by_key: Mapping[str, int],
    source: str,
) -> None:
    """Log the keys that output has cleared of several crashes."""
    cleared = {
        key: n_crashes
        for key, n_crashes in n_crashes_by_key.items()
        if n_crashes >= _MIN_LOGGED_CRASHES
    }
    if cleared:
        state.log.write(EventCode.suspect_cleared, keys=cleared, source=source)


def announce_blocks(
    state: NodeState,
    blocks: Iterable[CrashBlock],
    source: str,
    audience: Audience | None,
) -> None:
    """Log blocks that have begun, ended or are tested, and report them.

    Args:
        state: The node.
        blocks: Blocks that this node has changed.
        source: What has changed them, or the node that reported it.
        audience: Nodes that depend on this node to hear of it; None if they
            hear of it, or of what led to it, from the source.
    """
    for block in blocks:
        _log_block(state, block, source)
        if audience is not None:
            state.crash_reports.by_block[block.keys] = PendingReport(audience)
            state.request_gossip()


def _log_block(state: NodeState, block: CrashBlock, source: str) -> None:
    crashes = state.crash_guard.history.crashes
    state.log.write(
        EventCode.crash_block_changed,
        keys=sorted(block.keys),
        active=is_active(block),
        crash_age_s=round(read_cluster_time_s(state) - block.crash_s, 3),
        n_tests=block.n_tests,
        source=source,
        upstreams=[
            crash.upstream_id
            for crash in crashes
            if any(block.keys <= one.keys for one in crash.suspects)
        ][-_MAX_LOGGED:],
    )
