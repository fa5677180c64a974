"""Connections of upstreams to nodes, and links that are silent one way.

What is sent on a silent link is kept until it is whole again, as TCP repeats
what was lost. The other side sees an open connection on which nothing arrives.
"""

import asyncio
from dataclasses import dataclass, field

__all__ = ('Link', 'abort', 'hold', 'release')


@dataclass(slots=True, eq=False)
class Link:
    """A connection of a node to an upstream, seen from the upstream.

    Attributes:
        writer: Its writing side.
        is_held: Whether nothing that is sent arrives.
        pending: Bytes that were sent meanwhile.
    """

    writer: asyncio.StreamWriter
    is_held: bool = False
    pending: bytearray = field(default_factory=bytearray)

    def write(self, sent: bytes) -> None:
        """Send bytes, or keep them while the link is silent."""
        if self.is_held:
            self.pending += sent
        else:
            self.writer.write(sent)

    async def drain(self) -> None:
        """Wait until the node has taken most of what was sent."""
        if not self.is_held:
            await self.writer.drain()


def abort(link: Link) -> None:
    """Close a connection without sending what is left."""
    link.writer.transport.abort()


def hold(link: Link) -> None:
    """Let nothing arrive that the upstream sends."""
    link.is_held = True


def release(link: Link) -> None:
    """Let arrive what was sent, and what will be."""
    link.is_held = False
    if not link.writer.is_closing():
        link.writer.write(bytes(link.pending))
    link.pending.clear()
