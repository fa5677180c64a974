"""Each arrival at an upstream beyond a request's first is charged.

The rule of the site counts what arrives, the node what it sends; no way to
send a request again may pass by the budget.
"""

from collections import Counter
from dataclasses import replace

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from turmericcrank_core.routing import CallKind
from turmericcrank_node.upstreams.retry_permits import find_retry_window

from tests.router_builders import make_route, make_table
from tests.router_fakes import (
    make_node_state,
    open_client,
    read_until,
    request_bytes,
    start_upstreams,
)
from tests.upstream_fakes import (
    END_CHUNK,
    event_chunk,
    response_bytes,
    stream_head,
)

_N_UPSTREAMS = 4
_N_REQUESTS = 5
_WAIT_S = 4
_NOT_RUN = response_bytes(b'full', 503, not_run='yes')
# What an upstream does with one request. After a pause it responds, or its
# process has ended meanwhile.
_SCRIPTS = (
    ['reset'],
    ['close'],
    [_NOT_RUN],
    [_NOT_RUN.replace(b'not-run: yes', b'retry-after: 0')],
    [response_bytes(b'failed', 500)],
    [response_bytes()],
    [0.2, response_bytes()],
    [0.2, 'reset'],
    ['refuse'],
    [b'no HTTP' * 9],
    [stream_head(confidence=5), event_chunk(1), 0.1, 'reset'],
    [stream_head(), event_chunk(1), 'reset'],
    [stream_head(), event_chunk(1) + event_chunk(2) + END_CHUNK],
    [stream_head(confidence=5), event_chunk(1), END_CHUNK],
)


def _play(kind, scripts, slack, models):
    """Send requests, one after the other begins, to upstreams in trouble.

    Returns:
        The ids of the requests that arrived, each as often as it did, and the
        number of charged retries.
    """
    route = make_route(kind=kind, timeout_s=3.0, max_attempts=3, models=models)

    async def main():
        state = make_node_state(make_table(route))
        bounds = replace(
            state.settings.bounds, retry_ratio=0, retry_slack=slack
        )
        state.settings = replace(state.settings, bounds=bounds)
        async with trio.open_nursery() as nursery:
            shared = [list(script) for script in scripts]
            fakes = await start_upstreams(
                nursery, state, *[shared] * _N_UPSTREAMS, slots=64
            )
            async with trio.open_nursery() as clients:
                for number in range(_N_REQUESTS):
                    clients.start_soon(_send, nursery, state, f'r{number}')
            nursery.cancel_scope.cancel()
        arrived = Counter(one['id'] for fake in fakes for one in fake.requests)
        charged = find_retry_window(state, 'engine').retries_by_s.total()
        return arrived, charged

    return trio.run(main)


async def _send(nursery, state, request_id):
    client = await open_client(nursery, state)
    with trio.move_on_after(_WAIT_S):
        await client.send_all(request_bytes(id=request_id))
        await read_until(client, b'\r\n\r\n', _WAIT_S)
    await client.aclose()


@settings(max_examples=40, deadline=None)
@given(
    st.sampled_from(
        [CallKind.stream, CallKind.idempotent, CallKind.non_idempotent]
    ),
    st.lists(st.sampled_from(_SCRIPTS), max_size=16),
    st.integers(0, 12),
    st.sampled_from([(), ('small', 'large')]),
)
def test_budget_arrivals_beyond_the_first_are_charged(
    kind, scripts, slack, models
):
    """Whatever upstreams do, and whatever the client does at once."""
    arrived, charged = _play(kind, scripts, slack, models)
    n_repeats = arrived.total() - len(arrived)
    assert n_repeats <= charged <= slack


def test_budget_arrivals_at_upstreams_that_all_fail_keep_to_the_slack():
    arrived, charged = _play(
        CallKind.idempotent, [['reset']] * 40, 4, models=()
    )
    assert charged == 4
    assert arrived.total() - len(arrived) == 4
