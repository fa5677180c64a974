"""The store comes back from a copy, and a key is taken away at once.

In the seconds between the copy and the outage the operator changes the
manifest twice and a node that has just started registers itself. The outage
lasts 0.5 s. When the store is back, all that the operator and the workers
wrote is written again; what the system wrote is gone. Then the operator
takes a key away.
"""

import asyncio
import os
import pathlib
import sys
import tempfile
import time
import traceback

from standins.client import Consumer
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
_KEPT_KEY, _TAKEN_KEY = 'keykept0000000000001', 'keytaken000000000002'
_ZONES = ('alm-north', 'alm-south', 'alm-east', 'alm-west')
_AWAY_S = 0.5
_EDIT_DELAY_S = 0.2
_WATCH_S = 20
_PERIOD_S = 0.1
# The rule gives revoke-ms; outer-ms is added, to be on the safe side.
_ALLOWED_S = (QARATAU_BOUNDS['revoke-ms'] + QARATAU_BOUNDS['outer-ms']) / 1000


def make_edit(version: int, timeout_ms: int, keys: list[str]) -> dict:
    """Build a manifest with one idempotent route."""
    route = make_plain_route(_SERVICE, timeout_ms=timeout_ms)
    return make_manifest(version, [route], keys)


async def keep_asking(consumer: Consumer) -> None:
    """Send slot checks until cancelled."""
    while True:
        began_s = time.monotonic()
        await consumer.send('GET', '/slots/today', 1.5)
        await asyncio.sleep(max(0, began_s + _PERIOD_S - time.monotonic()))


async def play(record: Record, folder: pathlib.Path, *, trouble: bool) -> int:
    """Play the case; return the exit status."""
    store_host = pick_host()
    store = Store(store_host, find_free_port(store_host))
    await store.start()
    both = [_KEPT_KEY, _TAKEN_KEY]
    store.put('op', 'config', make_edit(3, 800, both))
    workers = []
    for number in (1, 2):
        host = pick_host()
        worker = Worker(
            store,
            f'i-{number}',
            _SERVICE,
            (host, find_free_port(host)),
            _ZONES[number],
        )
        await worker.start()
        workers.append(worker)
    deployment = Deployment(folder, store.address, QARATAU_BOUNDS)
    names = [f'front-{zone}-1' for zone in _ZONES]
    for name, zone in zip(names, _ZONES, strict=True):
        deployment.add(name, zone)
    tasks: list[asyncio.Task] = []
    consumers: list[Consumer] = []
    try:
        # The first node by name starts later, within the time that is lost.
        late, *first = names
        for name in first:
            deployment.start(name, is_first=True)
        for name in first:
            if not await deployment.wait_until_ready(name):
                record.write(f'{name} did not become ready')
                return 2
        await asyncio.sleep(3)
        copied = store.copy_content()
        record.write(f'copy of the store taken at version {copied.version}')
        n_writes = len(store.system_writes)
        deployment.start(late)
        if not await deployment.wait_until_ready(late):
            record.write(f'{late} did not become ready')
            return 2
        until_s = time.monotonic() + 5
        while len(store.system_writes) == n_writes:
            if time.monotonic() > until_s:
                record.write('the new node has not registered itself')
                return 2
            await asyncio.sleep(0.02)
        record.write(f'{late} has registered itself')
        written_again = []
        for version, timeout_ms in ((5, 810), (8, 820)):
            manifest = make_edit(version, timeout_ms, both)
            number = store.put('op', 'config', manifest)
            written_again.append(manifest)
            record.write(f'manifest {version} acknowledged at {number}')
            await asyncio.sleep(0.2)
        consumers = [
            Consumer(deployment.nodes[name].listen['front'], HOST, key, key)
            for name in names
            for key in both
        ]
        tasks = [
            asyncio.create_task(keep_asking(consumer)) for consumer in consumers
        ]
        await asyncio.sleep(1)
        record.write(f'newest version is {store.content.version}')
        if trouble:
            await store.go_away()
            record.write('store away')
            await asyncio.sleep(_AWAY_S)
            store.restore(copied)
            for manifest in written_again:
                store.put('op', 'config', manifest)
            await store.come_back()
            record.write(
                f'store back, era {store.era}, version {store.content.version}'
            )
            await asyncio.sleep(_EDIT_DELAY_S)
        number = store.put('op', 'config', make_edit(9, 820, [_KEPT_KEY]))
        acknowledged_s = time.monotonic()
        record.write(
            f'manifest 9 without {_TAKEN_KEY} acknowledged at {number}'
        )
        await asyncio.sleep(_WATCH_S)
        return judge(record, workers, consumers, acknowledged_s)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for consumer in consumers:
            consumer.close()
        deployment.stop_all()
        for name in names:
            if not (folder / f'{name}.log').exists():
                continue
            for event in deployment.read_events(
                name, 'revision_adopted', 'store_history_lost'
            ):
                event.pop('stamp')
                record.write(f'log {event}')


def judge(
    record: Record,
    workers: list[Worker],
    consumers: list[Consumer],
    acknowledged_s: float,
) -> int:
    """Count the requests with the key that ran after the bound."""
    run_ids = {
        run.request_id
        for worker in workers
        for run in worker.runs
        if run.is_run
    }
    n_kept = n_late = 0
    for consumer in consumers:
        for attempt in consumer.attempts:
            after_s = attempt.sent_s - acknowledged_s
            is_run = attempt.request_id in run_ids
            at_s = record.since_start_s(attempt.sent_s)
            record.write(
                f'sent {at_s:.3f} to {consumer.address} key {attempt.label}'
                f' status {attempt.status} ran {is_run}'
            )
            if after_s <= _ALLOWED_S or not is_run:
                continue
            if attempt.label == _TAKEN_KEY:
                n_late += 1
            else:
                n_kept += 1
    record.write(
        f'sent over {_ALLOWED_S:.0f} s after the acknowledgement and run:'
        f' {n_late} with the key that was taken away, {n_kept} with the other'
    )
    if not n_kept:
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
