"""A request in flight: its attempts, retry budget and error responses."""

from dataclasses import dataclass

import trio
from turmericcrank_core.codes import CODES, ResultCode
from turmericcrank_core.crash_evidence import Suspect
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.routing import ForwardRoute, Team
from turmericcrank_core.upstream_health import record_outcome, start_ejection
from turmericcrank_core.upstream_limits import active_limit_per_s
from turmericcrank_core.upstream_registry import ListedUpstream
from turmericcrank_core.version_choice import record_session
from turmericcrank_core.version_health import is_first_token_slow

from turmericcrank_node.control.version_evidence import (
    record_version_response,
)
from turmericcrank_node.platform_port import DecodedRequest
from turmericcrank_node.serving.client_exchange import ClientExchange
from turmericcrank_node.state.in_flight_attempt import InFlightAttempt
from turmericcrank_node.state.node_state import NodeState, read_boottime_s
from turmericcrank_node.upstreams.attempt import (
    DEADLINE_MARGIN_S,
    AttemptFault,
    FaultKind,
)
from turmericcrank_node.upstreams.crash_block_checks import (
    is_blocked,
)
from turmericcrank_node.upstreams.crash_detection import (
    detect_crash,
    log_no_crash,
)
from turmericcrank_node.upstreams.poison_detection import record_in_flight
from turmericcrank_node.upstreams.request_limits import acquire_permit
from turmericcrank_node.upstreams.retry_permits import (
    acquire_retry,
    has_retry_budget,
)
from turmericcrank_node.upstreams.upstream_selection import (
    UpstreamRequirements,
    count_limited,
    find_rollout,
    select_upstream,
    shortest_retry_after_s,
)

__all__ = (
    'AttemptResult',
    'InFlightRequest',
    'acquire_attempt',
    'can_retry_now',
    'check_for_crash',
    'end_attempt',
    'has_attempts_left',
    'is_slow_response',
    'record_attempt_result',
    'reject_after_fault',
    'reject_request',
    'start_attempt',
    'time_left_s',
)
_MIN_RETRY_AFTER_S = 0.15
_RETRY_AFTER_JITTER_S = 0.1


@dataclass(slots=True)
class InFlightRequest:
    """State of a request that has been accepted and not yet answered.

    Attributes:
        call: Client request.
        route: Route that the request matches.
        team: Team of the client.
        requirements: Requirements on the upstream.
        deadline_s: Deadline of the response, on trio's clock.
        tried_ids: Ids of the upstreams that were tried.
        n_possible_runs: Attempts after which the request may have been
            executed.
        n_sent: Attempts that reached an upstream.
        suspect: What it is blamed by if it crashes an upstream.
        is_test: Whether its next attempt tests whether it still does.
        attempt_number: Number of its current attempt, or else the last one.
    """

    call: DecodedRequest
    route: ForwardRoute
    team: Team
    requirements: UpstreamRequirements
    deadline_s: float
    tried_ids: frozenset[str] = frozenset()
    n_possible_runs: int = 0
    n_sent: int = 0
    suspect: Suspect = Suspect('')
    is_test: bool = False
    attempt_number: int = 0


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """Result of one attempt.

    Attributes:
        fault: What failed; empty on success.
        is_slow: Whether the response was far slower than usual; None if
            unknown.
        is_unresponsive: Whether the upstream was not reached or stopped
            sending; it is then ejected for a while.
        is_error_response: Whether the upstream sent an error response. Only
            this counts against its version; a broken connection does not.
    """

    fault: str = ''
    is_slow: bool | None = None
    is_unresponsive: bool = False
    is_error_response: bool = False


def time_left_s(in_flight: InFlightRequest) -> float:
    """Return the time until the deadline of a request, in seconds."""
    return in_flight.deadline_s - trio.current_time()


