"""Reads from the logs of nodes when they sent requests on."""

import json
import pathlib
import time
from collections.abc import Iterator

from tests.soak.record import Run

__all__ = ('read_sending_times',)

_SENT = b'"name":"request_sent"'
_MS_PER_S = 1000


def read_sending_times(
    run: Run, folder: pathlib.Path, ids_by_process: dict[str, str]
) -> None:
    """Note with each arrival when its node sent it.

    The clock of the logs and that of the record are taken as one apart from a
    constant, as all processes run on one machine.
    """
    offset_s = time.time() - time.monotonic()
    sent_s: dict[tuple[str, str], list[float]] = {}
    for event in _read_events(folder):
        key = (event['request'], event['upstream'])
        at_s = float(event['stamp'].partition('.')[0]) / _MS_PER_S - offset_s
        sent_s.setdefault(key, []).append(at_s)
    for arrival in run.arrivals:
        key = (arrival.request_id, ids_by_process[arrival.upstream])
        times = sorted(sent_s.get(key, ()))
        before = [at_s for at_s in times if at_s <= arrival.read_s]
        if before:
            arrival.handed_s = before[-1]


def _read_events(folder: pathlib.Path) -> Iterator[dict[str, str]]:
    for path in sorted(folder.glob('*.log')):
        for line in path.read_bytes().splitlines():
            if _SENT in line and line.endswith(b'}'):
                yield json.loads(line)
