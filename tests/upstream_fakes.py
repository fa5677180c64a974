"""Scripted fake upstreams, and builders for the bytes that they send."""

import contextlib
import socket
from dataclasses import dataclass, field

import trio

_QUEUE_LENGTH = 3


@dataclass(frozen=True)
class SendAndReset:
    """Step that sends bytes and resets the connection at the same moment."""

    raw: bytes


@dataclass
class FakeUpstream:
    """An upstream that runs one script for each connection.

    A script is a list of steps; the connection closes after the last one:

    - bytes to send, in which ``{id}`` is replaced by the id of the request;
    - a float: seconds to wait;
    - 'reset': reset the connection;
    - ``SendAndReset``: the bytes arrive together with the reset;
    - 'end': close the sending side in order, and read on;
    - 'refuse': refuse further connections;
    - 'hang': let further connections hang, as if the host were unreachable.

    Any other text does nothing.

    Attributes:
        scripts: Scripts that have not run yet.
        reads_bodies: Whether it reads more than the head of a request.
        requests: Heads of the received requests, by lower-case header name.
        closed_s: Times at which clients closed a connection during a script.
        address: Listening address.
        is_refusing: Whether it refuses further connections.
        listening: Cancelled to stop accepting connections.
        listener: Duplicate of the listening socket.
        port_keeper: Socket that keeps the port once connections are refused.
        queued_sockets: Sockets that fill the listen queue.
    """

    scripts: list
    reads_bodies: bool = True
    requests: list = field(default_factory=list)
    closed_s: list = field(default_factory=list)
    address: str = ''
    is_refusing: bool = False
    listening: trio.CancelScope = field(default_factory=trio.CancelScope)
    listener: socket.socket | None = None
    port_keeper: socket.socket | None = None
    queued_sockets: list = field(default_factory=list)

    async def serve(self, task_status):
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        host, port = listeners[0].socket.getsockname()
        self.address = f'{host}:{port}'
        self.listener = _copy_socket(listeners[0].socket)
        async with trio.open_nursery() as answering:
            with self.listening:
                await trio.serve_listeners(
                    self._serve_connection,
                    listeners,
                    handler_nursery=answering,
                    task_status=task_status,
                )
            if self.is_refusing:
                self._keep_port()

    def refuse_connections(self):
        """Refuse further connections, at a port that nothing else gets."""
        self.is_refusing = True
        self.listener.close()
        self.listening.cancel()

    def _keep_port(self):
        """Bind the port without listening, so that connections are refused."""
        host, _, port = self.address.partition(':')
        self.port_keeper = socket.socket()
        # Connections of the port may still be open.
        self.port_keeper.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.port_keeper.bind((host, int(port)))

    def stop_accepting(self):
        """Stop accepting, and fill the listen queue so that connects hang."""
        self.listening.cancel()
        self.listener.listen(0)
        for _ in range(_QUEUE_LENGTH):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(self.listener.getsockname())
            self.queued_sockets.append(client)

    async def _serve_connection(self, stream):
        head = b''
        while b'\r\n\r\n' not in head:
            part = await stream.receive_some()
            if not part:
                return
            head += part
        self.requests.append(_read_head(head))
        script = self.scripts.pop(0) if self.scripts else ['close']
        async with trio.open_nursery() as nursery:
            if self.reads_bodies:
                nursery.start_soon(self._record_disconnect, stream)
            await self._run_script(
                stream, script, self.requests[-1].get('id', '')
            )
            nursery.cancel_scope.cancel()

    async def _record_disconnect(self, stream):
        try:
            while await stream.receive_some():
                await trio.sleep(0)
        except trio.BrokenResourceError:
            self.closed_s.append(trio.current_time())
        except trio.ClosedResourceError:
            return
        else:
            self.closed_s.append(trio.current_time())

    async def _run_script(self, stream, script, request_id):
        for step in script:
            if isinstance(step, float):
                await trio.sleep(step)
            elif isinstance(step, SendAndReset):
                _send_and_reset(stream, _fill_in(step.raw, request_id))
            elif isinstance(step, bytes):
                raw = _fill_in(step, request_id)
                with contextlib.suppress(trio.BrokenResourceError):
                    await stream.send_all(raw)
            elif step == 'end':
                await stream.send_eof()
            else:
                self._run_action(stream, step)
        await stream.aclose()

    def _run_action(self, stream, step):
        if step == 'refuse':
            self.refuse_connections()
        elif step == 'hang':
            self.stop_accepting()
        elif step == 'reset':
            _reset(stream)


def _send_and_reset(stream, raw):
    """Send and reset without letting other tasks run in between."""
    with _copy_socket(stream.socket) as sending:
        sending.send(raw)
        _reset(stream)


def _reset(stream):
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0')
    stream.socket.close()


def _fill_in(raw, request_id):
    return raw.replace(b'{id}', request_id.encode())


def _copy_socket(trio_socket):
    """Duplicate a socket, to use it without trio or after trio closes it."""
    return socket.socket(fileno=trio_socket.dup().detach())


def _read_head(head):
    lines = head.partition(b'\r\n\r\n')[0].decode().split('\r\n')
    pairs = [line.partition(': ') for line in lines[1:]]
    return {
        'line': lines[0],
        **{name.lower(): text for name, _, text in pairs},
    }


def response_bytes(body=b'ok', status=200, **headers):
    """Build a complete response of an upstream."""
    named = {'id': '{id}', 'signed': 'yes', **headers}
    lines = [f'HTTP/1.1 {status} X'.encode()]
    lines += [
        f'{name.replace("_", "-")}: {text}'.encode()
        for name, text in named.items()
        if text
    ]
    lines.append(b'Content-Length: %d' % len(body))
    return b'\r\n'.join([*lines, b'', body])


def stream_head(**headers):
    """Build the response head of a stream."""
    named = {'id': '{id}', 'signed': 'yes', **headers}
    lines = [b'HTTP/1.1 200 X', b'Transfer-Encoding: chunked']
    lines += [f'{name}: {text}'.encode() for name, text in named.items()]
    return b'\r\n'.join([*lines, b'', b''])


def event_chunk(number, text='x'):
    """Build one event as an HTTP chunk."""
    raw = f'id: {number}\ndata: {text}\n\n'.encode()
    return b'%x\r\n%s\r\n' % (len(raw), raw)


END_CHUNK = b'0\r\n\r\n'
