"""Client of a site: discovers node addresses, caches them, retries."""

import json
import time
import uuid
from dataclasses import dataclass
from itertools import chain
from typing import Any

import httpx

from turmericcrank_dev.plain_http import EMPTY_TLS_CONTEXT

__all__ = ('ApiClient', 'Outcome')

_MAX_ATTEMPTS = 12
_TIMEOUT_S = 10
_MAX_RETRY_DELAY_S = 1
_NO_RESPONSE_STATUS = 0
_RETRIED_STATUSES = frozenset((0, 429, 502, 503))


@dataclass(slots=True, frozen=True)
class Outcome:
    """Final result of a request as the client sees it.

    Attributes:
        status: HTTP status; 0 if no complete response was received.
        code: Result code.
        ran: Execution status stated in the response.
        version: Model version that answered.
        text: Text of the answer, or body of the response.
        session_token: Session token in the response.
        is_complete: Whether the response is complete.
    """

    status: int
    code: int = 0
    ran: str = ''
    version: str = ''
    text: str = ''
    session_token: str = ''
    is_complete: bool = False


class ApiClient:
    """Sends requests to a site on behalf of one team.

    Args:
        seeds: Seed addresses; each of these nodes returns the addresses
            to use.
        key: API key of the team.
        data_centre: Data centre of the client.
    """

    def __init__(self, seeds: list[str], key: str, data_centre: str) -> None:
        self._seeds = seeds
        self._data_centre = data_centre
        self._http = httpx.Client(
            timeout=_TIMEOUT_S,
            headers={'Authorization': f'Bearer {key}'},
            trust_env=False,
            verify=EMPTY_TLS_CONTEXT,
        )
        self._addresses: list[str] = []
        self._addresses_expire_s = 0.0

    def send_chat(
        self,
        model: str,
        prompt: str,
        stream: bool = False,
        session_token: str = '',
    ) -> Outcome:
        """Send a chat request, with retries, until a final response."""
        body = {
            'model': model,
            'messages': [{'role': 'user', 'content': prompt}],
            'stream': stream,
        }
        headers = {'X-Session-Mark': session_token} if session_token else {}
        return self._send_with_retries('/v1/chat/completions', body, headers)

    def book(
        self,
        route: str,
        body: dict[str, Any],
        key: str = '',
        max_attempts: int = 0,
    ) -> Outcome:
        """Send a booking with one idempotency key, as it must not run twice."""
        headers = {'Idempotency-Key': key or uuid.uuid4().hex}
        path = f'/services/{route}/bookings'
        return self._send_with_retries(
            path, body, headers, max_attempts or _MAX_ATTEMPTS
        )

    def forget_addresses(self) -> None:
        """Expire the cached addresses, so that they are fetched again."""
        self._addresses_expire_s = 0

    def find_addresses(self) -> list[str]:
        """Return the addresses to use; fetch them again after their TTL."""
        if time.monotonic() < self._addresses_expire_s:
            return self._addresses
        for address in chain(self._addresses, self._seeds):
            url = f'http://{address}/v1/addresses'
            try:
                response = self._http.get(
                    url, params={'data_centre': self._data_centre}, timeout=1
                )
            except httpx.HTTPError:
                continue
            if response.is_success:
                address_list = response.json()
                self._addresses = [
                    row['address'] for row in address_list['addresses']
                ]
                self._addresses_expire_s = (
                    time.monotonic() + address_list['keep_s']
                )
                break
        return self._addresses

    def _send_with_retries(
        self,
        path: str,
        body: dict[str, Any],
        headers: dict[str, str],
        max_attempts: int = _MAX_ATTEMPTS,
    ) -> Outcome:
        outcome = Outcome(_NO_RESPONSE_STATUS)
        for attempt in range(max_attempts):
            addresses = self.find_addresses() or self._seeds
            address = addresses[attempt % len(addresses)]
            outcome = self._send(f'http://{address}{path}', body, headers)
            if outcome.is_complete or outcome.status not in _RETRIED_STATUSES:
                break
            time.sleep(min(_MAX_RETRY_DELAY_S, 0.1 * (attempt + 1)))
        return outcome

    def _send(
        self, url: str, body: dict[str, Any], headers: dict[str, str]
    ) -> Outcome:
        try:
            if body.get('stream'):
                return self._read_stream(url, body, headers)
            response = self._http.post(url, json=body, headers=headers)
        except httpx.HTTPError:
            return Outcome(_NO_RESPONSE_STATUS)
        if not _has_known_end(response):
            return Outcome(_NO_RESPONSE_STATUS)
        text = response.text
        if response.is_success and 'chat' in url:
            text = response.json()['choices'][0]['message']['content']
        return _read_outcome(response, text, response.is_success)

    def _read_stream(
        self, url: str, body: dict[str, Any], headers: dict[str, str]
    ) -> Outcome:
        deltas = []
        is_complete = False
        with self._http.stream(
            'POST', url, json=body, headers=headers
        ) as response:
            if not response.is_success:
                return _read_outcome(response, response.read().decode(), False)
            for line in response.iter_lines():
                if line == 'data: [DONE]':
                    is_complete = True
                elif line.startswith('data: '):
                    deltas.append(_read_delta(line))
            return _read_outcome(response, ''.join(deltas), is_complete)


def _has_known_end(response: httpx.Response) -> bool:
    """Return whether a response has a length or chunks, as nodes send it.

    Without them it ends with its connection, and ``httpx`` may take a reset
    during an upload for that end.
    """
    headers = response.headers
    return 'Content-Length' in headers or 'Transfer-Encoding' in headers


def _read_delta(line: str) -> str:
    event = json.loads(line.removeprefix('data: '))
    if 'error' in event:
        return ''
    return str(event['choices'][0]['delta'].get('content', ''))


def _read_outcome(
    response: httpx.Response, text: str, is_complete: bool
) -> Outcome:
    headers = response.headers
    return Outcome(
        response.status_code
        if is_complete or response.is_error
        else _NO_RESPONSE_STATUS,
        int(headers.get('X-Result-Code', 0)),
        headers.get('X-Ran', ''),
        headers.get('X-Model-Version', ''),
        text,
        headers.get('X-Session-Mark', ''),
        is_complete,
    )
