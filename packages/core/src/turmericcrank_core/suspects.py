"""Stops a request that crashes its upstreams, without blaming neighbours.

Each crash is a record of the requests that were in progress, known by a
fingerprint of their content and not by their id. Records from all nodes
are merged as a set, so order and repeats do not matter. A request that was
in a crash is sent again with no other suspect beside it. It is convicted
when it was the only suspect in a later crash. Neighbours that are answered
are cleared.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = (
    'CrashRecord',
    'SuspectBook',
    'add_crash',
    'clear_suspect',
    'count_crashes',
    'is_convicted',
    'is_suspect',
)


@dataclass(slots=True, frozen=True)
class CrashRecord:
    """One crash as one node saw it.

    Attributes:
        upstream_id: Upstream that crashed.
        at_s: When, seconds since the epoch.
        fingerprints: Requests of that node in progress there.
    """

    upstream_id: str
    at_s: float
    fingerprints: frozenset[str]


@dataclass(slots=True)
class SuspectBook:
    """Crashes of the recent past.

    Attributes:
        merge_s: Records of one upstream within this time are one crash.
        keep_s: How long a crash is remembered.
        crashes: Merged crashes, oldest first.
        cleared_by_fingerprint: When a request was answered after a crash.
    """

    merge_s: float = 2
    keep_s: float = 3600
    crashes: list[CrashRecord] = field(default_factory=list)
    cleared_by_fingerprint: dict[str, float] = field(default_factory=dict)


def add_crash(book: SuspectBook, record: CrashRecord) -> None:
    """Merge one record; the same record again changes nothing."""
    if not record.fingerprints:
        return
    oldest_s = record.at_s - book.keep_s
    kept = [known for known in book.crashes if known.at_s >= oldest_s]
    merged = record
    for earlier in list(kept):
        if _is_same_crash(earlier, merged, book.merge_s):
            kept.remove(earlier)
            merged = CrashRecord(
                earlier.upstream_id,
                min(earlier.at_s, merged.at_s),
                earlier.fingerprints | merged.fingerprints,
            )
    kept.append(merged)
    book.crashes = sorted(kept, key=lambda one: one.at_s)
    book.cleared_by_fingerprint = {
        fingerprint: cleared_s
        for fingerprint, cleared_s in book.cleared_by_fingerprint.items()
        if cleared_s >= oldest_s
    }


def clear_suspect(book: SuspectBook, fingerprint: str, now_s: float) -> None:
    """Note that a suspect was answered whole; earlier crashes are not its."""
    if count_crashes(book, fingerprint):
        book.cleared_by_fingerprint[fingerprint] = now_s


def count_crashes(book: SuspectBook, fingerprint: str) -> int:
    """Count the crashes that a request was in since it was last cleared."""
    return sum(1 for _ in _iter_crashes_of(book, fingerprint))


def is_suspect(book: SuspectBook, fingerprint: str) -> bool:
    """Tell whether the request must run with no other suspect beside it."""
    return count_crashes(book, fingerprint) > 0


def is_convicted(book: SuspectBook, fingerprint: str) -> bool:
    """Tell whether the request must not be sent again.

    It was in two crashes, and in one after the first it was the only
    request that had been in an earlier crash.
    """
    crashes = list(_iter_crashes_of(book, fingerprint))
    return any(
        _earlier_suspects(book, crash) == {fingerprint} for crash in crashes[1:]
    )


def _is_same_crash(
    one: CrashRecord, other: CrashRecord, merge_s: float
) -> bool:
    same_upstream = one.upstream_id == other.upstream_id
    return same_upstream and abs(one.at_s - other.at_s) <= merge_s


def _iter_crashes_of(
    book: SuspectBook, fingerprint: str
) -> Iterable[CrashRecord]:
    cleared_s = book.cleared_by_fingerprint.get(fingerprint, 0)
    return (
        crash
        for crash in book.crashes
        if fingerprint in crash.fingerprints and crash.at_s > cleared_s
    )


def _earlier_suspects(book: SuspectBook, crash: CrashRecord) -> set[str]:
    return {
        fingerprint
        for fingerprint in crash.fingerprints
        for earlier in _iter_crashes_of(book, fingerprint)
        if earlier.at_s < crash.at_s
    }
