"""Plays one short run of real processes with troubles of one seed."""

import asyncio
import pathlib
from collections import Counter

from tests.soak.__main__ import judge
from tests.soak.play import play
from tests.soak.record import Ending
from tests.soak.scene import Options

_OPTIONS = Options(
    seed=50,
    seconds=25,
    kinds=frozenset(
        ('term', 'hup', 'stop', 'kill', 'config', 'pause', 'reset', 'crash')
    ),
    n_nodes=4,
    n_clients=30,
    n_engines=6,
)


def test_no_finding_in_a_run_of_real_processes(tmp_path: pathlib.Path) -> None:
    """No judge finds a broken rule while nodes and upstreams are disturbed."""
    run = asyncio.run(play(_OPTIONS, tmp_path))
    served = Counter(
        request.route
        for request in run.requests
        if request.ending is Ending.answered and request.status == 200
    )
    assert not list(judge(run))
    assert len(served) == 4
    assert min(served.values()) > 5
