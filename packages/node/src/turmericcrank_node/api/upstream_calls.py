"""Sends one request to one upstream and classifies the outcome."""

from collections.abc import Mapping
from dataclasses import dataclass

import httpx

__all__ = ('ConnectionBroken', 'NotSent', 'ResponseOpened', 'send_upstream')


@dataclass(slots=True, frozen=True)
class NotSent:
    """The request is known not to have reached the upstream."""

    detail: str


@dataclass(slots=True, frozen=True)
class ConnectionBroken:
    """The connection failed after the request may have been sent."""

    detail: str


@dataclass(slots=True, frozen=True)
class ResponseOpened:
    """The response headers have arrived; the body is still to be read."""

    response: httpx.Response


async def send_upstream(
    http: httpx.AsyncClient,
    method: str,
    url: str,
    body: bytes,
    headers: Mapping[str, str],
) -> ResponseOpened | ConnectionBroken | NotSent:
    """Send a request and wait for the response headers.

    Only a failure to get a connection proves that nothing was sent.

    Args:
        http: Connection pool.
        method: HTTP method.
        url: Target URL.
        body: Complete body.
        headers: Request headers.
    """
    request = http.build_request(method, url, content=body, headers=headers)
    try:
        return ResponseOpened(await http.send(request, stream=True))
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as err:
        return NotSent(repr(err))
    except httpx.HTTPError as error:
        return ConnectionBroken(repr(error))
