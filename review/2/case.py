"""A worker leaves while the nodes are restarted in turn.

Eight nodes get SIGTERM one after the other, a second apart, and start again
as soon as they have ended. Just after the node that reads the store for all
others has ended, the entry of a worker is removed: it leaves without having
reported ``draining``. The worker serves for some more seconds.
"""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import time
import traceback
from collections import Counter

from standins.client import Consumer, Directory
from standins.deployment import (
    QARATAU_BOUNDS,
    Deployment,
    Record,
    find_free_port,
    pick_host,
)
from standins.manifest import HOST, make_manifest, make_plain_route
from standins.store import Store
from standins.worker import Worker

_SERVICE = 'xano55b'
_KEY = 'keykept0000000000001'
_ZONES = ('alm-north', 'alm-south', 'alm-east', 'alm-west')
# The order of the restarts; the first name in the alphabet reads the store.
_NAMES = (
    'front-alm-west-1',
    'front-alm-south-2',
    'front-alm-north-2',
    'front-alm-north-3',
    'front-alm-east-2',
    'front-alm-east-1',
    'front-alm-south-1',
    'front-alm-north-1',
)
_READER = 'front-alm-east-1'
_GAP_S = 1.0
_RESTART_S = 0.2
_REMOVED_AFTER_S = 0.1
_SERVES_ON_S = 10
_PERIOD_S = 0.05
_CONSUMERS_PER_ZONE = 3
_DRAIN_S = QARATAU_BOUNDS['drain-ms'] / 1000
_CONTACT_S = QARATAU_BOUNDS['contact-ms'] / 1000


def make_directory(deployment: Deployment, zone: str) -> Directory:
    """List the nodes for a consumer, those of its own zone first."""
    nodes = sorted(
        deployment.nodes.values(), key=lambda node: node.zone != zone
    )
    return Directory([node.listen['directory'] for node in nodes], HOST, zone)


async def keep_asking(consumer: Consumer) -> None:
    """Send slot checks until cancelled."""
    while True:
        began_s = time.monotonic()
        await consumer.send('GET', '/slots/today', 1.5)
        await asyncio.sleep(max(0, began_s + _PERIOD_S - time.monotonic()))


