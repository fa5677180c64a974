"""Counts the connections of clients, and what is being read from them."""

from dataclasses import dataclass

__all__ = ('ConnectionCounts',)


@dataclass(slots=True)
class ConnectionCounts:
    """Open connections of one node.

    Attributes:
        n_open: Connections that are not closed yet.
        n_reading: Connections on which a request is being read.
    """

    n_open: int = 0
    n_reading: int = 0
