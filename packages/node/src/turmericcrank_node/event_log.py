"""Structured logs: numbered events stamped by a hybrid clock.

Lines to standard output are written by a task and never block: they wait in
a bounded queue, each kind of event has a budget a second, and what was left
out is counted and told in a line of its own.
"""

import logging
import os
import sys
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio
from pythonjsonlogger.orjson import OrjsonFormatter
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.hybrid_clock import (
    ClockState,
    Stamp,
    advance_clock,
)

__all__ = ('EventLog', 'serve_log')

_MS = 1000
_MAX_QUEUED = 2000
_MAX_LINES_PER_S = 60
_FLUSH_INTERVAL_S = 0.25
_STDOUT = 1


@dataclass(slots=True)
class _LineQueue:
    """Lines that wait to be written.

    Attributes:
        lines: The lines, oldest first.
        second: Second that the budget is for.
        n_by_event: Lines of this second, by event.
        n_left_out: Lines that were left out and not told of yet.
    """

    lines: deque[bytes] = field(default_factory=deque)
    second: int = 0
    n_by_event: dict[int, int] = field(default_factory=dict)
    n_dropped: int = 0


class _QueueHandler(logging.Handler):
    """Puts formatted lines into the queue."""

    def __init__(self, queue: _LineQueue) -> None:
        super().__init__()
        self._queue = queue

    def emit(self, record: logging.LogRecord) -> None:
        """Keep one line, or count it when the queue is full."""
        if len(self._queue.lines) >= _MAX_QUEUED:
            self._queue.n_dropped += 1
            return
        self._queue.lines.append(f'{self.format(record)}\n'.encode())


class EventLog:
    """Writes the events of one process, one JSON object a line.

    Args:
        process_id: Name of the process on the time line.
        path: File to write to; ``-`` for standard output.
        count: Told the name of each event, written or left out.
    """

    __slots__ = ('_clock', '_count', '_logger', '_process_id', '_queue')

    def __init__(
        self,
        process_id: str,
        path: str,
        count: Callable[[str], None] | None = None,
    ) -> None:
        self._count = count
        self._process_id = process_id
        self._clock = ClockState()
        self._queue = _LineQueue()
        self._logger = logging.getLogger(f'turmericcrank.{process_id}')
        self._logger.setLevel(logging.INFO)
        self._logger.propagate = False
        if path == '-':
            handler: logging.Handler = _QueueHandler(self._queue)
        else:
            handler = logging.FileHandler(path)
        handler.setFormatter(OrjsonFormatter('%(stamp)s'))
        self._logger.handlers = [handler]

    def stamp(self, received: Stamp | None = None) -> Stamp:
        """Advance the clock, past a received stamp if there is one."""
        return advance_clock(self._clock, int(time.time() * _MS), received)

    def write(self, event: EventCode, /, **fields: Any) -> None:
        """Write one event.

        Args:
            event: Number of the event in the catalogue.
            fields: What belongs to it, such as request or revision.
        """
        if self._count is not None:
            self._count(event.name)
        if not self._consume_budget(event):
            return
        entry = {
            'stamp': str(self.stamp()),
            'process': self._process_id,
            'event': int(event),
            'name': event.name,
            **fields,
        }
        self._logger.info(entry)

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        lines = self._queue.lines
        if not lines:
            return
        raw = b''.join(lines)
        lines.clear()
        try:
            n_written = os.write(_STDOUT, raw)
        except OSError:
            n_written = 0
        if n_written < len(raw):
            lines.append(raw[n_written:])

    def _consume_budget(self, event: EventCode) -> bool:
        queue = self._queue
        second = int(time.monotonic())
        if second != queue.second:
            queue.second = second
            queue.n_by_event.clear()
            n_dropped = queue.n_dropped
            queue.n_dropped = 0
            if n_dropped:
                self.write(EventCode.lines_left_out, count=n_dropped)
        count = queue.n_by_event.get(event, 0)
        queue.n_by_event[event] = count + 1
        if count >= _MAX_LINES_PER_S:
            queue.n_dropped += 1
            return False
        return True


async def serve_log(log: EventLog) -> None:
    """Write the lines that wait to standard output for ever."""
    sys.stdout.flush()
    os.set_blocking(_STDOUT, False)
    while True:
        await trio.sleep(_FLUSH_INTERVAL_S)
        log.flush()
