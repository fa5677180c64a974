"""A server that answers early and resets, for clients that are no node."""

import contextlib
import socket
import struct
import threading

_LINGER_NOT = struct.pack('ii', 1, 0)
_HEAD_END = b'\r\n\r\n'


@contextlib.contextmanager
def serve_early_resets(answer):
    """Send an answer to each head of a request and reset at the same moment.

    Args:
        answer: Bytes that are sent.

    Yields:
        The address, as ``IP:port``.
    """
    with socket.create_server(('127.0.0.1', 0)) as listener:
        thread = threading.Thread(target=_serve, args=(listener, answer))
        thread.start()
        try:
            yield '{}:{}'.format(*listener.getsockname())
        finally:
            listener.shutdown(socket.SHUT_RDWR)
            thread.join()


def _serve(listener, answer):
    while True:
        try:
            connection = listener.accept()[0]
        except OSError:
            return
        with connection:
            if _read_head(connection):
                connection.sendall(answer)
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NOT
            )


def _read_head(connection):
    head = b''
    while _HEAD_END not in head:
        part = connection.recv(4096)
        if not part:
            return False
        head += part
    return True
