"""TCP options of connections to clients, upstreams and other nodes."""

import socket
from dataclasses import dataclass
from typing import Any

__all__ = (
    'CLIENT_KEEPALIVE',
    'UPSTREAM_KEEPALIVE',
    'KeepaliveLimits',
    'set_socket_options',
)

_KEEPALIVE_PROBES = 2
_UPSTREAM_UNACKNOWLEDGED_MS = 3000
# Long, since a client may read slowly or be behind a saturated link. The
# deadline of a request passes long before this timeout.
_CLIENT_UNACKNOWLEDGED_MS = 40_000
_CLIENT_IDLE_S = 15


@dataclass(slots=True, frozen=True)
class KeepaliveLimits:
    """TCP timeouts that detect an unresponsive peer.

    Attributes:
        unacknowledged_ms: Longest time for which sent bytes may stay
            unacknowledged, in milliseconds.
        idle_s: Idle time before the first keepalive probe, in seconds.
        interval_s: Time between two keepalive probes, in seconds.
    """

    unacknowledged_ms: int
    idle_s: int
    interval_s: int


UPSTREAM_KEEPALIVE = KeepaliveLimits(_UPSTREAM_UNACKNOWLEDGED_MS, 2, 1)
CLIENT_KEEPALIVE = KeepaliveLimits(_CLIENT_UNACKNOWLEDGED_MS, _CLIENT_IDLE_S, 5)


def set_socket_options(sock: Any, limits: KeepaliveLimits) -> None:
    """Disable Nagle's algorithm and set the timeouts for a dead peer."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, number in (
        (socket.TCP_USER_TIMEOUT, limits.unacknowledged_ms),
        (socket.TCP_KEEPIDLE, limits.idle_s),
        (socket.TCP_KEEPINTVL, limits.interval_s),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, number)
