"""The log while nobody reads standard output."""

import fcntl
import json
import os
import tracemalloc

import pytest
from turmericcrank_core.event_codes import EventCode
from turmericcrank_node import event_log
from turmericcrank_node.event_log import EventLog

_N_ROUNDS = 12
_N_LINES = 3000
_LINE_BYTES = 400
_MAX_BYTES = 2_500_000


@pytest.fixture
def output(monkeypatch):
    """Replace standard output by a pipe; return the end that is read."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    os.set_blocking(reader, False)
    monkeypatch.setattr(event_log, '_STDOUT', writer)
    monkeypatch.setattr(event_log, '_MAX_LINES_PER_S', _N_LINES)
    yield reader
    os.close(reader)
    os.close(writer)


def _make_log():
    """Make a log; it reads the next second before each round of lines."""
    return EventLog('n1', '-')


def _write_round(log, monkeypatch, number):
    monkeypatch.setattr(event_log.time, 'monotonic', lambda: float(number))
    for count in range(_N_LINES):
        log.write(EventCode.request_sent, count=count, detail='x' * _LINE_BYTES)
    log.flush()


def _read_all(log, reader):
    received = b''
    while True:
        log.flush()
        try:
            part = os.read(reader, 1 << 20)
        except BlockingIOError:
            return received
        received += part


def test_lost_a_log_that_nobody_reads_does_not_fill_the_memory(
    output, monkeypatch
):
    log = _make_log()
    tracemalloc.start()
    for number in range(_N_ROUNDS):
        _write_round(log, monkeypatch, number)
    used_bytes, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert used_bytes < _MAX_BYTES


def test_a_reader_that_is_late_gets_whole_lines_in_order(output, monkeypatch):
    log = _make_log()
    fcntl.fcntl(output, fcntl.F_SETPIPE_SZ, 4096)
    _write_round(log, monkeypatch, 0)
    _write_round(log, monkeypatch, 1)
    lines = _read_all(log, output).decode().splitlines()
    counts = [json.loads(line).get('count') for line in lines]
    first = counts[: counts.index(None)] if None in counts else counts
    assert first[:1000] == list(range(1000))
    assert all(line.startswith('{') for line in lines)
