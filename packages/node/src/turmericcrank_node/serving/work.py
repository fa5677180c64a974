"""A request that was accepted, and what the node owes for it."""

from dataclasses import dataclass

import trio
from turmericcrank_core.codes import CODES, ResultCode
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.exposure import judge_speed
from turmericcrank_core.membership import iter_heard
from turmericcrank_core.outcomes import note_outcome, rest_upstream
from turmericcrank_core.retry_windows import (
    RetryLimits,
    RetryWindow,
    count_retries_left,
    note_retry,
)
from turmericcrank_core.routing import ForwardRoute, Team
from turmericcrank_core.upstream_rows import ListedUpstream
from turmericcrank_core.version_choice import note_session

from turmericcrank_node.control.version_evidence import (
    note_version_answer,
)
from turmericcrank_node.platform_port import Call
from turmericcrank_node.serving.client_connection import ClientExchange
from turmericcrank_node.state.node_state import NodeState, read_boot_s
from turmericcrank_node.upstreams.attempt import AttemptFault, FaultKind
from turmericcrank_node.upstreams.candidates import (
    Need,
    choose,
    find_rollout,
    shortest_retry_after_s,
)
from turmericcrank_node.upstreams.crash_watch import (
    is_banned,
    clear_suspicion,
    record_in_flight,
    detect_crash,
)

__all__ = (
    'AttemptResult',
    'InFlightRequest',
    'start_attempt',
    'end_attempt',
    'find_retry_window',
    'is_slow_answer',
    'record_attempt_result',
    'check_for_crash',
    'has_attempts_left',
    'has_retry_budget',
    'can_retry_now',
    'acquire_attempt',
    'reject_request',
    'reject_after_fault',
    'time_left_s',
)
_RETRY_AFTER_S = 0.15
_RETRY_AFTER_JITTER_S = 0.1


@dataclass(slots=True)
class InFlightRequest:
    """One request on its way.

    Attributes:
        call: The client's request.
        route: Its route.
        team: Its team.
        need: What it needs of an upstream.
        ends_s: When the client must have its answer, on trio's clock.
        tried: Upstreams that were tried.
        n_runs: Attempts that may have run.
        n_sent: Attempts that reached an upstream.
        fingerprint: What the request asks, the same each time it comes.
    """

    call: Call
    route: ForwardRoute
    team: Team
    need: Need
    deadline_s: float
    tried_ids: frozenset[str] = frozenset()
    n_possible_runs: int = 0
    n_sent: int = 0
    fingerprint: str = ''


@dataclass(slots=True, frozen=True)
class AttemptResult:
    """How one attempt went.

    Attributes:
        fault: What went wrong; empty when nothing did.
        is_slow: Whether it came far slower than usual; None if unknown.
        is_silent: Whether the upstream did not speak at all; then it rests,
            and its version is not blamed.
        is_own_failure: Whether the fault is a whole failure of its own; a
            broken connection says nothing of a version.
    """

    fault: str = ''
    is_slow: bool | None = None
    is_unresponsive: bool = False
    is_error_response: bool = False


def time_left_s(in_flight: InFlightRequest) -> float:
    """Give the time until the client must have its answer, in seconds."""
    return in_flight.deadline_s - trio.current_time()


def start_attempt(state: NodeState, in_flight: InFlightRequest) -> ListedUpstream | None:
    """Choose an upstream and count the request there; None without one."""
    if is_banned(state, in_flight.fingerprint):
        return None
    upstream = choose(state, in_flight.need, in_flight.tried_ids)
    if upstream is None:
        return None
    upstream_id = upstream.upstream_id
    in_flight.tried_ids |= {upstream_id}
    record_in_flight(state, upstream_id, in_flight.call.request_id, in_flight.fingerprint)
    running = state.running_by_id
    running[upstream_id] = running.get(upstream_id, 0) + 1
    if in_flight.call.session:
        note_session(
            state.sessions,
            in_flight.need.session_key,
            upstream.version,
            read_boot_s(),
        )
    state.log.write(
        EventCode.request_sent,
        request=in_flight.call.request_id,
        upstream=upstream_id,
        version=upstream.version,
        running=running[upstream_id],
        attempt=in_flight.n_sent + 1,
        left_s=round(time_left_s(in_flight), 3),
    )
    return upstream


def end_attempt(state: NodeState, in_flight: InFlightRequest, upstream: ListedUpstream) -> None:
    """Count a request that is no longer at an upstream."""
    upstream_id = upstream.upstream_id
    in_flight_fingerprints = state.fingerprints_by_upstream[upstream_id]
    in_flight_fingerprints.pop(in_flight.call.request_id, None)
    if not in_flight_fingerprints:
        state.fingerprints_by_upstream.pop(upstream_id)
    state.running_by_id[upstream_id] -= 1
    if not state.running_by_id[upstream_id]:
        state.running_by_id.pop(upstream_id)
    if in_flight.call.session:
        note_session(
            state.sessions,
            in_flight.need.session_key,
            upstream.version,
            read_boot_s(),
        )


