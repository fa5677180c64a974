"""HTTP client of the nodes' admin API, with failover between the nodes."""

import ssl
from typing import Any

import httpx
from expression import Error, Ok, Result

from turmericcrank_client.settings import ClientSettings

__all__ = ('CallError', 'NodeClient')

_UNAVAILABLE = 503


class CallError:
    """Error of a failed call.

    Args:
        code: Result code; 0 when no node responded with one.
        message: Text for the operator.
    """

    __slots__ = ('code', 'message')

    def __init__(self, code: int, message: str) -> None:
        self.code = code
        self.message = message


class NodeClient:
    """Sends each call to the first available node.

    Unreachable nodes, nodes whose response breaks off and nodes that respond
    with status 503 are skipped.

    Args:
        settings: Validated settings.
    """

    __slots__ = ('_http', '_nodes', '_scheme')

    def __init__(self, settings: ClientSettings) -> None:
        is_plain_http = settings.ca_path == 'none'
        self._nodes = settings.nodes
        self._scheme = 'http' if is_plain_http else 'https'
        self._http = httpx.Client(
            timeout=settings.timeout_s,
            headers={'Authorization': f'Bearer {settings.key}'},
            verify=is_plain_http
            or ssl.create_default_context(cafile=settings.ca_path),
            trust_env=False,
        )

    def get(self, path: str) -> Result[Any, CallError]:
        """Read from the first available node."""
        return self._send('GET', path, None)

    def post(self, path: str, body: Any) -> Result[Any, CallError]:
        """Write through the first available node.

        After a connection error, a response that broke off or status 503 the
        call is sent to the next node, although it may have taken effect. The
        body must carry an idempotency token, so that the call is applied only
        once.
        """
        return self._send('POST', path, body)

    def _send(
        self, method: str, path: str, body: Any
    ) -> Result[Any, CallError]:
        call_error = CallError(0, 'no node responded')
        for node in self._nodes:
            url = f'{self._scheme}://{node}{path}'
            try:
                response = self._http.request(method, url, json=body)
            except httpx.HTTPError as error:
                call_error = CallError(0, f'{node}: {error!r}')
                continue
            if response.is_success:
                decoded = _decode_body(node, response)
                if decoded.is_ok():
                    return decoded
                call_error = decoded.error
                continue
            call_error = _decode_error(node, response)
            if response.status_code != _UNAVAILABLE:
                break
        return Error(call_error)


def _decode_body(node: str, response: httpx.Response) -> Result[Any, CallError]:
    """Decode the body of a success; one that broke off is no JSON."""
    try:
        return Ok(response.json())
    except ValueError as error:
        return Error(CallError(0, f'{node}: {error!r}'))


def _decode_error(node: str, response: httpx.Response) -> CallError:
    try:
        details = response.json()['error']
    except (ValueError, KeyError, TypeError):
        return CallError(0, f'{node}: status {response.status_code}')
    return CallError(details['code'], details['message'])
