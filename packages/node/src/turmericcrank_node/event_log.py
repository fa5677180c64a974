"""Structured logs: numbered events stamped by a hybrid clock."""

import logging
import sys
import time
from typing import Any

from pythonjsonlogger.orjson import OrjsonFormatter
from turmericcrank_core.event_codes import EventCode
from turmericcrank_core.hybrid_clock import (
    ClockState,
    Stamp,
    advance_clock,
)

__all__ = ('EventLog',)

_MS = 1000


class EventLog:
    """Writes the events of one process, one JSON object a line.

    Args:
        process_id: Name of the process on the time line.
        path: File to write to; ``-`` for standard error.
    """

    __slots__ = ('_clock', '_logger', '_process_id')

    def __init__(self, process_id: str, path: str) -> None:
        self._process_id = process_id
        self._clock = ClockState()
        self._logger = logging.getLogger(f'turmericcrank.{process_id}')
        self._logger.setLevel(logging.INFO)
        self._logger.propagate = False
        if path == '-':
            sink: logging.Handler = logging.StreamHandler(sys.stderr)
        else:
            sink = logging.FileHandler(path)
        sink.setFormatter(OrjsonFormatter('%(stamp)s'))
        self._logger.handlers = [sink]

    def stamp(self, received: Stamp | None = None) -> Stamp:
        """Advance the clock, past a received stamp if there is one."""
        return advance_clock(self._clock, int(time.time() * _MS), received)

    def write(self, event: EventCode, /, **fields: Any) -> None:
        """Write one event.

        Args:
            event: Number of the event in the catalogue.
            fields: What belongs to it, such as request or revision.
        """
        entry = {
            'stamp': str(self.stamp()),
            'process': self._process_id,
            'event': int(event),
            'name': event.name,
            **fields,
        }
        self._logger.info(entry)
