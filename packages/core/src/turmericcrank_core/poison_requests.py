"""Detects poison requests, which crash the upstreams that run them.

Each crash record lists the requests that were in progress at the upstream,
identified by a fingerprint of their content and not by their id. The records
of all nodes are merged as a set, so their order and repetition do not
matter. A request that was in progress during a crash becomes a suspect and
is retried on an upstream that runs no other suspect. It is identified as a
poison request if it was the only suspect in a later crash. This keeps
concurrent requests that merely shared the upstream from being blamed; those
that complete are cleared.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = (
    'CrashHistory',
    'CrashRecord',
    'add_crash',
    'clear_suspect',
    'count_crashes',
    'is_poison',
    'is_suspect',
)


@dataclass(slots=True, frozen=True)
class CrashRecord:
    """One crash as observed by one node.

    Attributes:
        upstream_id: Upstream that crashed.
        at_s: Time of the crash, seconds since the epoch.
        fingerprints: Fingerprints of the node's requests in progress there.
    """

    upstream_id: str
    at_s: float
    fingerprints: frozenset[str]


@dataclass(slots=True)
class CrashHistory:
    """History of recent crashes.

    Attributes:
        merge_window_s: Records of one upstream within this time, in seconds,
            are the same crash.
        retention_s: Time for which a crash is kept, in seconds.
        crashes: Merged crashes, oldest first.
        cleared_s_by_fingerprint: Time at which a request completed after a
            crash, in seconds since the epoch.
    """

    merge_window_s: float = 2
    retention_s: float = 3600
    crashes: list[CrashRecord] = field(default_factory=list)
    cleared_s_by_fingerprint: dict[str, float] = field(default_factory=dict)


def add_crash(history: CrashHistory, record: CrashRecord) -> None:
    """Merge a crash record; adding it again has no effect."""
    if not record.fingerprints:
        return
    oldest_s = record.at_s - history.retention_s
    kept = [known for known in history.crashes if known.at_s >= oldest_s]
    merged = record
    for earlier in list(kept):
        if _is_same_crash(earlier, merged, history.merge_window_s):
            kept.remove(earlier)
            merged = CrashRecord(
                earlier.upstream_id,
                min(earlier.at_s, merged.at_s),
                earlier.fingerprints | merged.fingerprints,
            )
    kept.append(merged)
    history.crashes = sorted(kept, key=lambda one: one.at_s)
    history.cleared_s_by_fingerprint = {
        fingerprint: cleared_s
        for fingerprint, cleared_s in history.cleared_s_by_fingerprint.items()
        if cleared_s >= oldest_s
    }


def clear_suspect(
    history: CrashHistory, fingerprint: str, now_s: float
) -> None:
    """Record that a suspect got a complete response.

    Crashes up to ``now_s`` no longer count against it.
    """
    if count_crashes(history, fingerprint):
        history.cleared_s_by_fingerprint[fingerprint] = now_s


def count_crashes(history: CrashHistory, fingerprint: str) -> int:
    """Count the crashes that involved a request since it was last cleared."""
    return sum(1 for _ in _iter_crashes_of(history, fingerprint))


def is_suspect(history: CrashHistory, fingerprint: str) -> bool:
    """Return whether the request must run apart from all other suspects."""
    return count_crashes(history, fingerprint) > 0


def is_poison(history: CrashHistory, fingerprint: str) -> bool:
    """Return whether the request is a poison request and must not be retried.

    It was involved in at least two crashes, and in one of the later ones it
    was the only request that had also been involved in an earlier crash.
    """
    crashes = list(_iter_crashes_of(history, fingerprint))
    return any(
        _earlier_suspects(history, crash) == {fingerprint}
        for crash in crashes[1:]
    )


def _is_same_crash(
    one: CrashRecord, other: CrashRecord, merge_window_s: float
) -> bool:
    same_upstream = one.upstream_id == other.upstream_id
    return same_upstream and abs(one.at_s - other.at_s) <= merge_window_s


def _iter_crashes_of(
    history: CrashHistory, fingerprint: str
) -> Iterable[CrashRecord]:
    cleared_s = history.cleared_s_by_fingerprint.get(fingerprint, 0)
    return (
        crash
        for crash in history.crashes
        if fingerprint in crash.fingerprints and crash.at_s > cleared_s
    )


def _earlier_suspects(history: CrashHistory, crash: CrashRecord) -> set[str]:
    return {
        fingerprint
        for fingerprint in crash.fingerprints
        for earlier in _iter_crashes_of(history, fingerprint)
        if earlier.at_s < crash.at_s
    }
