"""Free ports for processes, and waiting for conditions."""

import random
import socket
import time
from collections.abc import Callable

__all__ = ('find_port', 'wait_until')

_POLL_INTERVAL_S = 0.05
_LOWEST_PORT = 12000
_HIGHEST_PORT = 32000
_CANDIDATE_PORTS = iter(
    random.sample(range(_LOWEST_PORT, _HIGHEST_PORT), 10000)
)


def find_port() -> int:
    """Return a free TCP port that was not returned before."""
    while True:
        port = next(_CANDIDATE_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port


def wait_until(
    condition: Callable[[], bool], limit_s: float, description: str
) -> None:
    """Poll a condition until it holds.

    Raises:
        TimeoutError: If it does not hold within the time limit.
    """
    deadline_s = time.monotonic() + limit_s
    while time.monotonic() < deadline_s:
        if condition():
            return
        time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(description)
