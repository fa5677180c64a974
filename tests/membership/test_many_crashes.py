"""Crashes of many upstreams at once, beside which the tables must stay current.

Guards against the CONFIG incident of grown Kalendra: reports of crashes filled
the gossip messages, so a round took seconds on a slow link, and neither a
change nor the proof of a current copy arrived in time.
"""

import random

import trio
from turmericcrank_core.crash_evidence import CrashRecord, Suspect
from turmericcrank_core.table_staleness import record_read, staleness_s
from turmericcrank_node.state.crash_reports import PendingReport

from tests.gossip_simulation import start_simulation
from tests.virtual_clock import use_virtual_clock

_NODES = {'north': 17, 'south': 21, 'west': 18, 'east': 19}
_N_CRASHED = 20
# Crashed upstreams at which a node has requests, and how many at each.
_N_REPORTED = 1
_N_SUSPECTS = 6
_N_PARTS = 24
_READ_INTERVAL_S = 0.5
_PLAYED_S = 5
# Longest time until a configuration is in force, with 75 nodes.
_APPLY_S = 3


def _crash_many(node, now_s):
    """Let a node report that its requests crashed many upstreams."""
    rng = random.Random(node.node_id)
    for number in rng.sample(range(_N_CRASHED), _N_REPORTED):
        suspects = frozenset(
            Suspect(
                f'{node.node_id}-{number}-{index}',
                frozenset(
                    f'{node.node_id}-{number}-{index}-{part}'
                    for part in range(_N_PARTS)
                ),
            )
            for index in range(_N_SUSPECTS)
        )
        record = CrashRecord(f'i-{number:010}', now_s, suspects)
        node.state.crash_reports.by_crash[record] = PendingReport()


def _read_store(node, now_s):
    for staleness in (
        node.state.configuration_staleness,
        node.state.upstream_staleness,
    ):
        record_read(staleness, staleness.read_version, staleness.change, now_s)


def _play_crashes():
    """Return the worst staleness of a copy at any node, in seconds."""
    simulation = start_simulation(_NODES)
    reader = simulation.nodes[0]
    _read_store(reader, simulation.now_s)
    simulation.run(2)
    for crashing in simulation.nodes:
        _crash_many(crashing, simulation.now_s)
    worst_s = 0
    for _ in range(int(_PLAYED_S / _READ_INTERVAL_S)):
        _read_store(reader, simulation.now_s)
        reader.state.request_gossip()
        simulation.run(_READ_INTERVAL_S)
        ages_s = [
            staleness_s(node.state.configuration_staleness, simulation.now_s)
            for node in simulation.nodes
        ]
        worst_s = max(worst_s, *ages_s)
    return worst_s


def test_crashes_of_many_upstreams_do_not_delay_the_proof_of_a_current_copy():
    async def main():
        return _play_crashes()

    with use_virtual_clock():
        worst_s = trio.run(main)
    assert worst_s <= _APPLY_S
