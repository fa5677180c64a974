"""Takes the requests of clients: finds route, team and upstreams."""

import trio
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.proofs import proof_age_s
from turmericcrank_core.retry_windows import note_first_attempt
from turmericcrank_core.routing import (
    CallKind,
    ForwardRoute,
    Team,
    choose_service,
    find_route,
    find_team,
)
from turmericcrank_core.version_choice import make_session_key

from turmericcrank_node.platform_port import Call
from turmericcrank_node.serving.client_connection import (
    ClientExchange,
    ClientRequest,
)
from turmericcrank_node.serving.plain_call import answer_plain_call
from turmericcrank_node.serving.stream_call import answer_stream_call
from turmericcrank_node.serving.work import (
    Work,
    find_retry_window,
    refuse,
)
from turmericcrank_node.state.node_state import NodeState, read_boot_s
from turmericcrank_node.upstreams.candidates import Need
from turmericcrank_node.upstreams.crash_watch import (
    is_banned,
    make_fingerprint,
)

__all__ = ('answer_request',)

_COME_BACK_S = 0.1


async def answer_request(
    state: NodeState, request: ClientRequest, exchange: ClientExchange
) -> None:
    """Answer one request of a client."""
    state.n_requests += 1
    call = state.platform.decode_call(request)
    try:
        await _route_request(state, call, exchange)
    except Exception as error:
        state.log.write(
            EventCode.internal_fault,
            request=call.request_id,
            detail=repr(error),
        )
        if not exchange.is_started:
            await refuse(state, exchange, ResultCode.internal, call.request_id)
    finally:
        state.n_requests -= 1


async def _route_request(
    state: NodeState, call: Call, exchange: ClientExchange
) -> None:
    if state.table is None or state.is_refusing:
        code = ResultCode.draining
        if state.table is None:
            code = ResultCode.no_tables
        await _send_elsewhere(state, exchange, code, call, 'this node')
        return
    route = find_route(state.table, call.host, call.path)
    if not state.is_proven and (route is None or not route.is_public):
        age_s = proof_age_s(state.configuration_proof, read_boot_s())
        reason = f'revision {state.table.revision}, proof {age_s:.1f} s old'
        await _send_elsewhere(state, exchange, ResultCode.cut_off, call, reason)
        return
    if route is None:
        await refuse(
            state,
            exchange,
            ResultCode.unknown_route,
            call.request_id,
            reason=f'revision {state.table.revision}: {call.host}{call.path}',
        )
        return
    team = find_team(state.table, route, call.api_key)
    if team is None:
        await refuse(
            state,
            exchange,
            ResultCode.bad_key,
            call.request_id,
            reason=f'revision {state.table.revision}, route {route.name}',
        )
        return
    await _answer(state, _make_work(state, call, route, team), exchange)


async def _send_elsewhere(
    state: NodeState,
    exchange: ClientExchange,
    code: ResultCode,
    call: Call,
    reason: str,
) -> None:
    """Refuse a request that another node may take at once."""
    await refuse(
        state,
        exchange,
        code,
        call.request_id,
        retry_after_s=_COME_BACK_S,
        reason=reason,
    )


def _make_work(
    state: NodeState, call: Call, route: ForwardRoute, team: Team
) -> Work:
    patience_s = route.timeout_s
    if call.patience_s is not None:
        patience_s = min(patience_s, call.patience_s)
    session = call.session or call.request_id
    service = choose_service(route, session)
    session_key = make_session_key(service, session)
    use = state.sessions.uses_by_key.get(session_key)
    need = Need(
        service,
        session_key,
        use.version if use and call.session else '',
        call.prefix,
    )
    return Work(
        call,
        route,
        team,
        need,
        call.request.arrived_s + patience_s,
        fingerprint=make_fingerprint(call, team.name),
    )


async def _answer(
    state: NodeState, work: Work, exchange: ClientExchange
) -> None:
    call = work.call
    state.log.write(
        EventCode.request_received,
        request=call.request_id,
        route=work.route.name,
        team=work.team.name,
        revision=state.table.revision if state.table else 0,
        service=work.need.service,
        session=call.session,
        session_version=work.need.session_version,
    )
    if is_banned(state, work.fingerprint):
        await refuse(
            state,
            exchange,
            ResultCode.crashes_upstreams,
            call.request_id,
            reason=f'fingerprint {work.fingerprint}',
        )
        return
    window = find_retry_window(state, work.need.service)
    note_first_attempt(window, read_boot_s())
    seconds = state.metrics.request_s
    try:
        if work.route.kind is CallKind.stream:
            await answer_stream_call(state, work, exchange)
        else:
            await answer_plain_call(state, work, exchange)
    except trio.Cancelled:
        state.log.write(
            EventCode.request_cancelled,
            request=call.request_id,
            sent=work.n_sent,
            departure=exchange.departure,
        )
        raise
    finally:
        seconds.labels(work.route.kind.value, exchange.status).observe(
            trio.current_time() - call.request.arrived_s
        )
