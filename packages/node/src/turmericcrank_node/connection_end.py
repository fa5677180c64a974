"""Distinguishes an orderly end of a connection from a reset.

The kernel reports a reset once. If a write gets that report, the next read
returns no bytes, as after an orderly close. A body without a length would
then look complete. The state of the connection still tells the two apart,
whichever call got the report.
"""

import socket
from dataclasses import dataclass
from typing import Any

import trio

__all__ = ('RESET_DETAIL', 'CheckedStream', 'ended_in_order')

RESET_DETAIL = 'the connection was reset'
# State of a socket in Linux after a reset or a timeout. After an orderly close
# by the other end it is 8, TCP_CLOSE_WAIT.
_TCP_CLOSE = 7


def ended_in_order(sock: Any) -> bool:
    """Return whether the end that a read has found is an orderly one.

    It is not if the connection was reset or timed out in any direction, or if
    this process has closed the socket meanwhile.

    Args:
        sock: TCP socket whose sending side this process has not closed.

    Source: ``TCP_INFO`` in tcp(7); its first byte is the state.
    """
    if sock.fileno() < 0:
        return False
    state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    return bool(state[0] != _TCP_CLOSE)


@dataclass(slots=True)
class CheckedStream:
    """Socket stream on which a reset never looks like an orderly end.

    Attributes:
        stream: Stream of the socket; its sending side stays open.
    """

    stream: trio.SocketStream

    @property
    def socket(self) -> trio.socket.SocketType:
        """Return the socket."""
        return self.stream.socket

    async def send_all(self, raw: bytes) -> None:
        """Send bytes."""
        await self.stream.send_all(raw)

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive bytes; empty once the other end has closed in order.

        Raises:
            trio.BrokenResourceError: If the connection was reset.
        """
        received = await self.stream.receive_some(max_bytes)
        if not received and not ended_in_order(self.socket):
            raise trio.BrokenResourceError(RESET_DETAIL)
        return received
