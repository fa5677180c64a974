"""Responses to clients: complete, streamed, or an OpenAI-style error."""

import json
import math
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass, field
from typing import Any

from quart import Response
from turmericcrank_core.codes import CODES, ExecutionStatus, ResultCode
from turmericcrank_core.errors import Refusal

__all__ = (
    'ApiResponse',
    'make_error_event',
    'make_error_response',
    'make_json_response',
    'make_quart_response',
)

_JSON = 'application/json'


@dataclass(slots=True)
class ApiResponse:
    """Response to a client, independent of the web framework.

    Attributes:
        code: Result code.
        status: HTTP status.
        body: Complete body, or an iterator over its parts.
        content_type: Media type of the body.
        headers_by_name: Additional headers.
    """

    code: ResultCode
    status: int
    body: bytes | AsyncIterator[bytes]
    content_type: str = _JSON
    headers_by_name: dict[str, str] = field(default_factory=dict)


def make_json_response(code: ResultCode, body: Any) -> ApiResponse:
    """Create a response with a JSON body."""
    return ApiResponse(code, CODES[code].http_status, json.dumps(body).encode())


def make_error_response(
    refusal: Refusal, addresses: Iterable[str] = ()
) -> ApiResponse:
    """Create an error response in the format that client libraries expect.

    Args:
        refusal: Reason why the request was rejected or failed.
        addresses: Other entry nodes that the client may use.
    """
    api_response = make_json_response(
        refusal.code, {'error': _describe_refusal(refusal, addresses)}
    )
    if refusal.retry_after_s is not None:
        wait_s = max(1, math.ceil(refusal.retry_after_s))
        api_response.headers_by_name['Retry-After'] = str(wait_s)
    return api_response


def make_error_event(refusal: Refusal) -> bytes:
    """Create the error event that ends an incomplete stream."""
    body = {'error': _describe_refusal(refusal, ())}
    return b'data: %s\n\n' % json.dumps(body).encode()


def make_quart_response(api_response: ApiResponse, request_id: str) -> Response:
    """Convert to a response of the web framework, with result headers."""
    response = Response(
        api_response.body,
        status=api_response.status,
        content_type=api_response.content_type,
    )
    response.timeout = None
    ran = CODES[api_response.code].ran or ExecutionStatus.unknown
    response.headers['X-Result-Code'] = str(int(api_response.code))
    response.headers['X-Ran'] = str(ran)
    response.headers['X-Request-Id'] = request_id
    for name, text in api_response.headers_by_name.items():
        response.headers[name] = text
    return response


def _describe_refusal(
    refusal: Refusal, addresses: Iterable[str]
) -> dict[str, Any]:
    described = {
        'message': refusal.message,
        'type': refusal.code.name,
        'param': None,
        'code': int(refusal.code),
        'ran': None if refusal.ran is None else str(refusal.ran),
        'retry_after_s': refusal.retry_after_s,
    }
    others = list(addresses)
    if others:
        described['addresses'] = others
    return described
