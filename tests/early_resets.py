"""A server that answers early and resets, for clients that are no node."""

import contextlib
import functools
import socket
import ssl
import struct
import threading

_LINGER_NOT = struct.pack('ii', 1, 0)
_HEAD_END = b'\r\n\r\n'


@contextlib.contextmanager
def serve_early_resets(answer, wrap=contextlib.nullcontext, *, is_reset=True):
    """Send an answer to each head of a request and reset at the same moment.

    Args:
        answer: Bytes that are sent.
        wrap: Makes the connection of an accepted socket, such as one of TLS.
        is_reset: Whether it resets; otherwise it reads the whole request first
            and closes in order.

    Yields:
        The address, as ``IP:port``.
    """
    serve_connection = functools.partial(_serve_connection, answer, is_reset)
    with socket.create_server(('127.0.0.1', 0)) as listener:
        thread = threading.Thread(
            target=_serve, args=(listener, wrap, serve_connection)
        )
        thread.start()
        try:
            yield '{}:{}'.format(*listener.getsockname())
        finally:
            listener.shutdown(socket.SHUT_RDWR)
            thread.join()


def _serve(listener, wrap, serve_connection):
    while True:
        try:
            accepted = listener.accept()[0]
        except OSError:
            return
        with accepted, contextlib.suppress(OSError), wrap(accepted) as wrapped:
            serve_connection(wrapped)


def _serve_connection(answer, is_reset, connection):
    request = _read_until(connection, lambda read: _HEAD_END in read)
    if not request:
        return
    if not is_reset:
        _read_until(connection, _is_whole, request)
    connection.sendall(answer)
    if is_reset:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NOT)
    elif isinstance(connection, ssl.SSLSocket):
        connection.unwrap()


def _is_whole(request):
    head, _, body = request.partition(_HEAD_END)
    length = head.lower().partition(b'content-length: ')[2]
    return len(body) >= int(length.partition(b'\r\n')[0])


def _read_until(connection, is_enough, received=b''):
    """Read until there is enough; empty if the other end closes before."""
    while not is_enough(received):
        part = connection.recv(4096)
        if not part:
            return b''
        received += part
    return received