def start_attempt(
    state: NodeState, in_flight: InFlightRequest
) -> ListedUpstream | None:
    """Select an upstream and register the request as in flight there.

    Returns:
        None if no untried upstream is available, or if the request is
        blocked, since it crashes upstreams.
    """
    if not in_flight.is_test and is_blocked(state, in_flight.suspect):
        return None
    upstream = select_upstream(
        state, in_flight.requirements, in_flight.tried_ids
    )
    if upstream is None:
        return None
    upstream_id = upstream.upstream_id
    acquire_permit(state, upstream_id)
    in_flight.tried_ids |= {upstream_id}
    in_flight.is_test = False
    call = in_flight.call
    in_flight.attempt_number = record_in_flight(
        state,
        upstream_id,
        InFlightAttempt(in_flight.suspect, call.request_id, call.shared_parts),
    )
    running = state.running_by_id
    running[upstream_id] = running.get(upstream_id, 0) + 1
    if in_flight.call.session:
        record_session(
            state.sessions,
            in_flight.requirements.session_key,
            upstream.version,
            read_boottime_s(),
        )
    state.log.write(
        EventCode.request_sent,
        request=in_flight.call.request_id,
        upstream=upstream_id,
        version=upstream.version,
        running=running[upstream_id],
        limit_per_s=active_limit_per_s(state.upstream_limits, upstream_id),
        attempt=in_flight.n_sent + 1,
        left_s=round(time_left_s(in_flight), 3),
    )
    return upstream


def end_attempt(
    state: NodeState, in_flight: InFlightRequest, upstream: ListedUpstream
) -> None:
    """Remove a finished attempt from the in-flight requests of its upstream."""
    upstream_id = upstream.upstream_id
    attempts = state.attempts_by_upstream[upstream_id]
    attempts.pop(in_flight.attempt_number)
    if not attempts:
        state.attempts_by_upstream.pop(upstream_id)
    state.running_by_id[upstream_id] -= 1
    if not state.running_by_id[upstream_id]:
        state.running_by_id.pop(upstream_id)
    if in_flight.call.session:
        record_session(
            state.sessions,
            in_flight.requirements.session_key,
            upstream.version,
            read_boottime_s(),
        )


def record_attempt_result(
    state: NodeState,
    in_flight: InFlightRequest,
    upstream: ListedUpstream,
    attempt_result: AttemptResult,
) -> None:
    """Record the result of an attempt for its upstream and its version."""
    now_s = read_boottime_s()
    upstream_id = upstream.upstream_id
    is_bad = bool(attempt_result.fault)
    # While this node is cut off, a failure may be that of its own links.
    may_blame = not state.upstream_path.is_cut_off
    if may_blame or not is_bad:
        record_outcome(state.upstream_health, upstream_id, is_bad, now_s)
    if may_blame and attempt_result.is_unresponsive:
        start_ejection(state.upstream_health, upstream_id, now_s)
    if is_bad:
        state.log.write(
            EventCode.attempt_failed,
            request=in_flight.call.request_id,
            upstream=upstream_id,
            version=upstream.version,
            reason=attempt_result.fault,
        )
    rollout = find_rollout(state, upstream.service)
    if rollout is None or rollout.phase.is_final:
        return
    if attempt_result.is_error_response or not is_bad:
        record_version_response(
            state,
            rollout.order,
            upstream,
            in_flight.route.name,
            attempt_result.is_error_response,
            attempt_result.is_slow,
        )


async def check_for_crash(
    state: NodeState,
    in_flight: InFlightRequest,
    upstream: ListedUpstream,
    outcome: object,
) -> None:
    """Check whether the upstream crashed during a failed attempt.

    After the deadline of the request nothing is checked.
    """
    if not isinstance(outcome, AttemptFault):
        return
    attempts = dict(state.attempts_by_upstream.get(upstream.upstream_id, {}))
    if time_left_s(in_flight) > 0:
        number = in_flight.attempt_number
        await detect_crash(state, upstream, outcome, number, attempts)
    elif outcome.kind is FaultKind.unknown:
        log_no_crash(state, upstream, outcome, 'deadline', len(attempts))


