"""Shares the request limit of an upstream between all nodes, without messages.

Load pattern: an overloaded upstream names a limit, often below one request per
second and node, while every node has requests for it.

Time on the cluster clock is divided into slots. The limit yields a number of
permits in each slot, the same on all nodes, and a hash ring assigns each
permit to one node. A node sends a request to the upstream only with a permit
that it owns and has not used. A permit that was not used soon is lost, so
all nodes together send at most the limit for the time of the window and of
the validity of a permit, whatever share of the nodes has requests.

Nodes that know different nodes assign few permits differently, because the
assignment of a permit changes only if its owner is unknown to one of them. An
owner that is down wastes its permits.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from turmericcrank_core.routing import hash_uniform

__all__ = (
    'PermitLedger',
    'SendPermits',
    'count_permits',
    'drop_permits',
    'refresh_permits',
    'take_permit',
)

_SLOT_S = 0.25
# Shorter than half of the windows in which upstreams count, because requests
# with permits of this time before the window may arrive in it too.
_VALIDITY_S = 1.5
_MAX_PERMITS_PER_S = 50


@dataclass(slots=True)
class Permit:
    """Permission to send some requests to one upstream.

    Attributes:
        slot_s: Start of its slot on the cluster clock, in seconds.
        n_requests: Requests that may still be sent with it.
    """

    slot_s: float
    n_requests: int


@dataclass(slots=True)
class PermitLedger:
    """Permits of this node for one upstream.

    Attributes:
        next_slot: First slot that has not been looked at.
        unused: Valid permits, oldest first.
    """

    next_slot: int
    unused: deque[Permit] = field(default_factory=deque)


@dataclass(slots=True)
class SendPermits:
    """Permits of this node for all limited upstreams.

    Attributes:
        ledgers_by_id: Permits by upstream.
    """

    ledgers_by_id: dict[str, PermitLedger] = field(default_factory=dict)


def refresh_permits(
    permits: SendPermits,
    upstream_id: str,
    rate_per_s: float,
    owns: Callable[[str], bool],
    now_s: float,
) -> int:
    """Add the permits of the slots that have begun, and remove expired ones.

    Args:
        permits: Changed in place.
        upstream_id: Limited upstream.
        rate_per_s: Requests per second that all nodes together may send.
        owns: Returns whether this node owns the permit of a key.
        now_s: Current time on the cluster clock, in seconds.

    Returns:
        Requests that may be sent now.
    """
    slot = math.floor(now_s / _SLOT_S)
    ledger = permits.ledgers_by_id.get(upstream_id)
    if ledger is None:
        ledger = PermitLedger(slot + 1)
        permits.ledgers_by_id[upstream_id] = ledger
    oldest_slot = slot - int(_VALIDITY_S / _SLOT_S) + 1
    for number in range(max(ledger.next_slot, oldest_slot), slot + 1):
        _add_permits(ledger, upstream_id, rate_per_s, owns, number)
    ledger.next_slot = max(ledger.next_slot, slot + 1)
    while ledger.unused and ledger.unused[0].slot_s <= now_s - _VALIDITY_S:
        ledger.unused.popleft()
    return sum(permit.n_requests for permit in ledger.unused)


def take_permit(permits: SendPermits, upstream_id: str) -> None:
    """Use up one request of the oldest permit; there must be one."""
    unused = permits.ledgers_by_id[upstream_id].unused
    unused[0].n_requests -= 1
    if not unused[0].n_requests:
        unused.popleft()


def drop_permits(permits: SendPermits, upstream_id: str) -> None:
    """Remove all permits for an upstream whose limit has changed or ended."""
    permits.ledgers_by_id.pop(upstream_id, None)


def count_permits(rate_per_s: float, phase: float, slot: int) -> int:
    """Return how many permits a slot has.

    Args:
        rate_per_s: Permits per second.
        phase: Offset in [0, 1) that spreads the slots of upstreams with the
            same rate.
        slot: Number of the slot.

    Example:
        >>> [count_permits(1, 0, slot) for slot in range(8)]
        [0, 0, 0, 1, 0, 0, 0, 1]
    """
    per_slot = rate_per_s * _SLOT_S
    before = math.floor(per_slot * slot + phase)
    return math.floor(per_slot * (slot + 1) + phase) - before


def _add_permits(
    ledger: PermitLedger,
    upstream_id: str,
    rate_per_s: float,
    owns: Callable[[str], bool],
    slot: int,
) -> None:
    # A permit stands for several requests at high rates, which bounds the
    # cost of looking for its owner.
    n_requests = max(1, math.ceil(rate_per_s / _MAX_PERMITS_PER_S))
    n_permits = count_permits(
        rate_per_s / n_requests, hash_uniform(upstream_id), slot
    )
    for number in range(n_permits):
        if owns(f'{upstream_id}/{slot}/{number}'):
            ledger.unused.append(Permit(slot * _SLOT_S, n_requests))
