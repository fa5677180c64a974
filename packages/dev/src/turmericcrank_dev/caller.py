"""Client of a site: discovers node addresses, caches them, retries."""

import json
import time
import uuid
from dataclasses import dataclass
from itertools import chain
from typing import Any

import httpx

from turmericcrank_dev.plain_http import TRUST_NOBODY

__all__ = ('Caller', 'Outcome')

_MAX_TRIES = 12
_TIMEOUT_S = 10
_MAX_WAIT_S = 1
_LOST_STATUS = 0
_TRY_AGAIN = frozenset((0, 429, 502, 503))


@dataclass(slots=True, frozen=True)
class Outcome:
    """Final result of a request as the client sees it.

    Attributes:
        status: HTTP status; 0 if no complete response was received.
        code: Result code.
        ran: Execution status stated in the response.
        version: Model version that answered.
        text: Text of the answer, or body of the response.
        mark: Session token in the response.
        whole: Whether the response is complete.
    """

    status: int
    code: int = 0
    ran: str = ''
    version: str = ''
    text: str = ''
    mark: str = ''
    whole: bool = False


class Caller:
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
            verify=TRUST_NOBODY,
        )
        self._addresses: list[str] = []
        self._kept_until_s = 0.0

    def ask(
        self, model: str, prompt: str, stream: bool = False, mark: str = ''
    ) -> Outcome:
        """Send a chat request, with retries, until a final response."""
        body = {
            'model': model,
            'messages': [{'role': 'user', 'content': prompt}],
            'stream': stream,
        }
        headers = {'X-Session-Mark': mark} if mark else {}
        return self._insist('/v1/chat/completions', body, headers)

    def book(
        self, route: str, body: dict[str, Any], key: str = '', tries: int = 0
    ) -> Outcome:
        """Send a booking with one idempotency key, as it must not run twice."""
        headers = {'Idempotency-Key': key or uuid.uuid4().hex}
        path = f'/services/{route}/bookings'
        return self._insist(path, body, headers, tries or _MAX_TRIES)

    def forget_addresses(self) -> None:
        """Expire the cached addresses, so that they are fetched again."""
        self._kept_until_s = 0

    def find_addresses(self) -> list[str]:
        """Return the addresses to use; fetch them again after their TTL."""
        if time.monotonic() < self._kept_until_s:
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
                answer = response.json()
                self._addresses = [
                    row['address'] for row in answer['addresses']
                ]
                self._kept_until_s = time.monotonic() + answer['keep_s']
                break
        return self._addresses

    def _insist(
        self,
        path: str,
        body: dict[str, Any],
        headers: dict[str, str],
        tries: int = _MAX_TRIES,
    ) -> Outcome:
        outcome = Outcome(_LOST_STATUS)
        for attempt in range(tries):
            addresses = self.find_addresses() or self._seeds
            address = addresses[attempt % len(addresses)]
            outcome = self._send(f'http://{address}{path}', body, headers)
            if outcome.whole or outcome.status not in _TRY_AGAIN:
                break
            time.sleep(min(_MAX_WAIT_S, 0.1 * (attempt + 1)))
        return outcome

    def _send(
        self, url: str, body: dict[str, Any], headers: dict[str, str]
    ) -> Outcome:
        try:
            if body.get('stream'):
                return self._read_stream(url, body, headers)
            response = self._http.post(url, json=body, headers=headers)
        except httpx.HTTPError:
            return Outcome(_LOST_STATUS)
        text = response.text
        if response.is_success and 'chat' in url:
            text = response.json()['choices'][0]['message']['content']
        return _read_outcome(response, text, response.is_success)

    def _read_stream(
        self, url: str, body: dict[str, Any], headers: dict[str, str]
    ) -> Outcome:
        pieces = []
        whole = False
        with self._http.stream(
            'POST', url, json=body, headers=headers
        ) as response:
            if not response.is_success:
                return _read_outcome(response, response.read().decode(), False)
            for line in response.iter_lines():
                if line == 'data: [DONE]':
                    whole = True
                elif line.startswith('data: '):
                    pieces.append(_read_piece(line))
            return _read_outcome(response, ''.join(pieces), whole)


def _read_piece(line: str) -> str:
    event = json.loads(line.removeprefix('data: '))
    if 'error' in event:
        return ''
    return str(event['choices'][0]['delta'].get('content', ''))


def _read_outcome(response: httpx.Response, text: str, whole: bool) -> Outcome:
    headers = response.headers
    return Outcome(
        response.status_code if whole or response.is_error else _LOST_STATUS,
        int(headers.get('X-Result-Code', 0)),
        headers.get('X-Ran', ''),
        headers.get('X-Model-Version', ''),
        text,
        headers.get('X-Session-Mark', ''),
        whole,
    )
