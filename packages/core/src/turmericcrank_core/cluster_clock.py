"""A clock that all nodes agree on without reading a common source.

Each node adds an offset to its own monotonic clock. Every gossip message
carries the sender's time on the cluster clock, and a receiver whose clock is
behind that time moves forward to it. So the clock never runs backwards and
all nodes follow the one that is furthest ahead, late by the shortest delay
of a message from it.
Source: Lamport, "Time, Clocks, and the Ordering of Events in a Distributed
System", CACM 21 (1978), section on physical clocks.
"""

from dataclasses import dataclass

__all__ = ('ClusterClock', 'advance_cluster_clock', 'read_cluster_clock_s')


@dataclass(slots=True)
class ClusterClock:
    """Difference between the cluster clock and a node's monotonic clock.

    Attributes:
        offset_s: Cluster time minus local time, in seconds.
    """

    offset_s: float = 0


def read_cluster_clock_s(clock: ClusterClock, local_s: float) -> float:
    """Return the cluster time, in seconds.

    Args:
        clock: Clock of this node.
        local_s: Monotonic clock of this node, in seconds.
    """
    return local_s + clock.offset_s


def advance_cluster_clock(
    clock: ClusterClock, received_s: float, local_s: float
) -> None:
    """Move the clock forward to a time that another node sent.

    Args:
        clock: Changed in place.
        received_s: Cluster time at which the message was sent, in seconds.
        local_s: Monotonic clock of this node, in seconds.

    Example:
        >>> clock = ClusterClock()
        >>> advance_cluster_clock(clock, received_s=30, local_s=10)
        >>> advance_cluster_clock(clock, received_s=25, local_s=11)
        >>> read_cluster_clock_s(clock, local_s=12)
        32
    """
    clock.offset_s = max(clock.offset_s, received_s - local_s)
