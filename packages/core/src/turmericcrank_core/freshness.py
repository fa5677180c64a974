"""Decides whether a node may rely on the tables it has.

A node that reads the store knows that its tables are in force. When it does
not, it samples random peers. If one of them saw the store, the tables come
through that peer. If most nodes answer and none saw the store, the store is
down for all, no edit can be accepted, and the node goes on. Otherwise the
node is cut off: an edit may be accepted that it cannot hear of, so it stops.

The other half of the rule is in acceptance: a node accepts an edit only
while it hears most nodes. Two majorities share a node, so an edit cannot be
accepted on one side of a cut while the other side goes on without it.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = (
    'Freshness',
    'FreshnessSettings',
    'PeerSample',
    'SampleWindow',
    'count_heard',
    'has_majority',
    'note_sample',
    'plan_freshness',
)


class Freshness(enum.StrEnum):
    """How far the tables of a node can be relied on."""

    fresh = 'fresh'
    store_down = 'store_down'
    cut_off = 'cut_off'


@dataclass(slots=True, frozen=True)
class FreshnessSettings:
    """Bounds of the rule.

    Attributes:
        bound_s: Longest age of a sighting of the store, in seconds.
        window_s: How long a sample of a peer counts, in seconds.
        sampled_share: Share of a sample that stands for a majority when
            the sample does not cover all nodes.
        min_sample: Fewest samples that stand for all nodes.
    """

    bound_s: float = 4
    window_s: float = 4
    sampled_share: float = 0.58
    min_sample: int = 60


@dataclass(slots=True, frozen=True)
class PeerSample:
    """Outcome of one question to a peer.

    Attributes:
        at_s: Monotonic time of the outcome, in seconds.
        heard: Whether the peer answered.
        store_seen_s: When the peer last read the store, on this node's
            clock; None when never or unknown.
    """

    at_s: float
    heard: bool
    store_seen_s: float | None = None


@dataclass(slots=True)
class SampleWindow:
    """Newest sample of each peer.

    Attributes:
        listed: Identities of the other nodes on the newest VM list.
        is_list_known: Whether the VM list was ever read; without it a node
            can't know that it is not alone.
        samples_by_id: Newest sample by peer.
    """

    listed: frozenset[str] = frozenset()
    is_list_known: bool = False
    samples_by_id: dict[str, PeerSample] = field(default_factory=dict)


def note_sample(window: SampleWindow, peer_id: str, sample: PeerSample) -> None:
    """Keep the newest sample of a peer; peers off the list are dropped."""
    window.samples_by_id[peer_id] = sample
    gone = window.samples_by_id.keys() - window.listed - {peer_id}
    for gone_id in gone:
        window.samples_by_id.pop(gone_id)


def count_heard(
    window: SampleWindow, now_s: float, window_s: float
) -> tuple[int, int]:
    """Count the recent samples that were heard, and all recent samples."""
    recent = list(_iter_recent(window, now_s, window_s))
    return sum(sample.heard for sample in recent), len(recent)


def has_majority(
    window: SampleWindow, now_s: float, settings: FreshnessSettings
) -> bool:
    """Tell whether this node hears most of the listed nodes.

    With a full sample the count is exact, this node included. With a
    partial one the share must be clearly over one half.
    """
    if not window.is_list_known:
        return False
    n_nodes = len(window.listed) + 1
    n_heard, n_sampled = count_heard(window, now_s, settings.window_s)
    if 2 * (n_heard + 1) > n_nodes:
        return True
    if n_sampled < settings.min_sample:
        return False
    return n_heard / n_sampled >= settings.sampled_share


def plan_freshness(
    window: SampleWindow,
    own_store_seen_s: float | None,
    behind_since_s: float | None,
    now_s: float,
    settings: FreshnessSettings,
) -> Freshness:
    """Decide whether the node may take new work.

    Args:
        window: Samples of the peers.
        own_store_seen_s: When this node last read the store.
        behind_since_s: Since when it knows of a revision that it lacks.
        now_s: Monotonic time, in seconds.
        settings: Bounds.

    Returns:
        ``cut_off`` when it must refuse new work.
    """
    if _is_older(behind_since_s, now_s - settings.bound_s):
        return Freshness.cut_off
    sightings = [own_store_seen_s]
    sightings.extend(
        sample.store_seen_s
        for sample in _iter_recent(window, now_s, settings.window_s)
        if sample.heard
    )
    oldest_allowed_s = now_s - settings.bound_s
    if any(_is_since(seen_s, oldest_allowed_s) for seen_s in sightings):
        return Freshness.fresh
    if has_majority(window, now_s, settings):
        return Freshness.store_down
    return Freshness.cut_off


def _is_older(at_s: float | None, limit_s: float) -> bool:
    return at_s is not None and at_s < limit_s


def _is_since(at_s: float | None, limit_s: float) -> bool:
    return at_s is not None and at_s >= limit_s


def _iter_recent(
    window: SampleWindow, now_s: float, window_s: float
) -> Iterable[PeerSample]:
    return (
        sample
        for peer_id, sample in window.samples_by_id.items()
        if peer_id in window.listed and sample.at_s >= now_s - window_s
    )
