"""Finds requests that crash each upstream that runs them.

A connection that breaks counts as a crash only when the upstream takes no
connections any more. The requests that this node had there are suspects;
nodes tell each other of crashes, and a request that was the only suspect in
a second crash is not sent again.
"""

from collections.abc import Iterable

import xxhash
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.suspects import (
    CrashRecord,
    add_crash,
    clear_suspect,
    is_convicted,
    is_suspect,
)
from turmericcrank_core.upstream_rows import ListedUpstream

from turmericcrank_node.platform_port import Call
from turmericcrank_node.state.node_state import NodeState, read_boot_s
from turmericcrank_node.upstreams.attempt import (
    AttemptFault,
    FaultKind,
)
from turmericcrank_node.upstreams.host_probe import HostStatus, probe_host

__all__ = (
    'is_banned',
    'fingerprint_request',
    'note_crash_told',
    'clear_suspicion',
    'record_in_flight',
    'read_store_clock_s',
    'detect_crash',
)

_CRASH_STATUSES = frozenset((HostStatus.refuses, HostStatus.silent))


def fingerprint_request(call: Call, team: str) -> str:
    """Name a request by what it asks, not by its id, which is new each time."""
    digest = xxhash.xxh3_64()
    for part in (team.encode(), call.request.target, call.request.body):
        digest.update(b'%d:' % len(part))
        digest.update(part)
    return str(digest.hexdigest())


def read_store_clock_s(state: NodeState) -> float:
    """Read the store's steady clock, which all nodes share, in seconds."""
    return read_boot_s() + state.store_offset_s


def is_banned(state: NodeState, fingerprint: str) -> bool:
    """Tell whether a request must not be sent any more."""
    return bool(state.suspects.crashes) and is_convicted(
        state.suspects, fingerprint
    )


def record_in_flight(
    state: NodeState, upstream_id: str, request_id: str, fingerprint: str
) -> None:
    """Note that an upstream works on a request of this node."""
    in_flight_fingerprints = state.fingerprints_by_upstream.setdefault(upstream_id, {})
    in_flight_fingerprints[request_id] = fingerprint


def clear_suspicion(state: NodeState, fingerprint: str) -> None:
    """Note that an upstream has answered a request and lives."""
    if is_suspect(state.suspects, fingerprint):
        clear_suspect(state.suspects, fingerprint, read_store_clock_s(state))


async def detect_crash(
    state: NodeState,
    upstream: ListedUpstream,
    fault: AttemptFault,
    in_flight_fingerprints: frozenset[str],
) -> None:
    """Find out whether a broken connection was a crash, and note it.

    Args:
        state: The node.
        upstream: Where the connection broke.
        fault: How it broke.
        working: Fingerprints of the requests that were there then.
    """
    if fault.kind is not FaultKind.unknown or fault.is_unresponsive:
        return
    if await probe_host(state, upstream) not in _CRASH_STATUSES:
        return
    record = CrashRecord(upstream.upstream_id, read_store_clock_s(state), in_flight_fingerprints)
    add_crash(state.suspects, record)
    state.recent_crashes.append(record)
    state.log.write(
        EventCode.upstream_failed,
        upstream=upstream.upstream_id,
        reason=fault.reason,
        n_requests=len(in_flight_fingerprints),
    )
    state.want_news()


def note_crash_told(
    state: NodeState, upstream_id: str, at_s: float, in_flight_fingerprints: Iterable[str]
) -> bool:
    """Take a crash that another node has seen; tell whether it is new.

    It is passed on, unless all nodes are one cell and know it already.
    """
    record = CrashRecord(upstream_id, at_s, frozenset(in_flight_fingerprints))
    if record in state.recent_crashes:
        return False
    add_crash(state.suspects, record)
    if state.mesh.cell:
        state.recent_crashes.append(record)
    return True
