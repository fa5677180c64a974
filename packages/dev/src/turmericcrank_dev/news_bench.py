"""Benchmark of the gossip messages between nodes."""

import time
from collections.abc import Iterator

from turmericcrank_node.membership.gossip_message import (
    GossipMessage,
    pack_gossip,
    unpack_gossip,
)

from turmericcrank_dev.experiments.results import BenchLine, make_line

__all__ = ('run_news',)

_US = 1e6
_N_MESSAGES = 5000
_N_SESSIONS = (0, 8, 60)


def run_news() -> Iterator[BenchLine]:
    """Measure size and time of a gossip message by number of sessions.

    The time covers packing and unpacking of one message, without sending it
    and without merging it into the state of the receiver.
    """
    baselines: list[float] = []
    for n_sessions in _N_SESSIONS:
        message = _make_message(n_sessions)
        measured = [float(len(pack_gossip(message))), _time_message(message)]
        baselines = baselines or measured
        name = f'news.{n_sessions}_sessions'
        yield make_line(
            f'{name}.bytes', measured[0], 'B', baseline=baselines[0]
        )
        yield make_line(
            f'{name}.time', measured[1], 'us', baseline=baselines[1]
        )


def _make_message(n_sessions: int) -> GossipMessage:
    """Create a message with one upstream in use per session, at most 16."""
    upstream_ids = [f'i-{number:010x}' for number in range(n_sessions)]
    return GossipMessage(
        node_id='front-data-centre-1',
        incarnation='0123456789ab',
        data_centre='data-centre',
        peer_address='10.1.0.40:8229',
        client_address='10.1.0.40:8227',
        is_ready=True,
        sent_s=1000.5,
        cluster_s=1000.5,
        echo_s=999.5,
        echo_incarnation='ba9876543210',
        echo_held_s=0.25,
        proofs=[(45, 40, 0, 0.5), (95, 90, 0, 0.5)],
        running_by_id=dict.fromkeys(upstream_ids[:16], 2),
        sessions=[[name[:10], 'v1', 400] for name in upstream_ids],
        tallies=[[name, 40, 1] for name in upstream_ids[:16]],
    )


def _time_message(message: GossipMessage) -> float:
    """Return the mean time per message, in microseconds."""
    started_s = time.perf_counter()
    for _ in range(_N_MESSAGES):
        unpack_gossip(pack_gossip(message))
    return (time.perf_counter() - started_s) / _N_MESSAGES * _US
