"""Tests for the adapter's calls to the store."""

import base64
import threading

import orjson
import pytest
import trio
from turmericcrank_core.rollout_phases import RolloutOrder, RolloutPhase
from turmericcrank_node.platform_port import (
    ChangedRow,
    Conflict,
    FeedPage,
    HistoryLost,
    RolloutRow,
    StoreUnavailable,
)
from turmericcrank_platform.show import show_site
from turmericcrank_platform.store import make_store

_STORED_PROGRESS = {
    'version': 'v2',
    'duration_s': 12,
    'number': 33,
    'phase': 2,
    'began_ms': 5.0,
}
# Time after which a late response arrives, in seconds.
_LATE_S = 0.3


class _ScriptedStore:
    """Responds to each call with the next status and body.

    A third item is the era of the store, a fourth one the time after which it
    responds, in seconds. For None it closes the connection without a response.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.calls = []

    async def serve(self, task_status):
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        host, port = listeners[0].socket.getsockname()
        task_status.started(f'{host}:{port}')
        await trio.serve_listeners(self._respond, listeners)

    async def _respond(self, stream):
        raw = await stream.receive_some()
        self.calls.append(raw)
        response = self.responses.pop(0)
        if response is not None:
            status, body, *rest = response
            era, delay_s = rest[:1], rest[1:]
            await trio.sleep(sum(delay_s))
            text = orjson.dumps(body)
            lines = [
                f'HTTP/1.1 {status} X',
                f'Content-Length: {len(text)}',
                *(f'Store-Era: {one}' for one in era),
            ]
            head = '\r\n'.join((*lines, '', ''))
            await stream.send_all(head.encode('latin-1', 'replace') + text)
        await stream.aclose()


def _call_store(operation, *responses):
    store = _ScriptedStore(*responses)

    async def main():
        async with trio.open_nursery() as nursery:
            address = await nursery.start(store.serve)
            outcome = await operation(make_store(address))
            nursery.cancel_scope.cancel()
        return outcome

    return trio.run(main), store.calls


def _make_page(*rows, **fields):
    return {'rows': list(rows), 'ver': 40, 'now-ms': 7, **fields}


def _make_stored_row(key, version, body):
    text = base64.b64encode(orjson.dumps(body)).decode()
    return {'key': key, 'ver': version, 'value': text}


def test_changes_are_read_with_deletions():
    deleted_row = {'key': 'b', 'ver': 39, 'deleted': True}
    page, calls = _call_store(
        lambda store: store.read_changes('op', 12, 0.7),
        (200, _make_page(_make_stored_row('a', 38, 1), deleted_row)),
    )
    rows = (ChangedRow('a', 38, b'1'), ChangedRow('b', 39, None))
    assert page == FeedPage(rows, 40, 7)
    assert b'/-/rows-feed?table=op&after=12&wait-ms=700 ' in calls[0]


def test_all_pages_of_a_table_are_read():
    page, calls = _call_store(
        lambda store: store.read_table('servers'),
        (200, _make_page(_make_stored_row('a', 3, 1), truncated=True)),
        (200, _make_page(_make_stored_row('b', 4, 2), truncated=False)),
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
    outcome, _ = _call_store(
        lambda store: store.read_changes('op', 1, 0), response
    )
    assert isinstance(outcome, error_type)


def _read_then_follow(first, *later):
    """Read a table, then its changes after that; return all outcomes."""

    async def follow(store):
        pages = [await store.read_table('op')]
        for _ in later:
            pages.append(await store.read_changes('op', pages[0].version, 0))
        return pages

    return _call_store(follow, first, *later)[0]


def test_a_version_that_is_given_out_again_hides_no_change():
    """The store came back from a copy and has reached the same version."""
    page, same_era, later_era = _read_then_follow(
        (200, _make_page(), 4), (200, _make_page(), 4), (200, _make_page(), 5)
    )
    assert same_era == page
    assert isinstance(later_era, HistoryLost)


def test_a_version_of_a_later_era_is_the_newer_one():
    row = _make_stored_row('a', 3, 1)
    before, _ = _call_store(
        lambda store: store.read_table('op'), (200, _make_page(ver=900), 4)
    )
    after, _ = _call_store(
        lambda store: store.read_table('op'), (200, _make_page(row, ver=5), 5)
    )
    assert after.version > before.version
    assert after.rows[0].version > before.version


@pytest.mark.parametrize('era', ['-1', 'x', '9' * 400, '3', '\u0664'])
def test_an_era_that_falls_or_cannot_be_read_is_ignored(era):
    page, followed = _read_then_follow(
        (200, _make_page(), 4), (200, _make_page(), era)
    )
    assert followed == page


def test_a_response_overtaken_by_a_later_era_counts_as_the_earlier_one():
    """Else versions of the lost history pass for versions of the new one.

    The store returns from a copy while the response to a read of the table is
    under way; another call hears of the new era first.
    """
    late = (200, _make_page(ver=900), 4)
    outcomes = _overtake_read_of_table(late, (200, _make_page(ver=5), 5))
    assert isinstance(outcomes['late'], StoreUnavailable)
    assert not isinstance(outcomes['early'], StoreUnavailable)


def test_changes_that_are_overtaken_by_a_later_era_count_as_lost_history():
    async def follow(store):
        page = await store.read_table('op')
        return await _overtake(
            lambda: store.read_changes('op', page.version, 0),
            lambda: store.read_table('servers'),
        )

    outcomes = _call_store(
        follow,
        (200, _make_page(), 4),
        (200, _make_page(), 4, _LATE_S),
        (200, _make_page(ver=5), 5),
    )[0]
    assert isinstance(outcomes['late'], HistoryLost)


def test_pages_of_a_table_from_two_eras_are_not_joined():
    """A row that only the lost history had would stay in the copy."""
    lost = _make_stored_row('a', 3, 1)
    outcome, _ = _call_store(
        lambda store: store.read_table('servers'),
        (200, _make_page(lost, truncated=True), 4),
        (200, _make_page(_make_stored_row('b', 2, 2), ver=2), 5),
    )
    assert isinstance(outcome, StoreUnavailable)


def _overtake_read_of_table(late, early):
    """Return the outcomes of two reads, the first answered after the second."""
    return _call_store(
        lambda store: _overtake(
            lambda: store.read_table('op'), lambda: store.read_table('servers')
        ),
        (*late, _LATE_S),
        early,
    )[0]


async def _overtake(late, early):
    """Run two calls, the second while the first waits for its response."""
    outcomes = {}

    async def keep_outcome(name, call):
        outcomes[name] = await call()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(keep_outcome, 'late', late)
        await trio.sleep(_LATE_S / 2)
        nursery.start_soon(keep_outcome, 'early', early)
    return outcomes


def test_changes_between_the_pages_of_a_table_are_read_again():
    page, _ = _call_store(
        lambda store: store.read_table('servers'),
        (200, _make_page(_make_stored_row('a', 3, 1), truncated=True, ver=4)),
        (200, _make_page(_make_stored_row('b', 5, 2), ver=6)),
    )
    assert page.version == 4


def test_rollout_progress_is_written_conditionally_with_its_status():
    order = RolloutOrder('s1', 'v2', 12, 33)
    row = RolloutRow(order, RolloutPhase.rolled_back, 5.0, 8)
    written, calls = _call_store(
        lambda store: store.write_rollout(row), (200, {'ver': 41})
    )
    assert written == 41
    body = orjson.loads(calls[0].partition(b'\r\n\r\n')[2])
    assert body['expect-rev'][0]['ver'] == 8
    status = orjson.loads(base64.b64decode(body['puts'][1]['value']))
    assert body['puts'][1]['table'] == 'status'
    assert status == {'service': 's1', 'to': 'v2', 'state': 'rolled_back'}
    conflict, _ = _call_store(lambda store: store.write_rollout(row), (412, {}))
    assert isinstance(conflict, Conflict)


def test_a_rollout_row_of_an_earlier_era_is_not_written_over():
    """Another phase may have got the same version since the return."""

    async def write_across_eras(store):
        row = await store.read_rollout('s1')
        await store.read_table('servers')
        return await store.write_rollout(row)

    written, calls = _call_store(
        write_across_eras,
        (200, _make_page(_make_stored_row('s1', 8, _STORED_PROGRESS)), 4),
        (200, _make_page(), 5),
        (200, {'ver': 41}, 5),
    )
    assert isinstance(written, Conflict)
    assert len(calls) == 2


def test_a_write_that_meets_a_later_era_proves_nothing():
    async def write_across_eras(store):
        return await store.write_rollout(await store.read_rollout('s1'))

    written, _ = _call_store(
        write_across_eras,
        (200, _make_page(_make_stored_row('s1', 8, _STORED_PROGRESS)), 4),
        (200, {'ver': 41}, 5),
    )
    assert isinstance(written, StoreUnavailable)


def test_stored_rollout_progress_is_decoded():
    row, _ = _call_store(
        lambda store: store.read_rollout('s1'),
        (200, _make_page(_make_stored_row('s1', 8, _STORED_PROGRESS))),
    )
    order = RolloutOrder('s1', 'v2', 12, 33)
    assert row == RolloutRow(order, RolloutPhase.full, 5.0, 8)
    absent, _ = _call_store(
        lambda store: store.read_rollout('s1'), (200, _make_page())
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
        **_STORED_PROGRESS,
        'phase': 4,
    }
    responses = (
        _make_page(
            _make_stored_row('config', 3, table),
            _make_stored_row('rollout/s1', 33, order),
        ),
        _make_page(_make_stored_row('s1', 8, stored_progress)),
        _make_page(_make_stored_row('i-1', 4, {'service': 's1'})),
        _make_page(_make_stored_row('n1', 5, {'address': '10.0.0.1:3'})),
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
    store = _ScriptedStore(*responses)
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
        outcome, _ = _call_store(read, (200, body))
        assert isinstance(outcome, StoreUnavailable)


def test_malformed_node_rows_are_ignored():
    peer_addresses, _ = _call_store(
        lambda store: store.read_nodes(),
        (
            200,
            _make_page(
                _make_stored_row('n1', 3, {'address': '10.0.0.1:1'}),
                _make_stored_row('n2', 4, {'address': 7}),
                _make_stored_row('n3', 5, 'x'),
            ),
        ),
    )
    assert peer_addresses == {'n1': '10.0.0.1:1'}
