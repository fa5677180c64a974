"""Structured log of numbered events with hybrid clock timestamps.

Each kind of event is rate-limited per second. Lines for standard output wait
in a bounded queue, which a task writes without blocking; lines for a file are
written immediately. Dropped lines are counted and reported in a separate
line.
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
from turmericcrank_core.hybrid_logical_clock import (
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
    """Queue of lines to be written, with the state of the rate limits.

    Attributes:
        lines: Encoded lines, oldest first.
        second: Second to which the counts apply.
        n_by_event: Number of lines in that second, by event.
        n_dropped: Number of dropped lines that are not reported yet.
    """

    lines: deque[bytes] = field(default_factory=deque)
    second: int = 0
    n_by_event: dict[int, int] = field(default_factory=dict)
    n_dropped: int = 0


class _QueueHandler(logging.Handler):
    """Log handler that appends formatted lines to a queue."""

    def __init__(self, queue: _LineQueue) -> None:
        super().__init__()
        self._queue = queue

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line, or drop and count it if the queue is full."""
        if len(self._queue.lines) >= _MAX_QUEUED:
            self._queue.n_dropped += 1
            return
        self._queue.lines.append(f'{self.format(record)}\n'.encode())


class EventLog:
    """Log of the events of one process, one JSON object per line.

    Args:
        process_id: Name of the process in the merged timeline.
        path: File to write to; ``-`` for standard output.
        count: Called with the name of each event, written or dropped.
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
            line_handler: logging.Handler = _QueueHandler(self._queue)
        else:
            line_handler = logging.FileHandler(path)
        line_handler.setFormatter(OrjsonFormatter('%(stamp)s'))
        self._logger.handlers = [line_handler]

    def stamp(self, received: Stamp | None = None) -> Stamp:
        """Advance the hybrid clock, past a received timestamp if given."""
        return advance_clock(self._clock, int(time.time() * _MS), received)

    def write(self, event: EventCode, /, **fields: Any) -> None:
        """Write one event.

        Args:
            event: Code of the event.
            fields: Additional log fields, such as request or revision.
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
        """Write queued lines until standard output blocks; keep the rest."""
        lines = self._queue.lines
        if not lines:
            return
        raw = b''.join(lines)
        lines.clear()
        try:
            n_written = os.write(_STDOUT, raw)
        except OSError:
            n_written = 0
        # Separate lines, as the bound of the queue counts them.
        lines.extend(raw[n_written:].splitlines(keepends=True))

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
    """Write queued lines to standard output periodically."""
    sys.stdout.flush()
    os.set_blocking(_STDOUT, False)
    while True:
        await trio.sleep(_FLUSH_INTERVAL_S)
        log.flush()
