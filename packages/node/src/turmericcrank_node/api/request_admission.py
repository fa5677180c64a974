"""Authenticates clients and decides whether a request is admitted."""

import contextlib
import hashlib
import uuid
from collections.abc import Iterator
from dataclasses import dataclass

import trio
from expression import Error, Ok, Result
from quart import request
from turmericcrank_core.admission import admit_request, release_request
from turmericcrank_core.codes import ResultCode
from turmericcrank_core.errors import Refusal
from turmericcrank_core.freshness import Freshness
from werkzeug.exceptions import RequestEntityTooLarge

from turmericcrank_node.state.node_context import NodeContext

__all__ = (
    'AdmissionPermit',
    'AuthenticatedClient',
    'acquire_permit',
    'authenticate_client',
    'authenticate_operator',
    'check_accepting_requests',
    'read_body',
    'track_background_work',
)

_BEARER = 'Bearer '
_RETRY_AFTER_S = 1


@dataclass(slots=True, frozen=True)
class AuthenticatedClient:
    """Authenticated client of one request, and the ids of this request.

    Attributes:
        team: Team that owns the API key.
        request_id: Id assigned to the request by this node.
        bill_id: Id of its bill; the same for every submission with the same
            idempotency key.
        idempotency_key: Key chosen by the client; empty for none.
    """

    team: str
    request_id: str
    bill_id: str
    idempotency_key: str


def authenticate_client(
    ctx: NodeContext,
) -> Result[AuthenticatedClient, Refusal]:
    """Identify the client and its team by the API key of the request."""
    team = ctx.settings.teams_by_key_hash.get(_hash_bearer_key())
    if team is None:
        return Error(Refusal(ResultCode.bad_key))
    key = request.headers.get('Idempotency-Key', '')
    request_id = uuid.uuid4().hex
    bill_id = f'{len(team)}:{team}:{key}' if key else request_id
    return Ok(AuthenticatedClient(team, request_id, bill_id, key))


def authenticate_operator(ctx: NodeContext) -> Result[str, Refusal]:
    """Identify the operator by the API key of the request."""
    operator = ctx.settings.operators_by_key_hash.get(_hash_bearer_key())
    if operator is None:
        return Error(Refusal(ResultCode.bad_key))
    return Ok(operator)


async def read_body(ctx: NodeContext) -> Result[bytes, Refusal]:
    """Read the whole body of the current request, bounded in size and time.

    After a body that was not read to its end the connection must be closed,
    since the unread rest would be parsed as the next request.
    """
    body = None
    try:
        with trio.move_on_after(ctx.settings.body_timeout_s):
            body = await request.get_data(cache=False)
    except RequestEntityTooLarge:
        detail = f'The limit is {ctx.settings.max_body_bytes} bytes.'
        return Error(Refusal(ResultCode.body_too_large, detail))
    if body is None:
        return Error(Refusal(ResultCode.body_timeout))
    return Ok(body)


def check_accepting_requests(ctx: NodeContext) -> Result[None, Refusal]:
    """Check whether this node accepts new requests at all."""
    if ctx.is_rejecting_requests:
        return Error(Refusal(ResultCode.draining, retry_after_s=_RETRY_AFTER_S))
    if ctx.revision.revision == 0:
        return Error(
            Refusal(ResultCode.no_tables, retry_after_s=_RETRY_AFTER_S)
        )
    if ctx.freshness() is Freshness.cut_off:
        return Error(Refusal(ResultCode.cut_off, retry_after_s=_RETRY_AFTER_S))
    return Ok(None)


@contextlib.contextmanager
def track_background_work(ctx: NodeContext) -> Iterator[None]:
    """Count work that may outlive its client, so that a drain waits for it."""
    ctx.n_running += 1
    try:
        yield
    finally:
        ctx.n_running -= 1


class AdmissionPermit:
    """Counts one admitted request against its team's concurrency limit.

    The permit is released once, by whichever ends the request: the handler
    or, for a stream, the task that relays it.
    """

    __slots__ = ('_ctx', '_is_held', '_team')

    def __init__(self, ctx: NodeContext, team: str) -> None:
        self._ctx = ctx
        self._team = team
        self._is_held = True
        ctx.n_running += 1

    def release(self) -> None:
        """Release the permit; further calls have no effect."""
        if self._is_held:
            self._is_held = False
            self._ctx.n_running -= 1
            release_request(self._ctx.admission, self._team)


def acquire_permit(
    ctx: NodeContext, team: str
) -> Result[AdmissionPermit, Refusal]:
    """Admit one request within the rate and concurrency limits of a team."""
    admitted = admit_request(
        ctx.admission,
        team,
        ctx.settings.limits_by_team[team],
        trio.current_time(),
    )
    return admitted.map(lambda _nothing: AdmissionPermit(ctx, team))


def _hash_bearer_key() -> str:
    header = request.headers.get('Authorization', '')
    key = header.removeprefix(_BEARER)
    return hashlib.sha256(key.encode()).hexdigest()