class Restarts:
    """Restarts the nodes in turn and notes when each was not calm."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._deployment = deployment
        self._record = record
        self.reader_ended = asyncio.Event()
        self.terminated_s: dict[str, float] = {}
        self.started_s: dict[str, float] = {}

    async def restart(self, name: str, *, with_term: bool) -> None:
        """Terminate one node, wait for its end, start it again."""
        if with_term:
            self.terminated_s[name] = time.monotonic()
            self._record.write(f'SIGTERM to {name}')
            self._deployment.signal(name, signal.SIGTERM)
        process = self._deployment.nodes[name].process
        while process.poll() is None:
            await asyncio.sleep(0.005)
        self._record.write(f'{name} ended with {process.returncode}')
        if name == _READER:
            self.reader_ended.set()
        await asyncio.sleep(_RESTART_S)
        self._deployment.start(name)
        self.started_s[name] = time.monotonic()
        self._record.write(f'{name} started again')

    def is_calm(self, name: str, at_s: float) -> bool:
        """Return whether a node was in touch at a time."""
        began_s = self.terminated_s.get(name)
        if began_s is None or at_s < began_s:
            return True
        started_s = self.started_s.get(name)
        return started_s is not None and at_s > started_s + _CONTACT_S


async def play(record: Record, folder: pathlib.Path, *, trouble: bool) -> int:
    """Play the case; return the exit status."""
    store_host = pick_host()
    store = Store(store_host, find_free_port(store_host))
    await store.start()
    route = make_plain_route(_SERVICE)
    store.put('op', 'config', make_manifest(3, [route], [_KEY]))
    workers = []
    for number, zone in enumerate(_ZONES):
        host = pick_host()
        address = (host, find_free_port(host))
        worker = Worker(store, f'i-{number}', _SERVICE, address, zone)
        await worker.start()
        workers.append(worker)
    leaver = workers[0]
    deployment = Deployment(folder, store.address, QARATAU_BOUNDS)
    for name in _NAMES:
        deployment.add(name, name.rpartition('-')[0].removeprefix('front-'))
    restarts = Restarts(deployment, record)
    tasks: list[asyncio.Task] = []
    consumers: list[Consumer] = []
    try:
        for name in _NAMES:
            deployment.start(name, is_first=True)
        for name in _NAMES:
            if not await deployment.wait_until_ready(name):
                record.write(f'{name} did not become ready')
                return 2
        await asyncio.sleep(3)
        consumers = [
            Consumer('', HOST, _KEY, zone, make_directory(deployment, zone))
            for zone in _ZONES
            for _number in range(_CONSUMERS_PER_ZONE)
        ]
        tasks = [
            asyncio.create_task(keep_asking(consumer)) for consumer in consumers
        ]
        await asyncio.sleep(2)
        if trouble:
            for name in _NAMES:
                tasks.append(
                    asyncio.create_task(restarts.restart(name, with_term=True))
                )
                await asyncio.sleep(_GAP_S)
            await restarts.reader_ended.wait()
        await asyncio.sleep(_REMOVED_AFTER_S)
        version = store.delete('servers', leaver.worker_id)
        removed_s = time.monotonic()
        record.write(f'entry of {leaver.worker_id} removed at {version}')
        await asyncio.sleep(_SERVES_ON_S)
        leaver.stop()
        record.write(f'{leaver.worker_id} ended')
        names = {
            node.listen['front']: name
            for name, node in deployment.nodes.items()
        }
        return judge(record, restarts, leaver, consumers, names, removed_s)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for consumer in consumers:
            consumer.close()
        deployment.stop_all()
        for name in _NAMES:
            for event in deployment.read_events(name, 'upstream_missing'):
                event.pop('stamp')
                record.write(f'log {event}')


def judge(
    record: Record,
    restarts: Restarts,
    leaver: Worker,
    consumers: list[Consumer],
    names: dict[str, str],
    removed_s: float,
) -> int:
    """Count the requests that reached the leaver after the bound.

    Only requests count that a consumer sent after the bound too.
    """
    attempts = {
        attempt.request_id: attempt
        for consumer in consumers
        for attempt in consumer.attempts
    }
    n_late = n_before = 0
    statuses = Counter(attempt.status for attempt in attempts.values())
    record.write(f'statuses of all requests: {dict(statuses)}')
    for run in leaver.runs:
        attempt = attempts[run.request_id]
        after_s = attempt.sent_s - removed_s
        name = names[attempt.address]
        is_calm = restarts.is_calm(name, run.at_s)
        is_late = after_s > _DRAIN_S and is_calm and run.is_run
        n_late += is_late
        n_before += after_s <= 0
        record.write(
            f'{leaver.worker_id} got a request from {name}'
            f' {after_s:+.3f} s from its removal, in touch {is_calm},'
            f' status {attempt.status}{" LATE" if is_late else ""}'
        )
    record.write(
        f'requests at the worker later than {_DRAIN_S:.0f} s after the removal'
        f' was acknowledged, from nodes in touch: {n_late}'
    )
    if not n_before:
        return 2
    return 1 if n_late else 0


def main() -> int:
    """Run the case with or without the trouble."""
    record = Record(pathlib.Path(__file__).with_name('record.txt'))
    trouble = os.environ.get('TROUBLE', '1') != '0'
    with tempfile.TemporaryDirectory() as folder:
        try:
            status = asyncio.run(
                play(record, pathlib.Path(folder), trouble=trouble)
            )
        except Exception:
            record.write(traceback.format_exc())
            status = 2
    record.write(f'exit status {status}')
    record.close()
    return status


if __name__ == '__main__':
    sys.exit(main())