def is_slow_response(
    state: NodeState,
    upstream: ListedUpstream,
    quantity: str,
    measured_s: float,
    limit_s: float,
) -> bool:
    """Return whether a response took far longer than with other versions.

    Without another version it is compared with the earlier average of its
    own version.

    Args:
        state: The node.
        upstream: Upstream that responded.
        quantity: Name of the measured quantity, for example a route; times
            are compared only under the same name.
        measured_s: Measured time, in seconds.
        limit_s: Time up to which a response is never slow, in seconds.
    """
    prefix = f'{upstream.service}/{quantity}'
    known = state.versions.known_by_service.get(upstream.service, [])
    others = [
        f'{prefix}/{version}'
        for version in known
        if version != upstream.version
    ]
    own = f'{prefix}/{upstream.version}'
    return is_first_token_slow(
        state.first_token_latencies, own, others, measured_s, limit_s
    )


def has_attempts_left(in_flight: InFlightRequest) -> bool:
    """Return whether the route allows an attempt after the current one."""
    return in_flight.route.is_repeatable and (
        in_flight.n_possible_runs + 1 < in_flight.route.max_attempts
    )


def can_retry_now(state: NodeState, in_flight: InFlightRequest) -> bool:
    """Return whether a retry could start immediately.

    The route must allow another attempt, the retry budget must not be
    exhausted, and an untried upstream must be available.
    """
    if not has_attempts_left(in_flight) or is_blocked(state, in_flight.suspect):
        return False
    if not has_retry_budget(state, in_flight.requirements.service):
        return False
    return (
        select_upstream(state, in_flight.requirements, in_flight.tried_ids)
        is not None
    )


def acquire_attempt(
    state: NodeState, in_flight: InFlightRequest, n_earlier: int
) -> bool:
    """Return whether an attempt may start; a retry consumes retry budget.

    Args:
        state: The node.
        in_flight: The request.
        n_earlier: Number of earlier attempts; 0 for the first attempt.
    """
    if time_left_s(in_flight) <= DEADLINE_MARGIN_S:
        return False
    if n_earlier == 0:
        return True
    return acquire_retry(
        state,
        in_flight.requirements.service,
        in_flight.call.request_id,
        n_earlier + 1,
    )


async def reject_after_fault(
    state: NodeState,
    in_flight: InFlightRequest,
    exchange: ClientExchange,
    fault: AttemptFault,
) -> None:
    """Send the error response for a fault.

    Its result code states that the request was not executed, or that it may
    have been executed, with or without its deadline having passed.
    """
    code = ResultCode.upstream_failed
    retry_after_s = None
    n_limited = count_limited(state, in_flight.requirements.service)
    if fault.kind is not FaultKind.unknown:
        code = ResultCode.no_upstream
        jitter_s = state.random_source.random() * _RETRY_AFTER_JITTER_S
        wait_s = shortest_retry_after_s(state, in_flight.requirements.service)
        retry_after_s = max(_MIN_RETRY_AFTER_S, wait_s) + jitter_s
    elif time_left_s(in_flight) <= 0:
        code = ResultCode.deadline_passed
    await reject_request(
        state,
        exchange,
        code,
        in_flight.call.request_id,
        retry_after_s=retry_after_s,
        reason=f'{fault.reason}; {n_limited} at their request limit'
        if n_limited
        else fault.reason,
    )


async def reject_request(
    state: NodeState,
    exchange: ClientExchange,
    code: ResultCode,
    request_id: str,
    *,
    retry_after_s: float | None = None,
    reason: str = '',
) -> None:
    """Send the error response to a request and log the rejection."""
    definition = CODES[code]
    headers = [(b'x-result-code', str(int(code)).encode())]
    if retry_after_s is not None:
        headers.append((b'retry-after', f'{retry_after_s:.2f}'.encode()))
    state.log.write(
        EventCode.request_refused,
        request=request_id,
        code=int(code),
        status=definition.http_status,
        retry_after_s=retry_after_s,
        reason=reason,
        n_requests=state.n_requests,
    )
    await exchange.send_response(
        definition.http_status, headers, definition.text.encode()
    )
