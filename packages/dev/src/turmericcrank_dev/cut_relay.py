"""TCP relay that simulates a network partition.

Run by ``python -m turmericcrank_dev.cut_relay``. SIGUSR1 starts the
partition: open connections are closed, and new ones are accepted but not
forwarded. SIGUSR2 ends it. A connection that is reset at one end is reset at
the other one, too.
"""

import signal
import socket
import struct
from typing import Any

import fire
import trio
from turmericcrank_node.connection_end import CheckedStream

__all__ = ('main',)

_READ_BYTES = 65536
_HANG_S = 3600
_RESET_AT_CLOSE = struct.pack('ii', 1, 0)


class _Relay:
    """One relay and its open connections."""

    __slots__ = ('connection_scopes', 'is_partitioned', 'target_port')

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.is_partitioned = False
        self.connection_scopes: set[trio.CancelScope] = set()

    async def serve(self, client_stream: Any) -> None:
        """Relay one connection until it closes or a partition starts."""
        if self.is_partitioned:
            await trio.sleep(_HANG_S)
        with trio.CancelScope() as scope:
            self.connection_scopes.add(scope)
            try:
                await self._forward(client_stream)
            finally:
                self.connection_scopes.discard(scope)

    async def watch_signals(self) -> None:
        """Start a partition on SIGUSR1 and end it on SIGUSR2."""
        with trio.open_signal_receiver(
            signal.SIGUSR1, signal.SIGUSR2
        ) as signals:
            async for number in signals:
                self.is_partitioned = number == signal.SIGUSR1
                if self.is_partitioned:
                    self._close_connections()

    def _close_connections(self) -> None:
        for scope in tuple(self.connection_scopes):
            scope.cancel()

    async def _forward(self, client_stream: Any) -> None:
        try:
            server_stream = await trio.open_tcp_stream(
                '127.0.0.1', self.target_port
            )
        except OSError:
            return
        client = CheckedStream(client_stream)
        server = CheckedStream(server_stream)
        async with server_stream, trio.open_nursery() as nursery:
            nursery.start_soon(_copy, client, server, nursery.cancel_scope)
            nursery.start_soon(_copy, server, client, nursery.cancel_scope)


def main(port: int, target_port: int) -> None:
    """Relay one port of 127.0.0.1 to another.

    Args:
        port: Port to listen on.
        target_port: Port to connect to.
    """
    trio.run(_run, port, target_port)


async def _run(port: int, target_port: int) -> None:
    relay = _Relay(target_port)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(relay.watch_signals)
        await trio.serve_tcp(relay.serve, port, host='127.0.0.1')


async def _copy(
    source: CheckedStream, sink: CheckedStream, scope: trio.CancelScope
) -> None:
    """Forward until one end closes; reset both if one was reset."""
    try:
        while received := await source.receive_some(_READ_BYTES):
            await sink.send_all(received)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        _reset(source)
        _reset(sink)
    scope.cancel()


def _reset(stream: CheckedStream) -> None:
    if stream.socket.fileno() >= 0:
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_AT_CLOSE
        )
        stream.socket.close()


if __name__ == '__main__':
    fire.Fire(main)
