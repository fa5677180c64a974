"""Tells whether a broken connection was a crash of its upstream.

It counts as a crash only if the upstream accepts no further connections.
"""

from collections.abc import Mapping

from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.upstream_registry import ListedUpstream

from turmericcrank_node.state.in_flight_attempt import InFlightAttempt
from turmericcrank_node.state.node_state import NodeState
from turmericcrank_node.upstreams.attempt import AttemptFault, FaultKind
from turmericcrank_node.upstreams.host_probe import HostStatus, probe_host
from turmericcrank_node.upstreams.poison_detection import record_crash

__all__ = ('detect_crash', 'log_no_crash')

_CRASH_STATUSES = frozenset((HostStatus.refuses, HostStatus.silent))


async def detect_crash(
    state: NodeState,
    upstream: ListedUpstream,
    fault: AttemptFault,
    attempts_by_request: Mapping[str, InFlightAttempt],
) -> None:
    """Check whether a broken connection was a crash, and record it if so.

    Args:
        state: The node.
        upstream: Upstream whose connection broke.
        fault: Fault of the attempt.
        attempts_by_request: Attempts that were in flight there, by request.
    """
    if fault.kind is not FaultKind.unknown:
        return
    if fault.is_unresponsive:
        cause = 'unresponsive'
    else:
        status = await probe_host(state, upstream)
        if status in _CRASH_STATUSES:
            record_crash(
                state, upstream.upstream_id, fault.reason, attempts_by_request
            )
            return
        cause = status.value
    log_no_crash(state, upstream, fault, cause, len(attempts_by_request))


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
