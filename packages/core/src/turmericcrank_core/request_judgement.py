"""Judges which requests make upstreams crash.

A request is blamed for two crashes if it was the only suspect of the later one
that had been in an earlier one, or else for three. One that only waited beside
others that had begun is blamed for three crashes, unless another request or
part was in all of them too. Crashes that a culprit explains do not count
against others.
"""

from collections.abc import Iterator, Mapping

from turmericcrank_core.crash_evidence import (
    CrashHistory,
    CrashRecord,
    is_open,
)
from turmericcrank_core.crash_suspects import (
    count_moments,
    limit_to_begun,
    list_carriers,
)

__all__ = ('find_requests',)

_MIN_REQUEST_CRASHES = 3


def find_requests(
    history: CrashHistory, until_s_by_known: Mapping[frozenset[str], float]
) -> list[frozenset[str]]:
    """Return the fingerprints that are to blame and not known as such yet.

    Args:
        history: Crashes of all nodes.
        until_s_by_known: Culprits found before, parts too, each with the time
            up to which crashes of requests that carry it are explained.
    """
    crashes = [
        crash
        for crash in history.crashes
        if not _is_explained(crash, until_s_by_known)
    ]
    begun = [limit_to_begun(history, crash) for crash in crashes]
    fingerprints = {
        *_iter_requests_to_blame(history, begun),
        *_iter_waiting_to_blame(history, crashes),
    }
    return [frozenset((fingerprint,)) for fingerprint in sorted(fingerprints)]


def _is_explained(
    crash: CrashRecord, until_s_by_known: Mapping[frozenset[str], float]
) -> bool:
    return any(
        crash.at_s <= until_s and list_carriers(crash, known)
        for known, until_s in until_s_by_known.items()
    )


def _iter_waiting_to_blame(
    history: CrashHistory, crashes: list[CrashRecord]
) -> Iterator[str]:
    """Yield the requests that alone were in all of several crashes."""
    indices_by_key: dict[str, set[int]] = {}
    for index, key, _ in _iter_open_keys(history, crashes):
        indices_by_key.setdefault(key, set()).add(index)
    for fingerprint, own_keys in _find_own_keys(crashes).items():
        indices = indices_by_key.get(fingerprint, set())
        is_often = count_moments(crashes, indices) >= _MIN_REQUEST_CRASHES
        if is_often and not _has_rival(indices_by_key, indices, own_keys):
            yield fingerprint


def _find_own_keys(crashes: list[CrashRecord]) -> dict[str, frozenset[str]]:
    """Return the keys of each request, by its fingerprint."""
    return {
        suspect.fingerprint: suspect.keys
        for crash in crashes
        for suspect in crash.suspects
    }


def _has_rival(
    indices_by_key: Mapping[str, set[int]],
    indices: set[int],
    own_keys: frozenset[str],
) -> bool:
    """Return whether a key of other requests was in all of some crashes."""
    return any(
        indices_by_key[key] >= indices
        for key in indices_by_key.keys() - own_keys
    )


def _iter_requests_to_blame(
    history: CrashHistory, crashes: list[CrashRecord]
) -> Iterator[str]:
    indices_by_request: dict[str, list[int]] = {}
    first_index_by_key: dict[str, int] = {}
    for index, key, is_request in _iter_open_keys(history, crashes):
        first_index_by_key.setdefault(key, index)
        if is_request:
            indices_by_request.setdefault(key, []).append(index)
    for fingerprint, indices in indices_by_request.items():
        if count_moments(crashes, indices) >= _MIN_REQUEST_CRASHES or any(
            _is_only_earlier_suspect(
                history, crashes, later, fingerprint, first_index_by_key
            )
            for later in indices[1:]
        ):
            yield fingerprint


def _iter_open_keys(
    history: CrashHistory, crashes: list[CrashRecord]
) -> Iterator[tuple[int, str, bool]]:
    """Yield crash index, key and whether it is a fingerprint."""
    for index, crash in enumerate(crashes):
        for suspect in crash.suspects:
            for key in suspect.keys:
                if is_open(history, crash, key):
                    yield index, key, key == suspect.fingerprint


def _is_only_earlier_suspect(
    history: CrashHistory,
    crashes: list[CrashRecord],
    index: int,
    fingerprint: str,
    first_index_by_key: dict[str, int],
) -> bool:
    """Return whether no other suspect of a crash was in an earlier one."""
    crash = crashes[index]
    return not any(
        is_open(history, crash, key) and first_index_by_key[key] < index
        for suspect in crash.suspects
        if suspect.fingerprint != fingerprint
        for key in suspect.keys
    )
