"""Calls of the own interface to a service that a script stands in for."""

import itertools

import httpx
import trio
from turmericcrank_dev.plain_http import EMPTY_TLS_CONTEXT
from turmericcrank_dev.site_data import (
    TEAM_KEYS,
    PoolSpec,
    build_pool,
    build_route,
    build_tables,
)

from tests.upstream_fakes import FakeUpstream

_DEADLINE_S = 5
_NUMBERS = itertools.count()


def call_service(site, script, *, body=b'{}', n_calls=1, **fields):
    """Call a service whose upstream runs a script for the first call.

    The upstream is new for each script, as one that failed is ejected.

    Args:
        site: A site with the node ``n1``.
        script: What the upstream does; see ``FakeUpstream``.
        body: Body of the calls.
        n_calls: How often the call is made, with the same key.
        fields: ``kind`` of the route, ``reads_bodies`` of the upstream.

    Returns:
        The responses to the client, and the number of requests that the
        upstream got.
    """
    kind = fields.get('kind', 'non_idempotent_service')
    upstream = FakeUpstream(
        [script], reads_bodies=fields.get('reads_bodies', True)
    )
    name = f'service-{next(_NUMBERS)}'

    async def main():
        async with trio.open_nursery() as nursery:
            await nursery.start(upstream.serve)
            await trio.to_thread.run_sync(
                _apply_tables, site, name, kind, upstream.address
            )
            responses = [
                await trio.to_thread.run_sync(_post, site, name, body)
                for _ in range(n_calls)
            ]
            nursery.cancel_scope.cancel()
        return responses

    return trio.run(main), len(upstream.requests)


def _apply_tables(site, name, kind, address):
    site.put_vm_row(name, 'upstream', 'live', data_centre='dc1')
    port = int(address.rpartition(':')[2])
    pool = build_pool(PoolSpec(name, '1', {name: port}))
    route = build_route(kind, ['tills'], [name], deadline_s=_DEADLINE_S)
    site.apply_tables(build_tables({name: route}, {name: pool}))


def _post(site, name, body):
    address = site.nodes_by_name['n1'].client_address
    return httpx.post(
        f'http://{address}/services/{name}/book',
        content=body,
        headers={
            'Authorization': f'Bearer {TEAM_KEYS["tills"]}',
            'Content-Type': 'text/plain',
            'Idempotency-Key': name,
        },
        timeout=2 * _DEADLINE_S,
        verify=EMPTY_TLS_CONTEXT,
    )
