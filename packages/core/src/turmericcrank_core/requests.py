"""Validates model requests and finds the pools that may serve them."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import xxhash
from expression import Error, Ok, Result

from turmericcrank_core.codes import ResultCode
from turmericcrank_core.errors import Refusal
from turmericcrank_core.tables import (
    Pool,
    PoolState,
    Route,
    RouteKind,
    Tables,
)

__all__ = (
    'ModelRequest',
    'RouteMatch',
    'check_model_request',
    'find_route',
    'fingerprint_parts',
    'fingerprint_request',
    'list_allowed_pools',
)

_MAX_MESSAGES = 10000
_MAX_DETAIL_CHARS = 300
_PREFIX_CHARS = 256


@dataclass(slots=True, frozen=True)
class ModelRequest:
    """A validated chat completion request.

    Attributes:
        payload: Decoded JSON body.
        model: Requested route name or ``model@version``.
        stream: Whether the response is streamed.
        prompt: Contents of all messages, separated by newlines.
        body: Raw body as the client sent it.
    """

    payload: dict[str, Any]
    model: str
    stream: bool
    prompt: str
    body: bytes = b''

    @property
    def prefix_key(self) -> str:
        """Return the start of the prompt, which a prefix cache may hold."""
        return self.prompt[:_PREFIX_CHARS]


def check_model_request(
    payload: Any, body: bytes = b''
) -> Result[ModelRequest, Refusal]:
    """Validate the body of a chat completion request.

    Args:
        payload: Decoded JSON body.
        body: The same body, as it was sent.

    Returns:
        The request, or a refusal that names the field, the value and the
        allowed range.
    """
    if not isinstance(payload, dict):
        return _bad_field('body', payload, 'an object')
    model = payload.get('model')
    if not isinstance(model, str) or not model:
        return _bad_field('model', model, 'the name of a route or version')
    messages = payload.get('messages')
    if not isinstance(messages, list) or not messages:
        return _bad_field('messages', messages, 'a list of messages')
    if len(messages) > _MAX_MESSAGES:
        allowed = f'at most {_MAX_MESSAGES} messages'
        return _bad_field('messages', len(messages), allowed)
    if not all(_has_content(message) for message in messages):
        return _bad_field('messages', messages, 'objects with content')
    stream = payload.get('stream', False)
    if not isinstance(stream, bool):
        return _bad_field('stream', stream, 'true or false')
    prompt = '\n'.join(str(message['content']) for message in messages)
    return Ok(ModelRequest(payload, model, stream, prompt, body))


@dataclass(slots=True, frozen=True)
class RouteMatch:
    """Route and version that serve a request.

    Attributes:
        route: Route of the request.
        model_version: Requested version; None when any version may serve.
    """

    route: Route
    model_version: str | None


def find_route(
    tables: Tables, requested_name: str, team: str
) -> Result[RouteMatch, Refusal]:
    """Find the route that a team may use for a name or ``model@version``.

    Args:
        tables: Current tables.
        requested_name: Route name or ``model@version`` in the request.
        team: Team of the client.

    Returns:
        The route, with the version when the client named one, or a refusal
        when the name is unknown or the team may not use it.
    """
    route = tables.routes_by_name.get(requested_name)
    if route is not None:
        if team in route.teams:
            return Ok(RouteMatch(route, None))
        return Error(Refusal(ResultCode.team_not_allowed))
    pools = tables.find_pools(requested_name)
    if not pools:
        return Error(Refusal(ResultCode.unknown_route, requested_name))
    names = {pool.name for pool in pools}
    for candidate in _iter_model_routes(tables):
        if team in candidate.teams and names & set(candidate.pool_names):
            return Ok(RouteMatch(candidate, requested_name))
    return Error(Refusal(ResultCode.team_not_allowed))


def list_allowed_pools(
    tables: Tables,
    route: Route,
    model_version: str | None,
    in_session: bool,
) -> Result[list[Pool], Refusal]:
    """List the pools that may serve a request, in the order of the route.

    Pools of the route come first, from cheapest to best, then the pool of
    its rollout and, in a session, its session pools.

    Args:
        tables: Current tables.
        route: Route of the request.
        model_version: Version that must serve the request, if any.
        in_session: Whether the request belongs to an existing session.

    Returns:
        The pools, or a refusal: ``no_upstream`` when the route has no pool
        of the version, ``version_withdrawn`` when all are withdrawn or, for
        a request outside of a session, retiring.
    """
    names = route.session_pool_names if in_session else route.pool_names
    pools = [tables.pools_by_name[name] for name in names]
    if model_version is not None:
        pools = [pool for pool in pools if pool.model_version == model_version]
    accepted_states = {PoolState.active}
    if in_session:
        accepted_states.add(PoolState.retiring)
    allowed = [pool for pool in pools if pool.state in accepted_states]
    if allowed:
        return Ok(allowed)
    if pools:
        return Error(Refusal(ResultCode.version_withdrawn))
    return Error(Refusal(ResultCode.no_upstream, retry_after_s=1))


def fingerprint_request(team: str, request: ModelRequest) -> str:
    """Hash the team and the prompt of a request.

    The request id and the other fields are left out, so a prompt that is
    sent again under another id has the same fingerprint.
    """
    digest = xxhash.xxh3_128(team.encode())
    digest.update(b'\n')
    digest.update(request.prompt.encode('utf-8', 'surrogatepass'))
    return str(digest.hexdigest())


def fingerprint_parts(request: ModelRequest) -> frozenset[str]:
    """Hash each message of a request but the last.

    Other requests may share these parts of the prompt; the last message
    belongs to the request.
    """
    messages = request.payload.get('messages', [])[:-1]
    return frozenset(_hash_message(message) for message in messages)


def _hash_message(message: Mapping[str, Any]) -> str:
    named = f'{message.get("role")}\n{message["content"]}'
    digest = xxhash.xxh3_64_hexdigest(named.encode('utf-8', 'surrogatepass'))
    return f'p{digest}'


def _has_content(message: Any) -> bool:
    return isinstance(message, dict) and 'content' in message


def _iter_model_routes(tables: Tables) -> Iterator[Route]:
    for route in tables.routes_by_name.values():
        if route.kind in {RouteKind.model, RouteKind.long_draft}:
            yield route


def _bad_field(
    field: str, got: Any, allowed: str
) -> Result[ModelRequest, Refusal]:
    detail = f'{field}: got {got!r}, allowed is {allowed}.'
    return Error(Refusal(ResultCode.bad_field, detail[:_MAX_DETAIL_CHARS]))
