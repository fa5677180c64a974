"""Calls to a store that returns from a copy and gives out versions again."""

import pytest
import trio
from turmericcrank_node.platform_port import (
    Conflict,
    HistoryLost,
    StoreUnavailable,
)

from tests.scripted_store import (
    STORED_PROGRESS,
    call_scripted_store,
    make_row_page,
    make_stored_row,
)

# Time after which a late response arrives, in seconds.
_LATE_S = 0.3


def _read_then_follow(first, *later):
    """Read a table, then its changes after that; return all outcomes."""

    async def follow(store):
        pages = [await store.read_table('op')]
        for _ in later:
            pages.append(await store.read_changes('op', pages[0].version, 0))
        return pages

    return call_scripted_store(follow, first, *later)[0]


def test_a_version_that_is_given_out_again_hides_no_change():
    """The store came back from a copy and has reached the same version."""
    page, same_era, later_era = _read_then_follow(
        (200, make_row_page(), 4),
        (200, make_row_page(), 4),
        (200, make_row_page(), 5),
    )
    assert same_era == page
    assert isinstance(later_era, HistoryLost)


def test_a_version_of_a_later_era_is_the_newer_one():
    row = make_stored_row('a', 3, 1)
    before, _ = call_scripted_store(
        lambda store: store.read_table('op'), (200, make_row_page(ver=900), 4)
    )
    after, _ = call_scripted_store(
        lambda store: store.read_table('op'),
        (200, make_row_page(row, ver=5), 5),
    )
    assert after.version > before.version
    assert after.rows[0].version > before.version


@pytest.mark.parametrize('era', ['-1', 'x', '9' * 400, '3', '\u0664'])
def test_an_era_that_falls_or_cannot_be_read_is_ignored(era):
    page, followed = _read_then_follow(
        (200, make_row_page(), 4), (200, make_row_page(), era)
    )
    assert followed == page


def test_a_response_overtaken_by_a_later_era_counts_as_the_earlier_one():
    """Else versions of the lost history pass for versions of the new one.

    The store returns from a copy while the response to a read of the table is
    under way; another call hears of the new era first.
    """
    late = (200, make_row_page(ver=900), 4)
    outcomes = _overtake_read_of_table(late, (200, make_row_page(ver=5), 5))
    assert isinstance(outcomes['late'], StoreUnavailable)
    assert not isinstance(outcomes['early'], StoreUnavailable)


def test_changes_that_are_overtaken_by_a_later_era_count_as_lost_history():
    async def follow(store):
        page = await store.read_table('op')
        return await _overtake(
            lambda: store.read_changes('op', page.version, 0),
            lambda: store.read_table('servers'),
        )

    outcomes = call_scripted_store(
        follow,
        (200, make_row_page(), 4),
        (200, make_row_page(), 4, _LATE_S),
        (200, make_row_page(ver=5), 5),
    )[0]
    assert isinstance(outcomes['late'], HistoryLost)


def test_pages_of_a_table_from_two_eras_are_not_joined():
    """A row that only the lost history had would stay in the copy."""
    lost = make_stored_row('a', 3, 1)
    outcome, _ = call_scripted_store(
        lambda store: store.read_table('servers'),
        (200, make_row_page(lost, truncated=True), 4),
        (200, make_row_page(make_stored_row('b', 2, 2), ver=2), 5),
    )
    assert isinstance(outcome, StoreUnavailable)


def _overtake_read_of_table(late, early):
    """Return the outcomes of two reads, the first answered after the second."""
    return call_scripted_store(
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
    page, _ = call_scripted_store(
        lambda store: store.read_table('servers'),
        (200, make_row_page(make_stored_row('a', 3, 1), truncated=True, ver=4)),
        (200, make_row_page(make_stored_row('b', 5, 2), ver=6)),
    )
    assert page.version == 4


def test_a_rollout_row_of_an_earlier_era_is_not_written_over():
    """Another phase may have got the same version since the return."""

    async def write_across_eras(store):
        row = await store.read_rollout('s1')
        await store.read_table('servers')
        return await store.write_rollout(row)

    written, calls = call_scripted_store(
        write_across_eras,
        (200, make_row_page(make_stored_row('s1', 8, STORED_PROGRESS)), 4),
        (200, make_row_page(), 5),
        (200, {'ver': 41}, 5),
    )
    assert isinstance(written, Conflict)
    assert len(calls) == 2


def test_a_write_that_meets_a_later_era_proves_nothing():
    async def write_across_eras(store):
        return await store.write_rollout(await store.read_rollout('s1'))

    written, _ = call_scripted_store(
        write_across_eras,
        (200, make_row_page(make_stored_row('s1', 8, STORED_PROGRESS)), 4),
        (200, {'ver': 41}, 5),
    )
    assert isinstance(written, StoreUnavailable)
