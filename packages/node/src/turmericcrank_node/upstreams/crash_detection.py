"""Tells whether a broken connection was a crash of its upstream.

It counts as a crash if the upstream accepts no further connections, if all
requests of this node there broke at once, or if the request is a suspect of
other crashes; otherwise it waits for evidence.
"""

from collections.abc import Iterable, Mapping

import trio
from turmericcrank_core.connection_breaks import (
    ConnectionBreak,
    add_break,
    has_ended_before,
    take_ended,
    take_repeated,
)
from turmericcrank_core.crash_blocks import judge_parts, weigh_suspects
from turmericcrank_core.crash_evidence import (
    CrashRecord,
    is_suspect_since,
)
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.upstream_registry import ListedUpstream

from turmericcrank_node.state.in_flight_attempt import (
    InFlightAttempt,
    list_suspects,
)
from turmericcrank_node.state.node_state import (
    NodeState,
    read_cluster_time_s,
)
from turmericcrank_node.upstreams.attempt import AttemptFault, FaultKind
from turmericcrank_node.upstreams.host_probe import HostStatus, probe_host
from turmericcrank_node.upstreams.poison_detection import (
    announce_blocks,
    publish_crash,
    record_crash,
)

__all__ = ('detect_crash', 'judge_crashes', 'log_no_crash')

_CRASH_STATUSES = frozenset((HostStatus.refuses, HostStatus.silent))
# The tasks of connections that broke at once run within this time.
_SAME_MOMENT_S = 0.05
_CHECK_INTERVAL_S = 0.01
_MAX_LOGGED_GROUPS = 4
_MAX_LOGGED_PARTS = 4
# Nodes hear within this time of output that clears a sound request.
_PROOF_WAIT_S = 1


async def detect_crash(
    state: NodeState,
    upstream: ListedUpstream,
    fault: AttemptFault,
    number: int,
    attempts_by_number: Mapping[int, InFlightAttempt],
) -> None:
    """Check whether a broken connection was a crash, and record it if so.

    Args:
        state: The node.
        upstream: Upstream whose connection broke.
        fault: Fault of the attempt.
        number: Number of the attempt whose connection broke.
        attempts_by_number: Attempts that were in flight there, by number.
    """
    attempt = attempts_by_number.get(number)
    if fault.kind is not FaultKind.unknown or attempt is None:
        return
    at_s = read_cluster_time_s(state)
    if fault.is_unresponsive:
        cause = 'unresponsive'
    else:
        attempt.is_broken = fault.is_broken_connection
        status = await probe_host(state, upstream)
        if status is HostStatus.takes and not attempt.is_broken:
            log_no_crash(
                state, upstream, fault, status.value, len(attempts_by_number)
            )
            return
        is_after_end = status is HostStatus.takes and has_ended_before(
            state.crash_guard.breaks,
            state.crash_guard.history.crashes,
            upstream.upstream_id,
            at_s,
        )
        if is_after_end:
            log_no_crash(
                state, upstream, fault, 'ended before', len(attempts_by_number)
            )
            return
        crashed = await _find_crashed(state, status, number, attempts_by_number)
        if crashed:
            record_crash(state, upstream.upstream_id, fault.reason, crashed)
            return
        cause = status.value
    log_no_crash(state, upstream, fault, cause, len(attempts_by_number))
    _keep_break(state, upstream, fault, attempt, at_s)


def judge_crashes(state: NodeState) -> None:
    """Judge breaks and the parts of prompts; call it in each gossip round.

    All nodes come to the same result on parts, so it is not reported at once.
    """
    now_s = read_cluster_time_s(state)
    ended = take_ended(state.crash_guard.breaks, state.upstream_registry, now_s)
    _record_breaks(state, ended, 'row changed')
    is_due = state.crash_guard.is_judgement_due
    blocks = judge_parts(state.crash_guard, now_s)
    announce_blocks(state, blocks, 'crash', audience=None)
    if is_due and not state.crash_guard.is_judgement_due:
        _log_weighed(state, now_s)


def _log_weighed(state: NodeState, now_s: float) -> None:
    """Log what was closest to being blamed once new crashes were judged."""
    weighed = weigh_suspects(state.crash_guard, now_s)[:_MAX_LOGGED_GROUPS]
    if weighed:
        state.log.write(
            EventCode.culprit_weighed,
            groups=[
                [
                    sorted(one.parts)[:_MAX_LOGGED_PARTS],
                    one.n_crashes,
                    one.n_needed,
                    one.n_requests,
                    one.has_answers,
                ]
                for one in weighed
            ],
        )


async def _find_crashed(
    state: NodeState,
    status: HostStatus,
    number: int,
    attempts_by_number: Mapping[int, InFlightAttempt],
) -> Mapping[str, InFlightAttempt]:
    """Return the requests that may have crashed the upstream; empty for no."""
    if status in _CRASH_STATUSES:
        return attempts_by_number
    if status is not HostStatus.takes:
        return {}
    if await _have_all_broken(attempts_by_number.values()):
        return attempts_by_number
    attempt = attempts_by_number[number]
    settled_s = read_cluster_time_s(state) - _PROOF_WAIT_S
    if is_suspect_since(
        state.crash_guard.history, attempt.suspect.keys, settled_s
    ):
        return {number: attempt}
    return {}


async def _have_all_broken(attempts: Iterable[InFlightAttempt]) -> bool:
    """Return whether several connections broke, and no other is open."""
    first, *others = attempts
    if not others:
        return False
    with trio.move_on_after(_SAME_MOMENT_S):
        while not all(one.is_broken for one in (first, *others)):
            await trio.sleep(_CHECK_INTERVAL_S)
    return all(one.is_broken for one in (first, *others))


def _keep_break(
    state: NodeState,
    upstream: ListedUpstream,
    fault: AttemptFault,
    attempt: InFlightAttempt,
    at_s: float,
) -> None:
    """Keep a break until there is evidence that it was a crash."""
    suspects = list_suspects((attempt,), at_s)
    registry = state.upstream_registry
    upstream_id = upstream.upstream_id
    for suspect in suspects:
        added = ConnectionBreak(
            upstream,
            at_s,
            attempt.request_id,
            suspect,
            is_unresponsive=fault.is_unresponsive,
            is_leaving=(
                upstream.is_draining
                or upstream_id not in registry.by_id
                or upstream_id in registry.missing_since_s_by_id
            ),
        )
        add_break(state.crash_guard.breaks, added)
        repeated = take_repeated(state.crash_guard.breaks, suspect)
        _record_breaks(state, repeated, 'repeated')


def _record_breaks(
    state: NodeState, breaks: Iterable[ConnectionBreak], reason: str
) -> None:
    for one in breaks:
        record = CrashRecord(
            one.upstream.upstream_id, one.at_s, frozenset((one.suspect,))
        )
        attempt = InFlightAttempt(
            one.suspect, one.request_id, has_begun=one.suspect.has_begun
        )
        publish_crash(state, record, reason, (attempt,))


def log_no_crash(
    state: NodeState,
    upstream: ListedUpstream,
    fault: AttemptFault,
    cause: str,
    n_requests: int,
) -> None:
    """Log why a broken connection does not count as a crash.

    Args:
        state: The node.
        upstream: Upstream whose connection broke.
        fault: Fault of the attempt.
        cause: Why it does not count.
        n_requests: Attempts of this node that were in flight there.
    """
    state.log.write(
        EventCode.crash_not_recorded,
        upstream=upstream.upstream_id,
        reason=fault.reason,
        cause=cause,
        n_requests=n_requests,
    )
