"""Connecting to an upstream, also from a process that was held up."""

import time

import pytest
import trio
from turmericcrank_node.http_wire import (
    ConnectFault,
    UpstreamConnection,
    connect_upstream,
)

_TIMEOUT_S = 0.1


class _SlowSocket:
    """A socket whose first connection takes as long as it is told."""

    def __init__(self, real, waits):
        self._real = real
        self._wait = waits.pop(0)

    def __getattr__(self, name):
        return getattr(self._real, name)

    async def connect(self, address):
        await self._wait()
        await self._real.connect(address)


async def _held_up():
    time.sleep(2 * _TIMEOUT_S)
    await trio.sleep_forever()


async def _silent():
    await trio.sleep_forever()


async def _connect(monkeypatch, waits):
    real_socket = trio.socket.socket
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    with monkeypatch.context() as patched:
        patched.setattr(
            trio.socket, 'socket', lambda: _SlowSocket(real_socket(), waits)
        )
        patched.setattr('trio.SocketStream', lambda sock: sock)
        made = await connect_upstream('127.0.0.1', port, _TIMEOUT_S)
    await listeners[0].aclose()
    return made


def _play(monkeypatch, waits):
    return trio.run(_connect, monkeypatch, waits)


def test_an_upstream_is_not_given_up_by_a_process_that_was_held_up(
    monkeypatch,
):
    """Replays a small VM that took a new configuration while it waited."""
    made = _play(monkeypatch, [_held_up, trio.lowlevel.checkpoint])
    assert isinstance(made, UpstreamConnection)


@pytest.mark.parametrize('waits', [[_silent], [_held_up, _silent]])
def test_a_silent_upstream_is_given_up_in_time(monkeypatch, waits):
    assert _play(monkeypatch, waits) is ConnectFault.timed_out