def record_attempt_result(
    state: NodeState, in_flight: InFlightRequest, upstream: ListedUpstream, result: AttemptResult
) -> None:
    """Count how an attempt went, for its upstream and for its version."""
    now_s = read_boot_s()
    upstream_id = upstream.upstream_id
    is_bad = bool(result.fault)
    note_outcome(state.outcomes, upstream_id, is_bad, now_s)
    if result.is_unresponsive:
        rest_upstream(state.outcomes, upstream_id, now_s)
    if is_bad:
        state.log.write(
            EventCode.attempt_failed,
            request=in_flight.call.request_id,
            upstream=upstream_id,
            version=upstream.version,
            reason=result.fault,
        )
    else:
        clear_suspicion(state, in_flight.fingerprint)
    rollout = find_rollout(state, upstream.service)
    if rollout is None or rollout.phase.is_final:
        return
    if result.is_error_response or not is_bad:
        note_version_answer(
            state,
            rollout.order,
            upstream,
            in_flight.route.name,
            result.is_error_response,
            result.is_slow,
        )


async def check_for_crash(
    state: NodeState,
    in_flight: InFlightRequest,
    upstream: ListedUpstream,
    outcome: object,
) -> None:
    """Find out whether a failed attempt has ended its upstream."""
    if isinstance(outcome, AttemptFault) and time_left_s(in_flight) > 0:
        in_flight_fingerprints = state.fingerprints_by_upstream.get(upstream.upstream_id, {})
        await detect_crash(
            state, upstream, outcome, frozenset(in_flight_fingerprints.values())
        )


def is_slow_answer(
    state: NodeState,
    upstream: ListedUpstream,
    measure: str,
    needed_s: float,
    limit_s: float,
) -> bool:
    """Tell whether an answer took far longer than other versions need.

    Args:
        state: The node.
        upstream: Where it ran.
        measure: What was measured, so that like is compared with like.
        needed_s: What it took, in seconds.
        limit_s: Time that is fast enough in any case, in seconds.
    """
    prefix = f'{upstream.service}/{measure}'
    known = state.versions.known_by_service.get(upstream.service, [])
    others = [
        f'{prefix}/{version}'
        for version in known
        if version != upstream.version
    ]
    own = f'{prefix}/{upstream.version}'
    return judge_speed(state.speeds, own, others, needed_s, limit_s)


def has_attempts_left(in_flight: InFlightRequest) -> bool:
    """Tell whether another attempt may follow the current one."""
    return in_flight.route.is_repeatable and (
        in_flight.n_possible_runs + 1 < in_flight.route.max_attempts
    )


def can_retry_now(state: NodeState, in_flight: InFlightRequest) -> bool:
    """Tell whether another attempt would follow the current one at once.

    That takes an attempt of the route, a retry of the site and an upstream.
    """
    if not has_attempts_left(in_flight) or is_banned(state, in_flight.fingerprint):
        return False
    if not has_retry_budget(state, in_flight.need.service):
        return False
    return choose(state, in_flight.need, in_flight.tried_ids) is not None


def acquire_attempt(state: NodeState, in_flight: InFlightRequest, n_earlier: int) -> bool:
    """Tell whether one more attempt may start; a repeat costs a retry.

    Args:
        state: The node.
        work: The request.
        n_before: Attempts that were made before.
    """
    if time_left_s(in_flight) <= 0:
        return False
    if n_earlier == 0:
        return True
    if not has_retry_budget(state, in_flight.need.service):
        return False
    note_retry(find_retry_window(state, in_flight.need.service), read_boot_s())
    return True


def has_retry_budget(state: NodeState, service: str, n_reserved: int = 0) -> bool:
    """Tell whether a retry may start, and how many more after it.

    The retries that the site allows beyond its first attempts are shared by
    the nodes that hear each other; a node alone still has one.

    Args:
        state: The node.
        service: Service that gets the retry.
        n_spared: Retries that must be left after it.
    """
    now_s = read_boot_s()
    bounds = state.settings.bounds
    n_nodes = 1 + sum(1 for _ in iter_heard(state.members, now_s))
    limits = RetryLimits(
        bounds.retry_ratio,
        max(1, bounds.retry_slack / n_nodes),
        bounds.retry_window_s,
    )
    window = find_retry_window(state, service)
    return count_retries_left(window, limits, now_s) >= 1 + n_reserved


def find_retry_window(state: NodeState, service: str) -> RetryWindow:
    """Find the attempts of the last seconds at a service."""
    return state.retries_by_service.setdefault(service, RetryWindow())


async def reject_after_fault(
    state: NodeState,
    in_flight: InFlightRequest,
    exchange: ClientExchange,
    fault: AttemptFault,
) -> None:
    """Say what is known of a request: not run, too late, or unknown."""
    code = ResultCode.upstream_failed
    retry_after_s = None
    if fault.kind is not FaultKind.unknown:
        code = ResultCode.no_upstream
        spread_s = state.random_source.random() * _RETRY_AFTER_JITTER_S
        wait_s = shortest_retry_after_s(state, in_flight.need.service)
        retry_after_s = max(_RETRY_AFTER_S, wait_s) + spread_s
    elif time_left_s(in_flight) <= 0:
        code = ResultCode.deadline_passed
    await reject_request(
        state,
        exchange,
        code,
        in_flight.call.request_id,
        retry_after_s=retry_after_s,
        reason=fault.reason,
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
    """Give the final answer of a request that is not served."""
    told = CODES[code]
    headers = [(b'x-result-code', str(int(code)).encode())]
    if retry_after_s is not None:
        headers.append((b'retry-after', f'{retry_after_s:.2f}'.encode()))
    state.log.write(
        EventCode.request_refused,
        request=request_id,
        code=int(code),
        status=told.http_status,
        retry_after_s=retry_after_s,
        reason=reason,
        n_requests=state.n_requests,
    )
    await exchange.answer(told.http_status, headers, told.text.encode())
