"""Sends and receives messages on one stream between two nodes.

Both ends prove that they know the site's node secret before anything else
is said. The proof signs the other end's nonce.
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
    'prove_as_client',
    'prove_as_server',
)

_READ_BYTES = 65536
_MAX_MESSAGE_BYTES = 33554432
_NONCE_BYTES = 16
_SALT = b'turmericcrank-peer'


class PeerStreamError(Exception):
    """The peer went away or does not speak the protocol."""


class PeerStream:
    """Messages over a byte stream; owned by one task.

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
            PeerStreamError: When the peer went away.
        """
        packed = pack_message(message)
        self.n_bytes += len(packed)
        try:
            await self._stream.send_all(packed)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise PeerStreamError('the peer went away') from error

    async def receive(self) -> Any:
        """Receive one message, None at the end of the stream.

        Raises:
            PeerStreamError: When the peer went away or sent nonsense.
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
            raise PeerStreamError('the peer went away') from error
        self.n_bytes += len(received)
        self._unpacker.feed(received)
        return bool(received)


async def prove_as_client(
    peer: PeerStream, node_id: str, node_secret: str
) -> None:
    """Open a connection: prove the own node and check the peer.

    Raises:
        PeerStreamError: When the peer does not know the secret.
    """
    nonce = secrets.token_hex(_NONCE_BYTES)
    await peer.send(peer_messages.Hello(node_id, nonce))
    challenge = await peer.receive()
    if not isinstance(challenge, peer_messages.Challenge):
        raise PeerStreamError('the peer did not answer the hello')
    _check_proof(challenge.proof, f'listen {nonce}', node_secret)
    proof = _sign(f'connect {challenge.nonce}', node_secret)
    await peer.send(peer_messages.Proof(proof))


async def prove_as_server(peer: PeerStream, node_secret: str) -> str:
    """Accept a connection and give the node at its other end.

    Raises:
        PeerStreamError: When the peer does not know the secret.
    """
    hello = await peer.receive()
    if not isinstance(hello, peer_messages.Hello):
        raise PeerStreamError('a connection starts with a hello')
    nonce = secrets.token_hex(_NONCE_BYTES)
    proof = _sign(f'listen {hello.nonce}', node_secret)
    await peer.send(peer_messages.Challenge(proof, nonce))
    answer = await peer.receive()
    if not isinstance(answer, peer_messages.Proof):
        raise PeerStreamError('the peer did not answer the challenge')
    _check_proof(answer.proof, f'connect {nonce}', node_secret)
    return hello.node_id


def _sign(text: str, node_secret: str) -> str:
    return Signer(node_secret, salt=_SALT).sign(text).decode()


def _check_proof(proof: str, text: str, node_secret: str) -> None:
    try:
        signed = Signer(node_secret, salt=_SALT).unsign(proof).decode()
    except BadSignature as error:
        raise PeerStreamError('the peer does not know the secret') from error
    if signed != text:
        raise PeerStreamError('the peer signed another nonce')
