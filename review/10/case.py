"""A drill of the store during the last phase of a rollout leaves it unfinished.

Prints the record; exits with 1 if the rule was broken, 0 if it held, and 2 if
the case could not run.
"""

import asyncio
import itertools
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins_2.client import Sent, request  # noqa: E402
from standins_2.manifest import make_manifest, make_route  # noqa: E402
from standins_2.nodes import Site, pick_base, pick_port  # noqa: E402
from standins_2.store import Store, start_store  # noqa: E402
from standins_2.upstream import (  # noqa: E402
    Arrival,
    Upstream,
    sign,
    start_upstream,
)

SERVICE = 'order-desk'
ORDER = {'service': SERVICE, 'to': 'v2', 'duration-s': 40}
ROUTES = [make_route('stock', '/stock/', 'idempotent', SERVICE)]
MANIFEST = make_manifest(10, ROUTES)
# The router's own row of the phase changes with it; the drill is timed by that.
PHASE_TABLE = 'turmericcrank-rollouts'
FULL_PHASE = 2
DRILL_AFTER_S = 0.8
AWAY_S = 0.5
COPY_MARGIN_S = 0.5
# How long after the deadline the status is read for the last time.
LATE_S = 20


async def answer(upstream: Upstream, arrival: Arrival) -> bytes:
    """Run a request in 60 ms; both versions are good."""
    arrival.has_run = True
    await asyncio.sleep(0.06)
    return sign(arrival.request, b'stock')


async def drill(
    store: Store, upstreams: list[Upstream], copy_age_s: float
) -> None:
    """Let the store return from a copy; what others wrote is written again."""
    await store.return_from_copy(copy_age_s, AWAY_S)
    await store.put('op', 'config', MANIFEST)
    for upstream in upstreams:
        await upstream.register()


async def wait_for_full(store: Store, until_s: float) -> float:
    """Return when the last phase but `done` was stored; 0 if it was not."""
    while time.monotonic() < until_s:
        row = store.read(PHASE_TABLE, SERVICE)
        if row is not None and row['phase'] == FULL_PHASE:
            return time.monotonic()
        await asyncio.sleep(0.02)
    return 0


async def play(trouble: bool, record) -> int:
    """Play the case; return the exit code."""
    base = pick_base()
    store = await start_store(f'{base}.100', pick_port(f'{base}.100'))
    await store.put('op', 'config', MANIFEST)
    arrivals: list[Arrival] = []
    upstreams: list[Upstream] = []

    async def start(number: int, zone: str, version: str) -> None:
        host = f'{base}.{number}'
        upstreams.append(
            await start_upstream(
                store=store,
                service=SERVICE,
                zone=zone,
                host=host,
                port=pick_port(host),
                arrivals=arrivals,
                answer=answer,
                version=version,
            )
        )

    for number, zone in ((111, 'bdg-a'), (112, 'bdg-b'), (113, 'bgr-c')):
        await start(number, zone, 'v1')
    site = Site(store.address)
    sent: list[Sent] = []
    try:
        for _number in range(3):
            site.add(base)
        for node in site.nodes:
            site.start(node)
        if not await site.wait_until_ready():
            record('nodes are not ready')
            return 2
        await asyncio.sleep(4)

        async def send(node) -> None:
            sent.append(await request(node.at('front'), '/stock/1'))

        async def send_all() -> None:
            for number in itertools.count():
                node = site.nodes[number % len(site.nodes)]
                asyncio.get_running_loop().create_task(send(node))
                await asyncio.sleep(0.05)

        traffic = asyncio.create_task(send_all())
        for number, zone in ((114, 'bdg-a'), (115, 'bdg-b'), (116, 'bgr-c')):
            await start(number, zone, 'v2')
        ordered_s = time.monotonic()
        await store.put('op', f'rollout/{SERVICE}', ORDER)
        record('t=0.00 the order of v2 is acknowledged, 40 s')
        full_s = await wait_for_full(store, ordered_s + ORDER['duration-s'])
        if not full_s:
            record('the rollout does not come to its last phase')
            return 2
        record(f't={full_s - ordered_s:.2f} all requests go to v2')
        if trouble:
            await asyncio.sleep(DRILL_AFTER_S)
            age_s = time.monotonic() - full_s + COPY_MARGIN_S
            at_s = time.monotonic() - ordered_s
            record(f't={at_s:.2f} drill, the copy is {age_s:.1f} s old')
            await drill(store, upstreams, age_s)
            at_s = time.monotonic() - ordered_s
            record(f't={at_s:.2f} the store is back; all is written again')
        deadline_s = ordered_s + ORDER['duration-s']
        states = []
        for at_s in (deadline_s, deadline_s + LATE_S):
            await asyncio.sleep(max(0, at_s - time.monotonic()))
            status = store.read('status', f'rollout/{SERVICE}') or {}
            states.append(status.get('state', 'none'))
            record(f't={at_s - ordered_s:.2f} status: {states[-1]}')
        traffic.cancel()
        return judge(states, sent, arrivals, record)
    finally:
        site.close()


def judge(states, sent, arrivals, record) -> int:
    """Check that the status of the good version is `done` by the deadline."""
    n_good = sum(one.status == 200 for one in sent)
    record(f'sent {len(sent)}, {n_good} answered 200; ran {len(arrivals)}')
    return int(any(state != 'done' for state in states))


def main() -> int:
    """Run the case and write its record."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    lines: list[str] = []
    code = 2
    try:
        code = asyncio.run(play(trouble, lines.append))
    except Exception as error:
        lines.append(repr(error))
    lines.append(f'trouble={int(trouble)} exit={code}')
    path = pathlib.Path(__file__).with_name('record.txt')
    path.write_text('\n'.join(lines) + '\n')
    print('\n'.join(lines))
    return code


if __name__ == '__main__':
    sys.exit(main())
