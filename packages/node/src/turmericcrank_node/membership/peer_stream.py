"""Sends and receives messages over a byte stream between two nodes.

Both ends authenticate with the site's node secret before any other message:
each signs the nonce of the other end (mutual challenge-response).
"""

import secrets
from typing import Any

import msgpack
import trio
from itsdangerous import BadSignature, Signer

from turmericcrank_node.membership import peer_messages
from turmericcrank_node.membership.peer_messages import (
    pack_message,
    unpack_message,
)

__all__ = (
    'PeerStream',
    'PeerStreamError',
    'authenticate_as_client',
    'authenticate_as_server',
)

_READ_BYTES = 65536
_MAX_MESSAGE_BYTES = 33554432
_NONCE_BYTES = 16
_SALT = b'turmericcrank-peer'


class PeerStreamError(Exception):
    """The connection was lost or the peer violated the protocol."""


class PeerStream:
    """Message stream over a byte stream; must be used by one task only.

    Args:
        stream: Connected trio stream.
    """

    __slots__ = ('_stream', '_unpacker', 'n_bytes')

    def __init__(self, stream: Any) -> None:
        self._stream = stream
        self._unpacker = msgpack.Unpacker(max_buffer_size=_MAX_MESSAGE_BYTES)
        self.n_bytes = 0

    async def send(self, message: Any) -> None:
        """Send one message.

        Raises:
            PeerStreamError: If the connection was lost.
        """
        packed = pack_message(message)
        self.n_bytes += len(packed)
        try:
            await self._stream.send_all(packed)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerStreamError('connection to the peer was lost') from error

    async def receive(self) -> Any:
        """Receive one message; return None at the end of the stream.

        Raises:
            PeerStreamError: If the connection was lost or the message is
                malformed.
        """
        while True:
            try:
                return unpack_message(self._unpacker.unpack())
            except msgpack.OutOfData:
                if not await self._read_chunk():
                    return None
            except (ValueError, msgpack.UnpackException) as error:
                raise PeerStreamError(str(error)) from error

    async def close(self) -> None:
        """Close the stream."""
        await trio.aclose_forcefully(self._stream)

    async def _read_chunk(self) -> bool:
        try:
            received = await self._stream.receive_some(_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerStreamError('connection to the peer was lost') from error
        self.n_bytes += len(received)
        self._unpacker.feed(received)
        return bool(received)


async def authenticate_as_client(
    peer: PeerStream, node_id: str, node_secret: str
) -> None:
    """Authenticate as the connecting node, and authenticate the peer.

    Raises:
        PeerStreamError: If the peer does not know the node secret.
    """
    nonce = secrets.token_hex(_NONCE_BYTES)
    await peer.send(peer_messages.Hello(node_id, nonce))
    challenge = await peer.receive()
    if not isinstance(challenge, peer_messages.Challenge):
        raise PeerStreamError('expected a challenge from the peer')
    _check_proof(challenge.proof, f'listen {nonce}', node_secret)
    proof = _sign(f'connect {challenge.nonce}', node_secret)
    await peer.send(peer_messages.Proof(proof))


async def authenticate_as_server(peer: PeerStream, node_secret: str) -> str:
    """Authenticate as the listening node, and authenticate the peer.

    Returns:
        ID that the connecting node states; its proof does not cover the ID.

    Raises:
        PeerStreamError: If the peer does not know the node secret.
    """
    hello = await peer.receive()
    if not isinstance(hello, peer_messages.Hello):
        raise PeerStreamError('expected a hello from the peer')
    nonce = secrets.token_hex(_NONCE_BYTES)
    proof = _sign(f'listen {hello.nonce}', node_secret)
    await peer.send(peer_messages.Challenge(proof, nonce))
    response = await peer.receive()
    if not isinstance(response, peer_messages.Proof):
        raise PeerStreamError('expected a proof from the peer')
    _check_proof(response.proof, f'connect {nonce}', node_secret)
    return hello.node_id


def _sign(text: str, node_secret: str) -> str:
    return Signer(node_secret, salt=_SALT).sign(text).decode()


def _check_proof(proof: str, text: str, node_secret: str) -> None:
    try:
        signed = Signer(node_secret, salt=_SALT).unsign(proof).decode()
    except BadSignature as error:
        raise PeerStreamError('the peer has a different node secret') from error
    if signed != text:
        raise PeerStreamError('the peer signed a different nonce')
