"""Fakes for the external interfaces of a node."""

import random
from collections import deque

import trio
import trio.testing
from expression import Error, Ok
from turmericcrank_core.revisions import Snapshot, adopt_snapshot
from turmericcrank_core.selection import (
    SelectionSettings,
    build_ring,
    make_selector,
)
from turmericcrank_core.sessions import make_signer
from turmericcrank_dev.platform_state import PlatformState, transact
from turmericcrank_dev.site_data import NodePorts, build_node_settings
from turmericcrank_node.metrics import make_metrics
from turmericcrank_node.settings import check_settings
from turmericcrank_node.state.node_context import NodeContext
from turmericcrank_node.state.store import (
    StoreClient,
    StoredRow,
    StoreFault,
    WriteOutcome,
)

DONE = 'done'
NOT_DONE = 'not done'
LOST_REPLY = 'lost reply'
LATE = 'late'
_LATE_S = 5


class FakeLog:
    def __init__(self):
        self.events = []

    def write(self, event, /, **fields):
        self.events.append((event.name, fields))

    def stamp(self, _received=None):
        return ''


class FakeStore(StoreClient):
    """In-memory platform tables with one injected fault per transaction.

    A transaction with the fault ``late`` fails with a timeout and takes
    effect ``_LATE_S`` seconds later.
    """

    def __init__(self, state, faults=(), nursery=None):
        super().__init__(http=None)
        self.state = state
        self.faults = deque(faults)
        self.nursery = nursery
        self.is_down = False

    async def transact(self, operations, independent=False):
        raw = [
            {
                'table': operation.table,
                'key': operation.key,
                'expect': operation.expect,
                'body': operation.body,
            }
            for operation in operations
        ]
        await trio.sleep(0.01)
        fault = self._next_fault()
        if fault == NOT_DONE:
            return self._record_failure(
                StoreFault('refused', may_have_applied=False)
            )
        if fault == LATE:
            self.nursery.start_soon(self._apply_late, raw, independent)
            return self._record_failure(
                StoreFault('timeout', may_have_applied=True)
            )
        outcomes = transact(self.state, raw, independent)
        if fault == LOST_REPLY:
            return self._record_failure(
                StoreFault('timeout', may_have_applied=True)
            )
        self.n_failed = 0
        return Ok(
            [
                WriteOutcome(one['ok'], one['version'], one['body'])
                for one in outcomes
            ]
        )

    async def read(self, keys):
        await trio.sleep(0.01)
        if self.is_down:
            return self._record_failure(
                StoreFault('refused', may_have_applied=False)
            )
        self.n_failed = 0
        return Ok([self._find(table, key) for table, key in keys])

    async def scan(self, table, after='', limit=100):
        rows = self.state.rows_by_table.get(table, {})
        return Ok(
            [
                StoredRow(rows[key].version, rows[key].body, key)
                for key in sorted(rows)[:limit]
            ]
        )

    async def write_object(self, name, body):
        self.state.objects_by_name[name] = body
        return Ok(None)

    async def read_object(self, name):
        return Ok(self.state.objects_by_name.get(name))

    async def _apply_late(self, raw, independent):
        await trio.sleep(_LATE_S)
        transact(self.state, raw, independent)

    def _next_fault(self):
        if self.is_down:
            return NOT_DONE
        return self.faults.popleft() if self.faults else DONE

    def _find(self, table, key):
        row = self.state.rows_by_table.get(table, {}).get(key)
        if row is None:
            return StoredRow(0, None, key)
        return StoredRow(row.version, row.body, key)


def make_context(store, name='n1', raw_tables=None, nursery=None):
    ports = NodePorts(name, 'dc1', 7001, 7002)
    settings = check_settings(build_node_settings(ports, 7000, '-')).ok
    random_source = random.Random(1)
    ctx = NodeContext(
        settings=settings,
        log=FakeLog(),
        metrics=make_metrics('none', name),
        store=store,
        upstream_http=None,
        single_use_http=None,
        random_source=random_source,
        incarnation=f'{name}-1',
        signer=make_signer(settings.session_keys),
    )
    ctx.select = make_selector(ctx.loads, SelectionSettings(), random_source)
    ctx.nursery = nursery
    if raw_tables is not None:
        adopt_snapshot(ctx.revision, Snapshot(1, raw_tables))
        pools = ctx.revision.tables.pools_by_name
        ctx.rings_by_pool = {
            pool_name: build_ring(pool) for pool_name, pool in pools.items()
        }
    return ctx


def make_state():
    return PlatformState()


def run(scenario):
    """Run an async function on a mock clock that skips all waits."""

    async def main():
        async with trio.open_nursery() as nursery:
            outcome = await scenario(nursery)
            nursery.cancel_scope.cancel()
        return outcome

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def fail_with(text):
    return Error(StoreFault(text, may_have_applied=False))
