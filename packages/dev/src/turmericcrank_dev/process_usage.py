"""Processor time and memory of a process, read from ``/proc``."""

import os
import pathlib
from dataclasses import dataclass

__all__ = ('Usage', 'read_usage')

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_USER_FIELD = 11
_SYSTEM_FIELD = 12


@dataclass(slots=True, frozen=True)
class Usage:
    """Resource usage of a process.

    Attributes:
        cpu_s: Processor time since the start of the process, in seconds.
        memory_bytes: Resident memory, in bytes.
    """

    cpu_s: float
    memory_bytes: int


def read_usage(pid: int) -> Usage:
    """Read the resource usage of a process."""
    folder = pathlib.Path('/proc') / str(pid)
    stat = (folder / 'stat').read_text(encoding='ascii')
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    pages = int((folder / 'statm').read_text(encoding='ascii').split()[1])
    return Usage(ticks / _TICKS_PER_S, pages * _PAGE_BYTES)
