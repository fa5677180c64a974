"""What a node may conclude from how current a peer's copy is."""

from dataclasses import replace

import trio
from turmericcrank_core.table_staleness import (
    TableStaleness,
    record_read,
    staleness_s,
)
from turmericcrank_node.membership.gossip_fields import make_staleness_rows
from turmericcrank_node.membership.gossip_merge import merge_message
from turmericcrank_node.membership.gossip_message import pack_rows
from turmericcrank_node.platform_port import ChangedRow, FeedPage
from turmericcrank_node.state import table_watch
from turmericcrank_node.state.node_state import read_boottime_s

from tests.gossip_builders import make_gossip_message
from tests.router_builders import make_route, make_table, make_upstream
from tests.router_fakes import FakeRows, make_node_state

# Versions of the store: a copy, the change of the rows that are left, and the
# deletion of another row.
_COPY = 90
_REMAINING_CHANGE = 80
_DELETION = 95
_NOW = 100
_COPY_AGE_S = 3
_REMAINING = ChangedRow('u1', _REMAINING_CHANGE, b'')
_DELETED = ChangedRow('u2', _DELETION, None)


def _make_node(node_id, *pages):
    """Make a node whose next reads of the upstreams return the pages."""
    rows = FakeRows(pages=list(pages))
    return make_node_state(make_table(make_route()), rows, node_id=node_id)


def _make_restarted_node():
    state = _make_node('restarted', FeedPage((_REMAINING,), _NOW, 0))
    state.upstream_staleness = TableStaleness()
    _read(state)
    return state


def _make_node_with_copy(node_id, *pages):
    """Make a node that has read the table from before the deletion."""
    state = _make_node(node_id, *pages)
    read_s = read_boottime_s() - _COPY_AGE_S
    state.upstream_staleness = TableStaleness()
    record_read(state.upstream_staleness, _COPY, _REMAINING_CHANGE, read_s)
    return state


def _read(state):
    watch = table_watch.TableWatch(
        'upstreams', 1, state.upstream_staleness, table_watch.apply_upstreams
    )
    planned = table_watch.plan_read(
        state, watch, read_boottime_s(), is_starting=False
    )
    trio.run(table_watch._read_once, state, watch, planned)


def _report(sender, receiver):
    """Let one node receive what another one knows of its copies."""
    now_s = read_boottime_s()
    message = make_gossip_message(
        node_id=sender.settings.node_id,
        echo_s=now_s,
        echo_incarnation=receiver.incarnation,
        proofs=make_staleness_rows(sender, now_s),
    )
    merge_message(receiver, message, now_s)


def _is_current(state):
    age_s = staleness_s(state.upstream_staleness, read_boottime_s())
    return age_s < _COPY_AGE_S / 2


def test_a_whole_read_proves_nothing_to_a_copy_from_before_it():
    """A deletion between the two reads leaves no trace in the whole read."""
    other = _make_node_with_copy('other')
    _report(_make_restarted_node(), other)
    assert not _is_current(other)


def test_one_node_that_reads_the_deletion_suffices_for_all():
    restarted = _make_restarted_node()
    reader = _make_node_with_copy('reader', FeedPage((_DELETED,), _NOW + 1, 0))
    _read(reader)
    _report(reader, restarted)
    third = _make_node_with_copy('third')
    record_read(
        third.upstream_staleness,
        _DELETION,
        _DELETION,
        read_boottime_s() - _COPY_AGE_S,
    )
    _report(restarted, third)
    assert _is_current(third)


def test_a_copy_that_a_peer_proves_current_takes_later_changes_from_it():
    """Else each node reads a change itself, since its versions have a gap."""
    reader = _make_node_with_copy('reader', FeedPage((), _NOW, 0))
    other = _make_node_with_copy('other')
    _read(reader)
    _report(reader, other)
    assert other.upstream_staleness.read_version == _NOW


def test_a_late_response_of_the_store_does_not_undo_a_newer_change():
    """A message with a newer change may arrive while the response is late."""
    state = _make_node_with_copy('reader')
    ready, draining = make_upstream('u1'), make_upstream('u1', is_draining=True)
    listed_by_body = {b'ready': ready, b'draining': draining}
    newer = pack_rows([('u1', _NOW, b'draining')])

    async def answer_late(*_asked):
        page = make_gossip_message(pages=[(1, _COPY, _NOW, newer)])
        merge_message(state, page, read_boottime_s())
        rows = (ChangedRow('u1', _DELETION, b'ready'),)
        return FeedPage(rows, _DELETION, 0)

    state.platform = replace(
        state.platform,
        store=replace(state.platform.store, read_changes=answer_late),
        decode_upstream=lambda row: listed_by_body[row.body],
    )
    _read(state)
    assert state.upstream_registry.by_id['u1'] == draining
