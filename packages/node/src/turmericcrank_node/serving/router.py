"""Authenticates and routes client requests."""

import trio
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.retry_windows import record_first_attempt
from turmericcrank_core.routing import (
    CallKind,
    ForwardRoute,
    Team,
    choose_service,
    find_route,
    find_team,
)
from turmericcrank_core.table_staleness import staleness_s
from turmericcrank_core.version_choice import make_session_key

from turmericcrank_node.platform_port import DecodedRequest
from turmericcrank_node.serving.client_exchange import ClientExchange
from turmericcrank_node.serving.connection_state import ClientRequest
from turmericcrank_node.serving.in_flight_request import (
    InFlightRequest,
    reject_request,
)
from turmericcrank_node.serving.stream_call import handle_stream_call
from turmericcrank_node.serving.unary_call import handle_unary_call
from turmericcrank_node.state.node_state import NodeState, read_boottime_s
from turmericcrank_node.upstreams.crash_block_checks import (
    block_moved_parts,
    find_blocked_part,
    is_blocked,
    plan_block_wait_s,
    take_test,
)
from turmericcrank_node.upstreams.poison_detection import (
    fingerprint_request,
    make_suspect,
)
from turmericcrank_node.upstreams.retry_permits import find_retry_window
from turmericcrank_node.upstreams.upstream_selection import UpstreamRequirements

__all__ = ('handle_request', 'reject_body')

_RETRY_AFTER_S = 0.1
_MIN_BLOCK_WAIT_S = 5
# Time in which some of the bodies that fill the memory are done with.
_MEMORY_RETRY_AFTER_S = 0.5


async def handle_request(
    state: NodeState, request: ClientRequest, exchange: ClientExchange
) -> None:
    """Handle one client request; an internal error gets a response too."""
    state.n_requests += 1
    call = state.platform.decode_request(request)
    try:
        await _route_until_stopped(state, call, exchange)
    except Exception as error:
        state.log.write(
            EventCode.internal_fault,
            request=call.request_id,
            detail=repr(error),
        )
        if not exchange.is_started:
            await reject_request(
                state, exchange, ResultCode.internal, call.request_id
            )
    finally:
        state.n_requests -= 1


async def _route_until_stopped(
    state: NodeState, call: DecodedRequest, exchange: ClientExchange
) -> None:
    """Route a request; answer it if the node stops before."""
    scope = trio.CancelScope()
    with scope:
        state.request_scopes.add(scope)
        try:
            await _route_request(state, call, exchange)
        finally:
            state.request_scopes.discard(scope)
    if scope.cancelled_caught and not exchange.is_started:
        await reject_request(
            state, exchange, ResultCode.node_stopped, call.request_id
        )


async def reject_body(
    state: NodeState, request: ClientRequest, exchange: ClientExchange
) -> None:
    """Reject a request whose body finds no room, before it is read."""
    call = state.platform.decode_request(request)
    budget = state.body_budget
    await reject_request(
        state,
        exchange,
        ResultCode.memory_full,
        call.request_id,
        retry_after_s=_MEMORY_RETRY_AFTER_S,
        reason=f'bodies take {budget.reserved_bytes} of {budget.max_bytes} B',
    )


async def _route_request(
    state: NodeState, call: DecodedRequest, exchange: ClientExchange
) -> None:
    if state.table is None or state.is_rejecting_requests:
        code = ResultCode.draining
        if state.table is None:
            code = ResultCode.no_tables
        await _reject_for_other_node(
            state, exchange, code, call, 'node is draining or has no tables'
        )
        return
    route = find_route(state.table, call.host, call.path)
    if not state.is_configuration_current and (
        route is None or not route.is_public
    ):
        age_s = staleness_s(state.configuration_staleness, read_boottime_s())
        reason = f'revision {state.table.revision}, staleness {age_s:.1f} s'
        await _reject_for_other_node(
            state, exchange, ResultCode.cut_off, call, reason
        )
        return
    if route is None:
        await reject_request(
            state,
            exchange,
            ResultCode.unknown_route,
            call.request_id,
            reason=f'revision {state.table.revision}: {call.host}{call.path}',
        )
        return
    team = find_team(state.table, route, call.api_key)
    if team is None:
        await reject_request(
            state,
            exchange,
            ResultCode.bad_key,
            call.request_id,
            reason=f'revision {state.table.revision}, route {route.name}',
        )
        return
    await _dispatch_request(
        state, _make_in_flight_request(state, call, route, team), exchange
    )


