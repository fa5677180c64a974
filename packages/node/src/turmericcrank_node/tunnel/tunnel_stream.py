"""Frames the bytes of a tunnel between two nodes.

The node that opens a tunnel sends one request, and after the reply the plain
bytes for the upstream. What comes back is framed, since the end of the
upstream's connection must not be confused with the loss of the node between:
a frame is a length and that many bytes, and an empty one is the end.
"""

import enum
import struct
from dataclasses import dataclass

import msgspec
import trio

from turmericcrank_node.http_connection import ByteStream

__all__ = (
    'TunnelRequest',
    'TunnelStatus',
    'TunnelStream',
    'pack_frame',
    'pack_request',
    'read_request',
    'read_status',
)

_READ_BYTES = 65536
_MAX_REQUEST_BYTES = 4096
_MAX_FRAME_BYTES = 0x100000
_LENGTH = struct.Struct('>I')


class TunnelStatus(enum.IntEnum):
    """Reply to a request for a tunnel; any value but ``open`` ends it.

    Attributes:
        open: The upstream is connected.
        refused: The upstream refused the connection.
        timed_out: The upstream did not respond.
        not_listed: This node may not use the upstream.
        cut_off: This node does not reach any upstream itself.
        busy: This node takes no further tunnel now.
    """

    open = 0
    refused = 1
    timed_out = 2
    not_listed = 3
    cut_off = 4
    busy = 5


class TunnelRequest(msgspec.Struct, array_like=True, frozen=True):
    """Request for a tunnel.

    Attributes:
        node_id: Id of the node that asks.
        upstream_id: Upstream to connect to.
        is_probe: Whether the node only wants to know if the upstream can be
            reached.
    """

    node_id: str
    upstream_id: str
    is_probe: bool = False


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(TunnelRequest)


def pack_frame(payload: bytes) -> bytes:
    """Encode one frame; without a payload it marks the end."""
    return _LENGTH.pack(len(payload)) + payload


def pack_request(request: TunnelRequest) -> bytes:
    """Encode a request for a tunnel."""
    return pack_frame(_ENCODER.encode(request))


async def read_request(stream: trio.SocketStream) -> TunnelRequest | None:
    """Read the request for a tunnel; None if it is malformed or incomplete."""
    head = await _read_exactly(stream, _LENGTH.size)
    if head is None:
        return None
    n_bytes = _LENGTH.unpack(head)[0]
    if n_bytes > _MAX_REQUEST_BYTES:
        return None
    packed = await _read_exactly(stream, n_bytes)
    if packed is None:
        return None
    try:
        return _DECODER.decode(packed)
    except (ValueError, RecursionError):
        return None


async def read_status(stream: ByteStream) -> TunnelStatus | None:
    """Read the reply to a request; None if there is no valid one."""
    raw = await _read_exactly(stream, 1)
    try:
        return TunnelStatus(raw[0]) if raw else None
    except ValueError:
        return None


async def _read_exactly(stream: ByteStream, n_bytes: int) -> bytes | None:
    """Read a number of bytes; None if the connection ends before."""
    received = b''
    while len(received) < n_bytes:
        part = await stream.receive_some(n_bytes - len(received))
        if not part:
            return None
        received += part
    return received


@dataclass(slots=True)
class TunnelStream:
    """Byte stream to an upstream through a tunnel.

    It has the part of the interface of ``trio.SocketStream`` that connections
    to upstreams use.

    Attributes:
        stream: Connection to the node between.
        buffer: Received bytes of frames that are not complete.
        is_ended: Whether the upstream has closed its connection.
    """

    stream: ByteStream
    buffer: bytes = b''
    is_ended: bool = False

    @property
    def socket(self) -> trio.socket.SocketType:
        """Return the socket of the connection to the node between."""
        return self.stream.socket

    async def send_all(self, raw: bytes) -> None:
        """Send bytes to the upstream."""
        await self.stream.send_all(raw)

    async def receive_some(self, _max_bytes: int | None = None) -> bytes:
        """Receive bytes of the upstream; empty once it has closed.

        Raises:
            trio.BrokenResourceError: If the tunnel was lost before.
        """
        while not self.is_ended:
            payload = self._take_frame()
            if payload is not None:
                self.is_ended = not payload
                return payload
            received = await self.stream.receive_some(_READ_BYTES)
            if not received:
                raise trio.BrokenResourceError('the tunnel was lost')
            self.buffer += received
        return b''

    def _take_frame(self) -> bytes | None:
        """Take the payload of the next frame; None if it is incomplete."""
        if len(self.buffer) < _LENGTH.size:
            return None
        n_bytes = _LENGTH.unpack_from(self.buffer)[0]
        if n_bytes > _MAX_FRAME_BYTES:
            raise trio.BrokenResourceError('the tunnel sent an invalid frame')
        end = _LENGTH.size + n_bytes
        if len(self.buffer) < end:
            return None
        layout = f'{n_bytes}s'
        payload = struct.unpack_from(layout, self.buffer, _LENGTH.size)[0]
        self.buffer = self.buffer[end:]
        return payload
