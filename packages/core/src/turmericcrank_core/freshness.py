"""Decides whether the tables of a node are fresh enough to serve requests.

A node that reads the store knows that its tables are current. When it can't
read the store, it probes random peers. If one of them has read the store
recently, the node gets the tables through that peer. If a majority of the
nodes responds and none has read the store, the store is down for all, no
edit can be accepted, and the node continues to serve. Otherwise the node may be
partitioned from nodes that accept an edit, so it rejects new requests.

Edits have the matching rule: a node accepts an edit only while a majority
of the nodes responds to it. Any two majorities share a node, so in a
network partition an edit can't be accepted on one side while the other side
continues without it.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = (
    'Freshness',
    'FreshnessSettings',
    'PeerSample',
    'SampleWindow',
    'count_responding',
    'has_majority',
    'plan_freshness',
    'record_sample',
)


class Freshness(enum.StrEnum):
    """Freshness of the tables of a node."""

    fresh = 'fresh'
    store_down = 'store_down'
    cut_off = 'cut_off'


@dataclass(slots=True, frozen=True)
class FreshnessSettings:
    """Parameters of the freshness decision.

    Attributes:
        bound_s: Maximum age of the last read of the store, in seconds.
        window_s: Time for which a sample of a peer is valid, in seconds.
        sampled_share: Share of responding peers that counts as a majority
            when the samples do not cover all nodes.
        min_sample: Minimum number of samples for such an estimate.
    """

    bound_s: float = 4
    window_s: float = 4
    sampled_share: float = 0.58
    min_sample: int = 60


@dataclass(slots=True, frozen=True)
class PeerSample:
    """Outcome of one probe of a peer.

    Attributes:
        at_s: Monotonic time of the outcome, in seconds.
        has_responded: Whether the peer responded.
        store_seen_s: Time of the peer's last read of the store, on this
            node's clock; None when never or unknown.
    """

    at_s: float
    has_responded: bool
    store_seen_s: float | None = None


@dataclass(slots=True)
class SampleWindow:
    """Latest sample of each peer.

    Attributes:
        listed: Ids of the other nodes on the latest VM list.
        is_list_known: Whether the VM list was ever read; without it the
            node does not know whether there are other nodes.
        samples_by_id: Latest sample by peer.
    """

    listed: frozenset[str] = frozenset()
    is_list_known: bool = False
    samples_by_id: dict[str, PeerSample] = field(default_factory=dict)


def record_sample(
    window: SampleWindow, peer_id: str, sample: PeerSample
) -> None:
    """Record the latest sample of a peer and drop those of unlisted peers."""
    window.samples_by_id[peer_id] = sample
    unlisted_ids = window.samples_by_id.keys() - window.listed - {peer_id}
    for unlisted_id in unlisted_ids:
        window.samples_by_id.pop(unlisted_id)


def count_responding(
    window: SampleWindow, now_s: float, window_s: float
) -> tuple[int, int]:
    """Count the recent samples of listed peers.

    Returns:
        The number of samples with a response, and of all samples.
    """
    recent = list(_iter_recent(window, now_s, window_s))
    return sum(sample.has_responded for sample in recent), len(recent)


def has_majority(
    window: SampleWindow, now_s: float, settings: FreshnessSettings
) -> bool:
    """Return whether a majority of the listed nodes responds to this node.

    True when this node and its responding peers are more than half of all
    nodes. Otherwise the share of responding peers, among at least
    ``min_sample`` samples, must be clearly over one half.
    """
    if not window.is_list_known:
        return False
    n_nodes = len(window.listed) + 1
    n_responding, n_sampled = count_responding(window, now_s, settings.window_s)
    if 2 * (n_responding + 1) > n_nodes:
        return True
    if n_sampled < settings.min_sample:
        return False
    return n_responding / n_sampled >= settings.sampled_share


def plan_freshness(
    window: SampleWindow,
    own_store_seen_s: float | None,
    stale_since_s: float | None,
    now_s: float,
    settings: FreshnessSettings,
) -> Freshness:
    """Decide whether the node may accept new requests.

    Args:
        window: Samples of the peers.
        own_store_seen_s: Monotonic time of this node's last read of the
            store; None before the first.
        stale_since_s: Monotonic time since which the node knows of a
            revision that it lacks; None when it lacks none.
        now_s: Monotonic time, in seconds.
        settings: Parameters of the decision.

    Returns:
        ``fresh`` after a recent read of the store by this node or a peer,
        ``store_down`` when a majority responds without one, and ``cut_off``
        when the node must reject new requests.
    """
    if _is_before(stale_since_s, now_s - settings.bound_s):
        return Freshness.cut_off
    store_reads_s = [own_store_seen_s]
    store_reads_s.extend(
        sample.store_seen_s
        for sample in _iter_recent(window, now_s, settings.window_s)
        if sample.has_responded
    )
    oldest_allowed_s = now_s - settings.bound_s
    if any(
        _is_at_or_after(read_s, oldest_allowed_s) for read_s in store_reads_s
    ):
        return Freshness.fresh
    if has_majority(window, now_s, settings):
        return Freshness.store_down
    return Freshness.cut_off


def _is_before(at_s: float | None, limit_s: float) -> bool:
    return at_s is not None and at_s < limit_s


def _is_at_or_after(at_s: float | None, limit_s: float) -> bool:
    return at_s is not None and at_s >= limit_s


def _iter_recent(
    window: SampleWindow, now_s: float, window_s: float
) -> Iterable[PeerSample]:
    return (
        sample
        for peer_id, sample in window.samples_by_id.items()
        if peer_id in window.listed and sample.at_s >= now_s - window_s
    )
