"""Resolves access, session, version and tier of one model request."""

import secrets
import time
from dataclasses import dataclass

import trio
from expression import Error, Ok, Result
from turmericcrank_core.admission import AdmissionRank, plan_request_rank
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.crash_evidence import Suspect
from turmericcrank_core.errors import Refusal
from turmericcrank_core.requests import (
    ModelRequest,
    RouteMatch,
    find_route,
    fingerprint_parts,
    fingerprint_request,
    list_allowed_pools,
)
from turmericcrank_core.sessions import SessionToken, check_session
from turmericcrank_core.tables import Route, RouteKind

from turmericcrank_node.api.dispatch import DispatchRequest
from turmericcrank_node.api.model_calls import ModelCall
from turmericcrank_node.api.request_admission import AuthenticatedClient
from turmericcrank_node.control.crash_replication import is_blocked, take_test
from turmericcrank_node.control.ratings import TierChoice, choose_tier
from turmericcrank_node.state.node_context import NodeContext

__all__ = ('PlannedCall', 'plan_call')

_NEW_SESSION = 'new'
_SESSION_ID_BYTES = 8


@dataclass(slots=True, frozen=True)
class PlannedCall:
    """A permitted request and the tier that handles it first."""

    call: ModelCall
    chosen: TierChoice


def plan_call(
    ctx: NodeContext,
    client: AuthenticatedClient,
    request: ModelRequest,
    session_header: str,
) -> Result[PlannedCall, Refusal]:
    """Plan one request with the current tables.

    Args:
        ctx: The node.
        client: Client that sent the request.
        request: The validated body.
        session_header: Signed session token; ``new`` starts a session, empty
            for none.
    """
    suspect = Suspect(
        fingerprint_request(client.team, request), fingerprint_parts(request)
    )
    if is_blocked(ctx, suspect) and not take_test(ctx, suspect):
        return Error(Refusal(ResultCode.poisoned))
    found = find_route(ctx.revision.tables, request.model, client.team)
    if found.is_error():
        return Error(found.error)
    match = found.ok
    if match.route.kind not in {RouteKind.model, RouteKind.long_draft}:
        return Error(
            Refusal(ResultCode.bad_field, 'model: this route is a service.')
        )
    binding = _resolve_binding(ctx, client, match, session_header)
    if binding.is_error():
        return Error(binding.error)
    chosen = _choose_tier_for(ctx, client, request, match.route, binding.ok)
    if chosen.is_error():
        return Error(chosen.error)
    session_token = binding.ok.session_token
    if session_header == _NEW_SESSION:
        session_token = _start_session(client, match, chosen.ok)
    rank = plan_request_rank(ctx.admission, client.team, match.route.priority)
    call = _make_call(client, request, match, session_token, rank, suspect)
    return Ok(PlannedCall(call, chosen.ok))


@dataclass(slots=True, frozen=True)
class _VersionBinding:
    """Model version and session that a request is bound to.

    Attributes:
        model_version: The only version it may run on; None for any.
        session_token: State of the session it continues; None without one.
    """

    model_version: str | None
    session_token: SessionToken | None = None


def _choose_tier_for(
    ctx: NodeContext,
    client: AuthenticatedClient,
    request: ModelRequest,
    route: Route,
    binding: _VersionBinding,
) -> Result[TierChoice, Refusal]:
    allowed = list_allowed_pools(
        ctx.revision.tables,
        route,
        binding.model_version,
        in_session=binding.session_token is not None,
    )
    if allowed.is_error():
        return Error(allowed.error)
    if binding.model_version is not None:
        return Ok(TierChoice(allowed.ok[0]))
    return Ok(choose_tier(ctx, route, allowed.ok, request, client.team))


def _resolve_binding(
    ctx: NodeContext,
    client: AuthenticatedClient,
    match: RouteMatch,
    session_header: str,
) -> Result[_VersionBinding, Refusal]:
    """Return the version that the client or its session requires."""
    if not session_header or session_header == _NEW_SESSION:
        return Ok(_VersionBinding(match.model_version))
    session_token = ctx.signer.read(session_header)
    checked = check_session(
        session_token,
        client.team,
        match.route,
        ctx.revision.tables,
        time.time(),
    )
    if checked.is_ok() and match.model_version not in {None, checked.ok}:
        detail = f'The session keeps {checked.ok}.'
        return Error(Refusal(ResultCode.bad_session, detail))
    return checked.map(lambda version: _VersionBinding(version, session_token))


def _start_session(
    client: AuthenticatedClient, match: RouteMatch, chosen: TierChoice
) -> SessionToken | None:
    if not match.route.session_max_s:
        return None
    return SessionToken(
        secrets.token_hex(_SESSION_ID_BYTES),
        client.team,
        match.route.name,
        chosen.pool.model_version,
        time.time() + match.route.session_max_s,
    )


def _make_call(
    client: AuthenticatedClient,
    request: ModelRequest,
    match: RouteMatch,
    session_token: SessionToken | None,
    rank: AdmissionRank,
    suspect: Suspect,
) -> ModelCall:
    route = match.route
    dispatch_request = DispatchRequest(
        client.request_id,
        suspect,
        request.prefix_key,
        session_token.recent_upstream_ids if session_token else (),
        client.team,
        rank,
    )
    return ModelCall(
        client.request_id,
        client.bill_id,
        client.team,
        route,
        request,
        dispatch_request,
        trio.current_time() + route.deadline_s,
        session_token,
    )
