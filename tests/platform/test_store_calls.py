"""Tests for the adapter's calls to the store."""

import base64
import threading

import orjson
import pytest
import trio
from turmericcrank_core.crash_block import CrashBlock
from turmericcrank_core.rollout_phases import RolloutOrder, RolloutPhase
from turmericcrank_node.platform_port import (
    ChangedRow,
    Conflict,
    FeedPage,
    HistoryLost,
    RolloutRow,
    StoreUnavailable,
)
from turmericcrank_platform.block_rows import encode_blocks
from turmericcrank_platform.show import show_site

from tests.scripted_store import (
    STORED_PROGRESS,
    ScriptedStore,
    call_scripted_store,
    make_row_page,
    make_stored_row,
)


def test_changes_are_read_with_deletions():
    deleted_row = {'key': 'b', 'ver': 39, 'deleted': True}
    page, calls = call_scripted_store(
        lambda store: store.read_changes('op', 12, 0.7),
        (200, make_row_page(make_stored_row('a', 38, 1), deleted_row)),
    )
    rows = (ChangedRow('a', 38, b'1'), ChangedRow('b', 39, None))
    assert page == FeedPage(rows, 40, 7)
    assert b'/-/rows-feed?table=op&after=12&wait-ms=700 ' in calls[0]


def test_all_pages_of_a_table_are_read():
    page, calls = call_scripted_store(
        lambda store: store.read_table('servers'),
        (200, make_row_page(make_stored_row('a', 3, 1), truncated=True)),
        (200, make_row_page(make_stored_row('b', 4, 2), truncated=False)),
    )
    assert [row.key for row in page.rows] == ['a', 'b']
    assert b'from=a%00' in calls[1]


@pytest.mark.parametrize(
    ('response', 'error_type'),
    [
        ((410, {}), HistoryLost),
        ((503, {}), StoreUnavailable),
        ((429, {}), StoreUnavailable),
        (None, StoreUnavailable),
    ],
)
def test_lost_history_is_distinguished_from_an_unavailable_store(
    response, error_type
):
    outcome, _ = call_scripted_store(
        lambda store: store.read_changes('op', 1, 0), response
    )
    assert isinstance(outcome, error_type)


def test_rollout_progress_is_written_conditionally_with_its_status():
    order = RolloutOrder('s1', 'v2', 12, 33)
    row = RolloutRow(order, RolloutPhase.rolled_back, 5.0, 8)
    written, calls = call_scripted_store(
        lambda store: store.write_rollout(row), (200, {'ver': 41})
    )
    assert written == 41
    body = orjson.loads(calls[0].partition(b'\r\n\r\n')[2])
    assert body['expect-rev'][0]['ver'] == 8
    status = orjson.loads(base64.b64decode(body['puts'][1]['value']))
    assert body['puts'][1]['table'] == 'status'
    assert status == {'service': 's1', 'to': 'v2', 'state': 'rolled_back'}
    conflict, _ = call_scripted_store(
        lambda store: store.write_rollout(row), (412, {})
    )
    assert isinstance(conflict, Conflict)


def test_stored_rollout_progress_is_decoded():
    row, _ = call_scripted_store(
        lambda store: store.read_rollout('s1'),
        (200, make_row_page(make_stored_row('s1', 8, STORED_PROGRESS))),
    )
    order = RolloutOrder('s1', 'v2', 12, 33)
    assert row == RolloutRow(order, RolloutPhase.full, 5.0, 8)
    absent, _ = call_scripted_store(
        lambda store: store.read_rollout('s1'), (200, make_row_page())
    )
    assert absent is None


def test_show_prints_the_state_in_the_store(capsys):
    route = {
        'name': 'r1',
        'host': 'site.example',
        'prefix': '/plans/',
        'kind': 'idempotent',
        'timeout-ms': 900,
        'service': 's1',
    }
    table = {'version': 7, 'routes': [route], 'services': []}
    order = {'service': 's1', 'to': 'v2', 'duration-s': 12}
    stored_progress = {
        **STORED_PROGRESS,
        'phase': 4,
    }
    responses = (
        make_row_page(
            make_stored_row('config', 3, table),
            make_stored_row('rollout/s1', 33, order),
        ),
        make_row_page(make_stored_row('s1', 8, stored_progress)),
        make_row_page(make_stored_row('i-1', 4, {'service': 's1'})),
        make_row_page(make_stored_row('n1', 5, {'address': '10.0.0.1:3'})),
    )
    _run_show(*((200, page) for page in responses))
    assert capsys.readouterr().out.splitlines() == [
        'revision 7, row version 3',
        'route r1 site.example/plans/: s1 1',
        'rollout s1 to v2: rolled_back',
        'upstream i-1: malformed row',
        'node n1 at 10.0.0.1:3',
    ]


def test_show_reports_an_unavailable_store(capsys):
    with pytest.raises(SystemExit):
        _run_show((503, {}))
    assert 'status 503' in capsys.readouterr().err


def _run_show(*responses):
    """Run the show command against a store that runs in its own thread."""
    store = ScriptedStore(*responses)
    started = threading.Event()
    address = []

    async def main():
        async with trio.open_nursery() as nursery:
            address.append(await nursery.start(store.serve))
            started.set()
            while store.responses:
                await trio.sleep(0.01)
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()

    thread = threading.Thread(target=trio.run, args=(main,))
    thread.start()
    started.wait()
    try:
        show_site(address[0])
    finally:
        thread.join()


@pytest.mark.parametrize(
    'body',
    ['text', [], {}, {'rows': 5}, {'rows': [{'key': 3}], 'ver': 'x'}, None],
)
def test_a_malformed_store_response_counts_as_unavailable(body):
    """Each body raised an error in a background task and ended the node."""
    for read in (
        lambda store: store.read_changes('op', 1, 0),
        lambda store: store.read_table('op'),
        lambda store: store.read_rollout('s1'),
        lambda store: store.read_nodes(),
        lambda store: store.write_node('n1', 'a:1'),
    ):
        outcome, _ = call_scripted_store(read, (200, body))
        assert isinstance(outcome, StoreUnavailable)


def test_malformed_node_rows_are_ignored():
    peer_addresses, _ = call_scripted_store(
        lambda store: store.read_nodes(),
        (
            200,
            make_row_page(
                make_stored_row('n1', 3, {'address': '10.0.0.1:1'}),
                make_stored_row('n2', 4, {'address': 7}),
                make_stored_row('n3', 5, 'x'),
            ),
        ),
    )
    assert peer_addresses == {'n1': '10.0.0.1:1'}


def test_stored_blocks_are_read_as_they_were_written():
    """Malformed rows are ignored."""
    block = CrashBlock(frozenset(('p1', 'p2')), 10.5, 9.25, 2, 12.0)
    written = encode_blocks([block], [frozenset(('p3',))])
    stored = orjson.loads(base64.b64decode(written['puts'][0]['value']))
    blocks, _ = call_scripted_store(
        lambda store: store.read_blocks(),
        (
            200,
            make_row_page(
                make_stored_row('b1', 3, stored),
                make_stored_row('b2', 4, {'keys': 7}),
                make_stored_row('b3', 5, {**stored, 'keys': []}),
            ),
        ),
    )
    assert blocks == (block,)
    assert written['delete'][0]['key'] != written['puts'][0]['key']


def test_blocks_are_not_written_while_the_store_is_unavailable():
    outcome, _ = call_scripted_store(
        lambda store: store.write_blocks([], []), (503, {})
    )
    assert isinstance(outcome, StoreUnavailable)
