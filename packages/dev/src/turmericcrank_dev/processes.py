"""Free ports for processes, and waiting for conditions."""

import random
import socket
import time
from collections.abc import Callable

__all__ = ('find_port', 'wait_until')

_POLL_S = 0.05
_LOWEST_PORT = 12000
_HIGHEST_PORT = 32000
_PORTS = iter(random.sample(range(_LOWEST_PORT, _HIGHEST_PORT), 10000))


def find_port() -> int:
    """Return a free TCP port that was not returned before."""
    while True:
        port = next(_PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        return port


def wait_until(is_done: Callable[[], bool], limit_s: float, what: str) -> None:
    """Poll a condition until it holds.

    Raises:
        TimeoutError: If it does not hold within the time limit.
    """
    limit = time.monotonic() + limit_s
    while time.monotonic() < limit:
        if is_done():
            return
        time.sleep(_POLL_S)
    raise TimeoutError(what)
