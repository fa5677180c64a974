"""Simulations repeat whatever order the sets of a process have."""

import hashlib
import os
import subprocess
import sys

import trio

from tests.crash_simulation import start_crash_simulation
from tests.virtual_clock import use_virtual_clock

_N_UPSTREAMS = 15
_REQUESTS_PER_S = 60
_CRASHING_PER_S = 1.5
_PLAY_S = 4
_PRINT_PLAY = (
    'from tests.membership.test_repeatable_plays import print_play; '
    'print_play()'
)


def print_play():
    """Print a hash of all messages of a play with crashing upstreams."""

    async def play():
        simulation = start_crash_simulation(
            {'north': 25, 'south': 25, 'west': 25},
            _N_UPSTREAMS,
            _REQUESTS_PER_S,
        )
        simulation.start_crashing('crashing', _CRASHING_PER_S)
        simulation.run(_PLAY_S)
        digest = hashlib.sha256()
        for message in simulation.gossip.sent:
            row = (message.sender.node_id, message.n_bytes, message.sent_s)
            digest.update(repr(row).encode())
        assert simulation.crashes
        sys.stdout.write(digest.hexdigest())

    with use_virtual_clock():
        trio.run(play)


def _start_play(hash_seed):
    return subprocess.Popen(
        [sys.executable, '-c', _PRINT_PLAY],
        env={**os.environ, 'PYTHONHASHSEED': str(hash_seed)},
        stdout=subprocess.PIPE,
        text=True,
    )


def test_nodes_send_the_same_messages_whatever_the_hash_seed():
    plays = [_start_play(hash_seed) for hash_seed in (1, 2)]
    first, second = [play.communicate()[0] for play in plays]
    assert first
    assert first == second
