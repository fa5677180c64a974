"""When a node writes itself into the list of nodes in the store."""

import trio
from trio.testing import MockClock
from turmericcrank_core.table_staleness import record_complete_read
from turmericcrank_node.membership.gossip_server import serve_gossip
from turmericcrank_node.state.node_state import read_boottime_s

from tests.router_builders import make_route, make_table
from tests.router_fakes import VERSIONS_PER_ERA, FakeRows, make_node_state

_ENOUGH_S = 10


def _play_changes(*versions):
    """Let a node read the store at each version, after its row was lost.

    Returns:
        For the start and each version, whether the node has registered itself.
    """
    rows = FakeRows()
    state = make_node_state(make_table(make_route()), rows)
    seen = []

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve_gossip, state)
            await trio.sleep(_ENOUGH_S)
            seen.append('n1' in rows.members)
            for version in versions:
                rows.members.clear()
                record_complete_read(
                    state.configuration_staleness, version, 0, read_boottime_s()
                )
                await trio.sleep(_ENOUGH_S)
                seen.append('n1' in rows.members)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0.02))
    return seen


def test_a_node_registers_again_when_the_store_lost_its_row():
    """Else a node that starts later finds none when its seeds are gone.

    The store returned from a copy that is older than the registration.
    """
    assert _play_changes(VERSIONS_PER_ERA, 2 * VERSIONS_PER_ERA) == [True] * 3


def test_a_node_registers_once_while_the_store_keeps_its_rows():
    assert _play_changes(VERSIONS_PER_ERA - 1) == [True, False]
