"""Signed session tokens, which need no server-side session state.

A token (called session mark in the API) carries the model version to which the
session is pinned, so the session survives the loss of any node. The token
is signed with the site's session keys, names its team and route, and has an
expiry time.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from expression import Error, Ok, Result
from itsdangerous import BadData, URLSafeSerializer

from turmericcrank_core.codes import ResultCode
from turmericcrank_core.errors import Refusal
from turmericcrank_core.tables import PoolState, Route, Tables

__all__ = ('SessionToken', 'check_session', 'make_signer')

_SALT = 'turmericcrank-session'
_FIELD_COUNT = 6


@dataclass(slots=True, frozen=True)
class SessionToken:
    """Content of a session token.

    Attributes:
        session_id: Random id of the session.
        team: Team that owns the session.
        route: Route of the session.
        model_version: ``model@version`` to which the session is pinned.
        ends_s: Expiry time, seconds since the epoch.
        recent_upstream_ids: Upstreams that served the session, most recent
            first.
    """

    session_id: str
    team: str
    route: str
    model_version: str
    ends_s: float
    recent_upstream_ids: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Signer:
    """Serializes and verifies session tokens.

    Attributes:
        write: Returns the signed text of a token.
        read: Returns the token of a text, or None when the signature or the
            format is invalid.
    """

    write: Callable[[SessionToken], str]
    read: Callable[[str], SessionToken | None]


def make_signer(session_keys: Sequence[str]) -> Signer:
    """Make the signer of session tokens.

    Args:
        session_keys: Secrets shared by all nodes, oldest first. The last
            one signs and all of them verify, so keys can be rotated.
    """
    serializer = URLSafeSerializer(list(session_keys), salt=_SALT)

    def write(token: SessionToken) -> str:
        fields = (
            token.session_id,
            token.team,
            token.route,
            token.model_version,
            token.ends_s,
            token.recent_upstream_ids,
        )
        return str(serializer.dumps(fields))

    def read(text: str) -> SessionToken | None:
        if not text.isascii():
            # Also keeps out lone surrogates, which have no bytes to verify.
            return None
        try:
            fields = serializer.loads(text)
        except BadData:
            return None
        if not isinstance(fields, list) or len(fields) != _FIELD_COUNT:
            return None
        *others, recent_upstream_ids = fields
        return SessionToken(*others, tuple(recent_upstream_ids))

    return Signer(write, read)


def check_session(
    token: SessionToken | None,
    team: str,
    route: Route,
    tables: Tables,
    now_s: float,
) -> Result[str, Refusal]:
    """Validate a token and return the version that serves its session.

    Args:
        token: Verified token; None when the verification failed.
        team: Team of the client.
        route: Route of the request.
        tables: Current tables.
        now_s: Seconds since the epoch.

    Returns:
        The version, or a refusal: ``bad_session`` for an invalid token or
        one of another team or route, ``session_ended`` after its expiry or
        when the route has no pool of the version that is not withdrawn.
    """
    if token is None or token.team != team or token.route != route.name:
        return Error(Refusal(ResultCode.bad_session))
    if now_s >= token.ends_s:
        return Error(Refusal(ResultCode.session_ended, 'Its time is over.'))
    pools = [
        tables.pools_by_name[name]
        for name in route.session_pool_names
        if tables.pools_by_name[name].model_version == token.model_version
    ]
    if all(pool.state is PoolState.withdrawn for pool in pools):
        detail = f'{token.model_version} is no longer allowed here.'
        return Error(Refusal(ResultCode.session_ended, detail))
    return Ok(token.model_version)
