"""Signed session marks: a session survives any node without a write.

The mark carries the version that the session keeps. It is signed with the
site's session keys, names its team and route, and ends by itself.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from expression import Error, Ok, Result
from itsdangerous import BadData, URLSafeSerializer

from turmericcrank_core.codes import ResultCode
from turmericcrank_core.errors import Refusal
from turmericcrank_core.tables import PoolState, Route, Tables

__all__ = ('SessionMark', 'check_session', 'make_signer')

_SALT = 'turmericcrank-session'
_FIELD_COUNT = 6


@dataclass(slots=True, frozen=True)
class SessionMark:
    """What a session keeps.

    Attributes:
        session_id: Random name of the session.
        team: Team that owns it.
        route: Route that it runs on.
        model_version: ``model@version`` that it keeps.
        ends_s: End of the session, seconds since the epoch.
        last_ids: Upstreams that served it, the last one first.
    """

    session_id: str
    team: str
    route: str
    model_version: str
    ends_s: float
    last_ids: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Signer:
    """The two directions of the signature.

    Attributes:
        write: Gives the text of a mark.
        read: Gives the mark of a text, or None when it was not signed here.
    """

    write: Callable[[SessionMark], str]
    read: Callable[[str], SessionMark | None]


def make_signer(session_keys: Sequence[str]) -> Signer:
    """Make the signer of session marks.

    Args:
        session_keys: Secrets shared by all nodes, oldest first; the last
            one signs, all of them verify, so keys can be rotated.
    """
    serializer = URLSafeSerializer(list(session_keys), salt=_SALT)

    def write(mark: SessionMark) -> str:
        fields = (
            mark.session_id,
            mark.team,
            mark.route,
            mark.model_version,
            mark.ends_s,
            mark.last_ids,
        )
        return str(serializer.dumps(fields))

    def read(text: str) -> SessionMark | None:
        try:
            fields = serializer.loads(text)
        except BadData:
            return None
        if not isinstance(fields, list) or len(fields) != _FIELD_COUNT:
            return None
        *others, last_ids = fields
        return SessionMark(*others, tuple(last_ids))

    return Signer(write, read)


def check_session(
    mark: SessionMark | None,
    team: str,
    route: Route,
    tables: Tables,
    now_s: float,
) -> Result[str, Refusal]:
    """Check a mark and give the version that the request must run on.

    Args:
        mark: Mark that was read, None when its signature is not ours.
        team: Team of the caller.
        route: Route of the request.
        tables: Tables in force.
        now_s: Seconds since the epoch.

    Returns:
        The version, or a refusal: a withdrawn version ends the session.
    """
    if mark is None or mark.team != team or mark.route != route.name:
        return Error(Refusal(ResultCode.bad_session))
    if now_s >= mark.ends_s:
        return Error(Refusal(ResultCode.session_ended, 'Its time is over.'))
    pools = [
        tables.pools_by_name[name]
        for name in route.session_pool_names
        if tables.pools_by_name[name].model_version == mark.model_version
    ]
    if all(pool.state is PoolState.withdrawn for pool in pools):
        detail = f'{mark.model_version} is no longer allowed here.'
        return Error(Refusal(ResultCode.session_ended, detail))
    return Ok(mark.model_version)
