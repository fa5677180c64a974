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
    shortest_deferral_s,
)
from turmericcrank_node.upstreams.crash_watch import (
    is_banned,
    note_survived,
    note_worked_on,
    watch_for_crash,
)

__all__ = (
    'Verdict',
    'Work',
    'begin_attempt',
    'end_attempt',
    'find_retry_window',
    'is_slow_answer',
    'judge_attempt',
    'look_after_fault',
    'may_follow',
    'may_retry',
    'may_retry_now',
    'may_send',
    'refuse',
    'refuse_fault',
    'time_left_s',
)
_COME_BACK_S = 0.15
_COME_BACK_SPREAD_S = 0.1


@dataclass(slots=True)
class Work:
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
    ends_s: float
    tried: frozenset[str] = frozenset()
    n_runs: int = 0
    n_sent: int = 0
    fingerprint: str = ''


@dataclass(slots=True, frozen=True)
class Verdict:
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
    is_silent: bool = False
    is_own_failure: bool = False


def time_left_s(work: Work) -> float:
    """Give the time until the client must have its answer, in seconds."""
    return work.ends_s - trio.current_time()


def begin_attempt(state: NodeState, work: Work) -> ListedUpstream | None:
    """Choose an upstream and count the request there; None without one."""
    if is_banned(state, work.fingerprint):
        return None
    upstream = choose(state, work.need, work.tried)
    if upstream is None:
        return None
    upstream_id = upstream.upstream_id
    work.tried |= {upstream_id}
    note_worked_on(state, upstream_id, work.call.request_id, work.fingerprint)
    running = state.running_by_id
    running[upstream_id] = running.get(upstream_id, 0) + 1
    if work.call.session:
        note_session(
            state.sessions,
            work.need.session_key,
            upstream.version,
            read_boot_s(),
        )
    state.log.write(
        EventCode.request_sent,
        request=work.call.request_id,
        upstream=upstream_id,
        version=upstream.version,
        running=running[upstream_id],
        attempt=work.n_sent + 1,
        left_s=round(time_left_s(work), 3),
    )
    return upstream


def end_attempt(state: NodeState, work: Work, upstream: ListedUpstream) -> None:
    """Count a request that is no longer at an upstream."""
    upstream_id = upstream.upstream_id
    working = state.fingerprints_by_upstream[upstream_id]
    working.pop(work.call.request_id, None)
    if not working:
        state.fingerprints_by_upstream.pop(upstream_id)
    state.running_by_id[upstream_id] -= 1
    if not state.running_by_id[upstream_id]:
        state.running_by_id.pop(upstream_id)
    if work.call.session:
        note_session(
            state.sessions,
            work.need.session_key,
            upstream.version,
            read_boot_s(),
        )


def judge_attempt(
    state: NodeState, work: Work, upstream: ListedUpstream, verdict: Verdict
) -> None:
    """Count how an attempt went, for its upstream and for its version."""
    now_s = read_boot_s()
    upstream_id = upstream.upstream_id
    is_bad = bool(verdict.fault)
    note_outcome(state.outcomes, upstream_id, is_bad, now_s)
    if verdict.is_silent:
        rest_upstream(state.outcomes, upstream_id, now_s)
    if is_bad:
        state.log.write(
            EventCode.attempt_failed,
            request=work.call.request_id,
            upstream=upstream_id,
            version=upstream.version,
            reason=verdict.fault,
        )
    else:
        note_survived(state, work.fingerprint)
    rollout = find_rollout(state, upstream.service)
    if rollout is None or rollout.phase.is_final:
        return
    if verdict.is_own_failure or not is_bad:
        note_version_answer(
            state,
            rollout.order,
            upstream,
            work.route.name,
            verdict.is_own_failure,
            verdict.is_slow,
        )


async def look_after_fault(
    state: NodeState,
    work: Work,
    upstream: ListedUpstream,
    outcome: object,
) -> None:
    """Find out whether a failed attempt has ended its upstream."""
    if isinstance(outcome, AttemptFault) and time_left_s(work) > 0:
        working = state.fingerprints_by_upstream.get(upstream.upstream_id, {})
        await watch_for_crash(
            state, upstream, outcome, frozenset(working.values())
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


def may_follow(work: Work) -> bool:
    """Tell whether another attempt may follow the current one."""
    return work.route.is_repeatable and (
        work.n_runs + 1 < work.route.max_attempts
    )


def may_retry_now(state: NodeState, work: Work) -> bool:
    """Tell whether another attempt would follow the current one at once.

    That takes an attempt of the route, a retry of the site and an upstream.
    """
    if not may_follow(work) or is_banned(state, work.fingerprint):
        return False
    if not may_retry(state, work.need.service):
        return False
    return choose(state, work.need, work.tried) is not None


def may_send(state: NodeState, work: Work, n_before: int) -> bool:
    """Tell whether one more attempt may start; a repeat costs a retry.

    Args:
        state: The node.
        work: The request.
        n_before: Attempts that were made before.
    """
    if time_left_s(work) <= 0:
        return False
    if n_before == 0:
        return True
    if not may_retry(state, work.need.service):
        return False
    note_retry(find_retry_window(state, work.need.service), read_boot_s())
    return True


def may_retry(state: NodeState, service: str, n_spared: int = 0) -> bool:
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
    return count_retries_left(window, limits, now_s) >= 1 + n_spared


def find_retry_window(state: NodeState, service: str) -> RetryWindow:
    """Find the attempts of the last seconds at a service."""
    return state.retries_by_service.setdefault(service, RetryWindow())


async def refuse_fault(
    state: NodeState,
    work: Work,
    exchange: ClientExchange,
    fault: AttemptFault,
) -> None:
    """Say what is known of a request: not run, too late, or unknown."""
    code = ResultCode.upstream_failed
    retry_after_s = None
    if fault.kind is not FaultKind.unknown:
        code = ResultCode.no_upstream
        spread_s = state.random_source.random() * _COME_BACK_SPREAD_S
        wait_s = shortest_deferral_s(state, work.need.service)
        retry_after_s = max(_COME_BACK_S, wait_s) + spread_s
    elif time_left_s(work) <= 0:
        code = ResultCode.deadline_passed
    await refuse(
        state,
        exchange,
        code,
        work.call.request_id,
        retry_after_s=retry_after_s,
        reason=fault.reason,
    )


async def refuse(
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
