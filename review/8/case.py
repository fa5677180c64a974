"""A block of a prompt part is lost in a drill of the store.

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
from standins_2.nodes import Node, Site, pick_base, pick_port  # noqa: E402
from standins_2.store import Store, start_store  # noqa: E402
from standins_2.upstream import (  # noqa: E402
    Arrival,
    Upstream,
    sign,
    start_upstream,
)

CONTACT_S = 3
MAX_LATE = 3
BACK_S = 3.0
FIRST_PART = '5c1e07a2'
CRASHING_PART = '91bd3f06'
EVENTS = b''.join(b'id: %d\ndata: text\n\n' % one for one in range(1, 4))
BLOCK_TABLE = 'turmericcrank-blocks'
# The copy is of this long after the last crash, and some seconds old.
COPY_LAG_S = 0.2
SETTLE_S = 1
AWAY_S = 0.5
N_CRASHES = 5
LATE_S = 25
ROUTES = [
    make_route(
        'plan',
        '/plan/',
        'streaming',
        'writer-pool',
        resumable=True,
        affinity=True,
        **{'max-attempts': 3, 'timeout-ms': 12000, 'gap-goal-ms': 1000},
    ),
]
MANIFEST = make_manifest(10, ROUTES)


async def answer(upstream: Upstream, arrival: Arrival) -> bytes | None:
    """Stream some events, or crash before the first byte of the answer."""
    arrival.has_run = True
    if is_crashing(arrival):
        asyncio.get_running_loop().create_task(
            upstream.crash_and_return(BACK_S)
        )
        return None
    await asyncio.sleep(0.06)
    return sign(arrival.request, EVENTS, 'text/event-stream')


def is_crashing(arrival: Arrival) -> bool:
    """Return whether a request carries the part that crashes upstreams."""
    return CRASHING_PART in arrival.request.headers.get('x-prompt-prefix', '')


class Play:
    """One run of the case."""

    def __init__(self, record) -> None:
        self.record = record
        self.began_s = time.monotonic()
        self.arrivals: list[Arrival] = []
        self.sent: list[tuple[str, Sent]] = []
        self.sound: list[Sent] = []
        self.upstreams: list[Upstream] = []
        self.store: Store | None = None
        self.site: Site | None = None

    def note(self, text: str) -> None:
        """Record a line with the time since the begin."""
        self.record(f't={time.monotonic() - self.began_s:6.2f} {text}')

    def crashes(self) -> list[Arrival]:
        """Return the arrivals of requests with the part that have run."""
        return [
            one
            for one in self.arrivals
            if is_crashing(one) and one.has_run
        ]

    async def set_up(self) -> bool:
        """Start everything; return whether the nodes are ready."""
        base = pick_base()
        self.store = await start_store(
            f'{base}.100', pick_port(f'{base}.100')
        )
        await self.store.put('op', 'config', MANIFEST)
        for number, zone in zip(
            range(111, 117), itertools.cycle(('bdg-a', 'bdg-b', 'bgr-c'))
        ):
            host = f'{base}.{number}'
            self.upstreams.append(
                await start_upstream(
                    store=self.store,
                    service='writer-pool',
                    zone=zone,
                    host=host,
                    port=pick_port(host),
                    arrivals=self.arrivals,
                    answer=answer,
                )
            )
        self.site = Site(self.store.address)
        for _number in range(3):
            self.site.add(base)
        for node in self.site.nodes:
            self.site.start(node)
        return await self.site.wait_until_ready()

    async def send_sound(self) -> None:
        """Send sound requests without end, which share the first part."""
        for number in itertools.count():
            node = self.site.nodes[number % len(self.site.nodes)]
            asyncio.get_running_loop().create_task(
                self._send_one_sound(node, f'{FIRST_PART}:800,{number:08x}:120')
            )
            await asyncio.sleep(0.1)

    async def _send_one_sound(self, node: Node, prefix: str) -> None:
        self.sound.append(await self._send(node, prefix))

    async def _send(self, node: Node, prefix: str) -> Sent:
        return await request(
            node.at('front'),
            '/plan/1',
            method='POST',
            body=prefix.encode(),
            deadline_ms=12000,
            headers={
                'X-Model': 'daka510000',
                'X-Token-Usage': '1120,80',
                'X-Prompt-Prefix': prefix,
            },
        )

    async def send_crashing(self, number: int) -> Sent:
        """Send a request with the crashing part to one of the nodes."""
        node = self.site.nodes[number % len(self.site.nodes)]
        n_before = len(self.crashes())
        own = f'{0xC0000000 + len(self.sent):08x}'
        sent = await self._send(
            node, f'{FIRST_PART}:800,{CRASHING_PART}:200,{own}:120'
        )
        self.sent.append((node.name, sent))
        n_ran = len(self.crashes()) - n_before
        self.note(
            f'crashing part in {sent.request_id} to {node.name}: answered '
            f'{sent.status} {sent.code}, ran {n_ran} times'
        )
        return sent

    async def crash_until_blocked(self) -> bool:
        """Send it until it is stopped; return whether it was."""
        for number in range(10):
            n_before = len(self.crashes())
            await self.send_crashing(number)
            n_after = len(self.crashes())
            if n_after == n_before and n_after >= N_CRASHES - 1:
                return True
            await asyncio.sleep(1.5)
        return False

    async def wait_until_stored(self) -> bool:
        """Wait until nothing has been stored for a while."""
        until_s = time.monotonic() + 10
        while time.monotonic() < until_s:
            await asyncio.sleep(0.1)
            times_s = [
                at_s
                for at_s, table, _key in self.store.writes
                if table == BLOCK_TABLE
            ]
            if not times_s or times_s[-1] < self.crashes()[-1].at_s:
                continue
            if time.monotonic() - times_s[-1] > SETTLE_S:
                return True
        return False

    async def drill(self) -> None:
        """Let the store return from a copy of before the block was stored.

        The operator and the upstreams write again at once what they wrote.
        """
        age_s = time.monotonic() - self.crashes()[-1].at_s - COPY_LAG_S
        self.note(f'drill: the store returns from a copy {age_s:.1f} s old')
        await self.store.return_from_copy(age_s, AWAY_S)
        await self.store.put('op', 'config', MANIFEST)
        listed = {one.upstream_id for one in self.upstreams if one.server}
        for table, key in list(self.store.rows):
            if table == 'servers' and key not in listed:
                await self.store.delete('servers', key)
        for upstream in self.upstreams:
            if upstream.server:
                await upstream.register()

    def restart_all(self) -> None:
        """Kill all nodes at once and start them again."""
        for node in self.site.nodes:
            self.site.kill(node)
        for node in self.site.nodes:
            self.site.start(node, is_first=False)
        self.note('all nodes were killed and started again')


async def play(drills: bool, restarts: bool, record) -> int:
    """Play the case; return the exit code."""
    run = Play(record)
    try:
        if not await run.set_up():
            record('nodes are not ready')
            return 2
        await asyncio.sleep(4)
        traffic = asyncio.create_task(run.send_sound())
        await asyncio.sleep(3)
        if not await run.crash_until_blocked():
            record('the request was not blocked')
            return 2
        if not await run.wait_until_stored():
            record('the block was not stored')
            return 2
        run.note('the block is stored')
        if drills:
            await run.drill()
        await asyncio.sleep(6)
        restarted_s = time.monotonic()
        if restarts:
            run.restart_all()
            if not await run.site.wait_until_ready():
                record('nodes are not ready again')
                return 2
        # Machines are in touch again after this time.
        await asyncio.sleep(CONTACT_S + 2)
        until_s = time.monotonic() + LATE_S
        for number in itertools.count():
            if time.monotonic() > until_s:
                break
            await run.send_crashing(number)
            await asyncio.sleep(2)
        traffic.cancel()
        return judge(run, restarted_s)
    finally:
        if run.site is not None:
            run.site.close()


def judge(run: Play, restarted_s: float) -> int:
    """Count the requests that reached upstreams late enough.

    Late is later than ``contact-ms`` after the fifth crash, and when all
    machines have run, and the store has been sound, for that long.
    """
    ran = run.crashes()
    fifth_s = ran[N_CRASHES - 1].at_s if len(ran) >= N_CRASHES else 0
    late_s = max(fifth_s, restarted_s) + CONTACT_S
    late = [one for one in ran if fifth_s and one.at_s > late_s]
    n_sound = sum(one.status == 200 for one in run.sound)
    run.record(f'sound requests: {len(run.sound)}, {n_sound} answered 200')
    run.record(
        f'crashing part: sent {len(run.sent)} times, ran {len(ran)} times, '
        f'{len(late)} of these late ({MAX_LATE} allowed)'
    )
    return int(len(late) > MAX_LATE)


def main() -> int:
    """Run the case and write its record."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    drills = trouble and os.environ.get('DRILL', '1') != '0'
    lines: list[str] = []
    code = 2
    try:
        code = asyncio.run(play(drills, trouble, lines.append))
    except Exception as error:
        lines.append(repr(error))
    lines.append(f'trouble={int(trouble)} drill={int(drills)} exit={code}')
    path = pathlib.Path(__file__).with_name('record.txt')
    path.write_text('\n'.join(lines) + '\n')
    print('\n'.join(lines))
    return code


if __name__ == '__main__':
    sys.exit(main())
