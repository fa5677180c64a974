"""A clock for simulations, which the router reads as its monotonic clock."""

import contextlib
import time
from dataclasses import dataclass

import pytest

_START_S = 5000.0


@dataclass
class VirtualClock:
    """Time of the running simulation, in seconds."""

    now_s: float = _START_S


CLOCK = VirtualClock()


@contextlib.contextmanager
def use_virtual_clock():
    """Let the router read the virtual clock instead of the machine's."""
    with pytest.MonkeyPatch.context() as patches:
        patches.setattr(time, 'clock_gettime', lambda _clock: CLOCK.now_s)
        yield
