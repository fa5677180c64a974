"""Waits on sockets, and what must follow them without any other task."""

import contextlib
import select
import socket

import trio

__all__ = ('cancel_on', 'end_sending', 'has_arrived')


def has_arrived(sock: trio.socket.SocketType) -> bool:
    """Return whether bytes, an end or a new connection wait on a socket."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def end_sending(sock: trio.socket.SocketType) -> None:
    """Close the sending side at once, without letting other tasks run."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)


async def cancel_on(event: trio.Event, scope: trio.CancelScope) -> None:
    """Cancel a scope once an event is set."""
    await event.wait()
    scope.cancel()
