"""How the end of a connection is told from a reset, whoever got its report."""

import errno
import socket
import struct

import trio
from turmericcrank_node.connection_end import CheckedStream, ended_in_order

_LINGER_NOT = struct.pack('ii', 1, 0)
_ARRIVAL_S = 0.05


def _run(act, *, is_reset=False, upload=b''):
    """Run ``act`` with a connection whose other end sent a part and closed.

    Args:
        act: What is done with the connection.
        is_reset: Whether the other end resets it.
        upload: Bytes that the other end has not read when it closes in order.
    """

    async def main():
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        address = listeners[0].socket.getsockname()
        stream = await trio.open_tcp_stream(*address)
        other = await listeners[0].accept()
        await other.send_all(b'part')
        if upload:
            await stream.send_all(upload)
            await other.send_eof()
        if is_reset:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NOT)
        other.socket.close()
        await trio.sleep(_ARRIVAL_S)
        outcome = await act(stream)
        stream.socket.close()
        return outcome

    return trio.run(main)


async def _read_all(stream):
    """Return what is read, and whether it ends in order."""
    checked = CheckedStream(stream)
    received = b''
    try:
        while part := await checked.receive_some():
            received += part
    except trio.BrokenResourceError:
        return received, False
    return received, True


async def _write_and_read(stream):
    try:
        await stream.send_all(b'rest of the upload')
    except trio.BrokenResourceError as error:
        return error.__cause__.errno, await _read_all(stream)


def test_mixed_an_orderly_end_is_one():
    assert _run(_read_all) == (b'part', True)


def test_mixed_a_reset_that_the_read_gets_is_no_orderly_end():
    assert _run(_read_all, is_reset=True) == (b'part', False)


def test_mixed_a_reset_that_a_write_gets_is_no_orderly_end():
    outcome = _run(_write_and_read, is_reset=True)
    assert outcome == (errno.ECONNRESET, (b'part', False))


def test_mixed_an_end_before_a_reset_of_the_upload_is_not_in_order():
    """An upstream that is killed while it reads an upload ends so, too."""
    outcome = _run(_write_and_read, upload=b'unread')
    assert outcome == (errno.EPIPE, (b'part', False))


def test_mixed_an_end_whose_socket_is_closed_meanwhile_is_not_in_order():
    """It raised an error of the system, which httpx does not translate."""

    async def close(stream):
        stream.socket.close()
        return ended_in_order(stream.socket)

    assert not _run(close)
