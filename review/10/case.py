"""An upstream that asks for 80 seconds of rest gets requests after 60.

Prints the record; exits with 1 if the rule was broken, 0 if it held, and 2 if
the case could not run.
"""

import asyncio
import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins_2.client import Sent, request  # noqa: E402
from standins_2.http1 import encode_response  # noqa: E402
from standins_2.manifest import make_manifest, make_route  # noqa: E402
from standins_2.nodes import Site, pick_base, pick_port  # noqa: E402
from standins_2.store import start_store  # noqa: E402
from standins_2.upstream import (  # noqa: E402
    Arrival,
    Upstream,
    sign,
    start_upstream,
)

REST_S = 80
SETTLE_S = 0.5
MAX_ARRIVALS = 2
ROUTES = [make_route('stock', '/stock/', 'idempotent', 'order-desk')]


class Asked:
    """Which upstream turned a request away, and when."""

    def __init__(self, trouble: bool) -> None:
        self.is_due = trouble
        self.upstream_id = ''
        self.at_s = 0.0

    async def answer(self, upstream: Upstream, arrival: Arrival) -> bytes:
        """Turn one request away, and run all others in 60 ms."""
        if self.is_due and self.at_s == 0 and arrival.at_s > self.from_s:
            self.at_s = time.monotonic()
            self.upstream_id = upstream.upstream_id
            headers = {
                'X-Request-Id': arrival.request.headers['x-request-id'],
                'X-Not-Executed': '1',
                'Retry-After': str(REST_S),
            }
            return encode_response(503, headers)
        arrival.has_run = True
        await asyncio.sleep(0.06)
        return sign(arrival.request, b'stock')

    from_s = 0.0


async def play(trouble: bool, record) -> int:
    """Play the case; return the exit code."""
    base = pick_base()
    store = await start_store(f'{base}.100', pick_port(f'{base}.100'))
    await store.put('op', 'config', make_manifest(10, ROUTES))
    asked = Asked(trouble)
    arrivals: list[Arrival] = []
    for number, zone in ((111, 'bdg-a'), (112, 'bdg-a')):
        host = f'{base}.{number}'
        await start_upstream(
            store=store,
            service='order-desk',
            zone=zone,
            host=host,
            port=pick_port(host),
            arrivals=arrivals,
            answer=asked.answer,
        )
    site = Site(store.address)
    try:
        node = site.add(base)
        site.start(node)
        if not await site.wait_until_ready():
            record('the node is not ready')
            return 2
        await asyncio.sleep(4)
        asked.from_s = time.monotonic() + 2
        began_s = time.monotonic()
        sent: list[Sent] = []
        tasks = []

        async def send() -> None:
            sent.append(await request(node.at('front'), '/stock/1'))

        while time.monotonic() - began_s < REST_S + 6:
            tasks.append(asyncio.create_task(send()))
            await asyncio.sleep(0.2)
        await asyncio.gather(*tasks)
        return judge(asked, arrivals, sent, began_s, record)
    finally:
        site.close()


def judge(asked, arrivals, sent, began_s, record) -> int:
    """Count what reached the upstream in the time that it named."""
    n_good = sum(one.status == 200 for one in sent)
    record(f'sent {len(sent)}, {n_good} answered 200')
    if not asked.at_s:
        record('no upstream asked for rest')
        return 0
    record(
        f't={asked.at_s - began_s:.2f} {asked.upstream_id} answers 503 with '
        f'Retry-After: {REST_S}'
    )
    early = [
        one
        for one in arrivals
        if one.upstream_id == asked.upstream_id
        and SETTLE_S < one.at_s - asked.at_s < REST_S
    ]
    for one in early[:5]:
        record(
            f't={one.at_s - began_s:.2f} {one.upstream_id} gets '
            f'{one.request.headers["x-request-id"]}, '
            f'{one.at_s - asked.at_s:.2f} s after its answer'
        )
    record(
        f'{len(early)} requests reached it from {SETTLE_S} to {REST_S} s after '
        f'its answer ({MAX_ARRIVALS} allowed)'
    )
    return int(len(early) > MAX_ARRIVALS)


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
