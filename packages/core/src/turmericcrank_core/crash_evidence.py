"""Collects what was at upstreams when they crashed, and what is proven sound.

Each crash record lists the requests that were waiting or running at the
upstream without any output so far: a request that has produced output did not
crash it. A request is known by the fingerprint of its content, which is equal
for each repetition, and by the keys of the prompt parts that it shares with
others. The records of all nodes are merged as a set, so their order and
repetition do not matter.

A fingerprint or part is proven sound by each output of a request that carries
it; earlier crashes then no longer count against it.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

__all__ = (
    'CrashHistory',
    'CrashRecord',
    'Suspect',
    'add_crash',
    'count_crashes',
    'is_open',
    'is_suspect',
    'is_suspect_since',
    'list_clearable',
    'record_proof',
)


@dataclass(slots=True, frozen=True)
class Suspect:
    """A request without output at an upstream that crashed.

    Attributes:
        fingerprint: Hash of its content.
        parts: Keys of the prompt parts that other requests may share.
        has_begun: Whether the upstream had begun to respond, without output.
    """

    fingerprint: str
    parts: frozenset[str] = frozenset()
    has_begun: bool = False

    @property
    def keys(self) -> frozenset[str]:
        """Return the fingerprint, unless it is empty, and the parts."""
        return self.parts | {self.fingerprint} - {''}


@dataclass(slots=True, frozen=True)
class CrashRecord:
    """One crash as observed by one node, or merged from several.

    Attributes:
        upstream_id: Upstream that crashed.
        at_s: Time of the crash, on a clock that all nodes share, in seconds.
        suspects: Requests without output there.
    """

    upstream_id: str
    at_s: float
    suspects: frozenset[Suspect]


@dataclass(slots=True)
class CrashHistory:
    """History of recent crashes.

    Attributes:
        merge_window_s: Records of one upstream within this time, in seconds,
            are the same crash.
        retention_s: Time for which a crash is kept, in seconds.
        max_crashes: Number of crashes that are kept at most.
        crashes: Merged crashes, oldest first.
        crashed_s_by_key: Last crash with a fingerprint or part, in seconds.
        proven_s_by_key: Last output of a request with a fingerprint or part
            after a crash with it, in seconds.
        service_by_upstream_id: Services of upstreams that crashed, where this
            node knows them.
    """

    merge_window_s: float = 2
    retention_s: float = 3600
    max_crashes: int = 200
    crashes: list[CrashRecord] = field(default_factory=list)
    crashed_s_by_key: dict[str, float] = field(default_factory=dict)
    proven_s_by_key: dict[str, float] = field(default_factory=dict)
    service_by_upstream_id: dict[str, str] = field(default_factory=dict)


def add_crash(history: CrashHistory, record: CrashRecord) -> bool:
    """Merge a crash record.

    Returns:
        False if it has no suspects or adds nothing to what is known.
    """
    if not record.suspects or _is_known(history, record):
        return False
    merged = record
    kept = []
    for earlier in history.crashes:
        if _is_same_crash(earlier, merged, history.merge_window_s):
            merged = CrashRecord(
                earlier.upstream_id,
                min(earlier.at_s, merged.at_s),
                earlier.suspects | merged.suspects,
            )
        else:
            kept.append(earlier)
    kept.append(merged)
    _keep_recent(history, kept, record.at_s - history.retention_s)
    return True


def record_proof(
    history: CrashHistory, keys: Iterable[str], at_s: float
) -> list[str]:
    """Record that a request with these keys has produced output.

    Args:
        history: Changed in place.
        keys: Fingerprint and parts of the request.
        at_s: Time of the output, in seconds.

    Returns:
        The keys that were in a crash which no longer counts against them.
    """
    proven = list_clearable(history, keys, at_s)
    for key in proven:
        history.proven_s_by_key[key] = at_s
    return proven


def list_clearable(
    history: CrashHistory, keys: Iterable[str], at_s: float
) -> list[str]:
    """Return the keys that output at a time clears of a crash, in order."""
    return [
        key
        for key in sorted(keys)
        if history.proven_s_by_key.get(key, -math.inf)
        < history.crashed_s_by_key.get(key, -math.inf)
        < at_s
    ]


def count_crashes(history: CrashHistory, key: str) -> int:
    """Count the crashes that still count against a fingerprint or part."""
    return sum(
        is_open(history, crash, key)
        and any(key in suspect.keys for suspect in crash.suspects)
        for crash in history.crashes
    )


def is_suspect(history: CrashHistory, key: str) -> bool:
    """Return whether any crash counts against a fingerprint or part."""
    return count_crashes(history, key) > 0


def is_suspect_since(
    history: CrashHistory, keys: Collection[str], until_s: float
) -> bool:
    """Return whether a crash up to some time counts against one of the keys."""
    return any(
        crash.at_s <= until_s and is_open(history, crash, key)
        for crash in history.crashes
        for key in _list_keys(crash).intersection(keys)
    )


def _keep_recent(
    history: CrashHistory, crashes: list[CrashRecord], oldest_s: float
) -> None:
    recent = [crash for crash in crashes if crash.at_s >= oldest_s]
    recent.sort(key=lambda crash: crash.at_s)
    n_expired = max(0, len(recent) - history.max_crashes)
    history.crashes = recent[n_expired:]
    history.crashed_s_by_key = {
        key: crash.at_s
        for crash in history.crashes
        for key in _list_keys(crash)
    }
    history.proven_s_by_key = {
        key: proven_s
        for key, proven_s in history.proven_s_by_key.items()
        if key in history.crashed_s_by_key
    }
    crashed_ids = {crash.upstream_id for crash in history.crashes}
    history.service_by_upstream_id = {
        upstream_id: service
        for upstream_id, service in history.service_by_upstream_id.items()
        if upstream_id in crashed_ids
    }


def _list_keys(crash: CrashRecord) -> frozenset[str]:
    return frozenset().union(*(suspect.keys for suspect in crash.suspects))


def _is_known(history: CrashHistory, record: CrashRecord) -> bool:
    window_s = history.merge_window_s
    for crash in reversed(history.crashes):
        if crash.at_s < record.at_s - window_s:
            return False
        # A later report of the same crash does not move its time.
        is_covered = (
            record.suspects <= crash.suspects and crash.at_s <= record.at_s
        )
        if is_covered and _is_same_crash(crash, record, window_s):
            return True
    return False


def _is_same_crash(
    one: CrashRecord, other: CrashRecord, merge_window_s: float
) -> bool:
    same_upstream = one.upstream_id == other.upstream_id
    return same_upstream and abs(one.at_s - other.at_s) <= merge_window_s


def is_open(history: CrashHistory, crash: CrashRecord, key: str) -> bool:
    """Return whether a crash still counts against one of its keys."""
    return history.proven_s_by_key.get(key, -math.inf) < crash.at_s
