"""Load generator that sends a bounded number of chat requests.

``python -m turmericcrank_dev.load --address=IP:PORT --key=KEY ...`` prints a
summary of the responses.
"""

import json
import sys
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

import fire
import httpx
import trio

from turmericcrank_dev.experiments.results import find_percentile

__all__ = ('LoadPlan', 'LoadResult', 'main', 'run_load')

_TIMEOUT_S = 60
_MAX_REQUESTS = 100000
_MS = 1000


@dataclass(slots=True, frozen=True)
class LoadPlan:
    """Parameters of a load.

    Attributes:
        address: ``IP:port`` on loopback.
        key: API key of the team.
        model: Route or model version.
        n_requests: Total number of requests.
        n_callers: Number of concurrent requests.
        n_tokens: Number of tokens per answer.
        stream: Whether responses are streamed.
    """

    address: str
    key: str
    model: str = 'quotes'
    n_requests: int = 100
    n_callers: int = 4
    n_tokens: int = 12
    stream: bool = False


@dataclass(slots=True)
class LoadResult:
    """Responses to a load.

    Attributes:
        statuses: Number of responses by HTTP status.
        first_chunk_s: Seconds to the first chunk of each successful response.
        rejection_s: Seconds to the first chunk of each error response.
        n_events: Number of events of all streams.
        elapsed_s: Duration of the run, in seconds.
    """

    statuses: Counter[int] = field(default_factory=Counter)
    first_chunk_s: list[float] = field(default_factory=list)
    rejection_s: list[float] = field(default_factory=list)
    n_events: int = 0
    elapsed_s: float = 0


def run_load(plan: LoadPlan) -> LoadResult:
    """Send a load and wait for all responses."""
    return trio.run(_send_all, plan)


def main(
    address: str,
    key: str,
    model: str = 'quotes',
    n_requests: int = 100,
    n_callers: int = 4,
    stream: bool = False,
) -> None:
    """Send a load and print a summary of the responses.

    Args:
        address: ``IP:port`` on loopback.
        key: API key of the team.
        model: Route or model version.
        n_requests: Total number of requests, at most 100,000.
        n_callers: Number of concurrent requests.
        stream: Whether responses are streamed.
    """
    plan = LoadPlan(
        address,
        key,
        model,
        min(n_requests, _MAX_REQUESTS),
        n_callers,
        stream=stream,
    )
    load_result = run_load(plan)
    summary = {
        'statuses': dict(load_result.statuses),
        'p50_first_ms': find_percentile(load_result.first_chunk_s, 50) * _MS,
        'p95_first_ms': find_percentile(load_result.first_chunk_s, 95) * _MS,
        'requests_per_s': plan.n_requests / load_result.elapsed_s,
        'events': load_result.n_events,
    }
    sys.stdout.write(f'{json.dumps(summary)}\n')


async def _send_all(plan: LoadPlan) -> LoadResult:
    load_result = LoadResult()
    request_numbers = iter(range(plan.n_requests))
    started_s = time.monotonic()
    async with httpx.AsyncClient(
        base_url=f'http://{plan.address}',
        timeout=_TIMEOUT_S,
        headers={'Authorization': f'Bearer {plan.key}'},
        limits=httpx.Limits(max_connections=plan.n_callers),
        trust_env=False,
    ) as http:
        async with trio.open_nursery() as nursery:
            for _worker in range(plan.n_callers):
                nursery.start_soon(
                    _send_until_done, http, plan, request_numbers, load_result
                )
    load_result.elapsed_s = time.monotonic() - started_s
    return load_result


async def _send_until_done(
    http: httpx.AsyncClient,
    plan: LoadPlan,
    request_numbers: Iterator[int],
    load_result: LoadResult,
) -> None:
    for number in request_numbers:
        body = {
            'model': plan.model,
            'messages': [{'role': 'user', 'content': f'load {number}'}],
            'max_tokens': plan.n_tokens,
            'stream': plan.stream,
        }
        await _send_request(http, body, load_result)


async def _send_request(
    http: httpx.AsyncClient, body: dict[str, object], load_result: LoadResult
) -> None:
    started_s = time.monotonic()
    async with http.stream(
        'POST', '/v1/chat/completions', json=body
    ) as response:
        is_first = True
        async for chunk in response.aiter_raw():
            if is_first:
                is_first = False
                elapsed_s = time.monotonic() - started_s
            load_result.n_events += chunk.count(b'\n\n')
        load_result.statuses[response.status_code] += 1
        if response.is_success:
            load_result.first_chunk_s.append(elapsed_s)
        else:
            load_result.rejection_s.append(elapsed_s)


if __name__ == '__main__':
    fire.Fire(main)