async def _reject_for_other_node(
    state: NodeState,
    exchange: ClientExchange,
    code: ResultCode,
    call: DecodedRequest,
    reason: str,
) -> None:
    """Reject a request that another node may accept immediately."""
    await reject_request(
        state,
        exchange,
        code,
        call.request_id,
        retry_after_s=_RETRY_AFTER_S,
        reason=reason,
    )


def _make_in_flight_request(
    state: NodeState, call: DecodedRequest, route: ForwardRoute, team: Team
) -> InFlightRequest:
    timeout_s = route.timeout_s
    if call.client_timeout_s is not None:
        timeout_s = min(timeout_s, call.client_timeout_s)
    session = call.session or call.request_id
    service = choose_service(route, session)
    session_key = make_session_key(service, session)
    use = state.sessions.uses_by_key.get(session_key)
    requirements = UpstreamRequirements(
        service,
        session_key,
        use.version if use and call.session else '',
        call.prefix,
    )
    return InFlightRequest(
        call,
        route,
        team,
        requirements,
        call.request.arrived_s + timeout_s,
        suspect=make_suspect(
            service, fingerprint_request(call, team.name), call.shared_parts
        ),
    )


async def _reject_blocked(
    state: NodeState, in_flight: InFlightRequest, exchange: ClientExchange
) -> None:
    """Reject a request that crashes upstreams, which was not sent."""
    call = in_flight.call
    blocked_part = find_blocked_part(
        state,
        in_flight.suspect,
        in_flight.requirements.service,
        call.shared_parts,
    )
    if blocked_part:
        code = ResultCode.part_blocked
        reason = f'prompt part {blocked_part}'
        wait_s = max(
            _MIN_BLOCK_WAIT_S, plan_block_wait_s(state, in_flight.suspect)
        )
    else:
        code = ResultCode.crashes_upstreams
        reason = f'fingerprint {in_flight.suspect.fingerprint}'
        wait_s = None
    await reject_request(
        state,
        exchange,
        code,
        call.request_id,
        retry_after_s=wait_s,
        reason=reason,
    )


async def _dispatch_request(
    state: NodeState, in_flight: InFlightRequest, exchange: ClientExchange
) -> None:
    call = in_flight.call
    state.log.write(
        EventCode.request_received,
        request=call.request_id,
        route=in_flight.route.name,
        team=in_flight.team.name,
        revision=state.table.revision if state.table else 0,
        service=in_flight.requirements.service,
        session=call.session,
        parts=list(call.shared_parts),
        session_version=in_flight.requirements.session_version,
    )
    block_moved_parts(state, in_flight.requirements.service, call.shared_parts)
    if is_blocked(state, in_flight.suspect):
        in_flight.is_test = take_test(state, in_flight.suspect)
        if not in_flight.is_test:
            await _reject_blocked(state, in_flight, exchange)
            return
    window = find_retry_window(state, in_flight.requirements.service)
    record_first_attempt(window, read_boottime_s())
    seconds = state.metrics.request_s
    try:
        if in_flight.route.kind is CallKind.stream:
            await handle_stream_call(state, in_flight, exchange)
        else:
            await handle_unary_call(state, in_flight, exchange)
    except trio.Cancelled:
        state.log.write(
            EventCode.request_cancelled,
            request=call.request_id,
            sent=in_flight.n_sent,
            departure=exchange.disconnect_reason,
        )
        raise
    finally:
        seconds.labels(in_flight.route.kind.value, exchange.status).observe(
            trio.current_time() - call.request.arrived_s
        )
