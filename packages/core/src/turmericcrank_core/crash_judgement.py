"""Judges what makes upstreams crash: a request, or a part of many prompts.

What the crashes leave open is judged by how many of them it was in:

- If the upstream had begun to respond to some of the requests, which takes a
  moment until the first output, one of these has most likely crashed it, not
  one that waited. If that finds no part to blame, those that waited count too.
- Parts that always came together are judged as one group, and only requests
  with all of them are blamed, so that requests with one of them go on and
  tell them apart. A group is blamed for three crashes of requests that had
  begun, or for five of requests that waited, under at least two different
  requests, if no other group was in all of them too. It takes more crashes
  while there are crashes without the group, since it may be at some of these
  by coincidence.
- A request is blamed for two crashes if it was the only suspect of the later
  one that had been in an earlier one, or else for three.
- Crashes that are explained by one culprit do not count against others.

Crashes at the same moment count once: a failure of a data centre or of power
ends many upstreams, and requests that are sent often were at all of them.
"""

import math
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from turmericcrank_core.crash_evidence import (
    CrashHistory,
    CrashRecord,
    Suspect,
    is_open,
)

__all__ = (
    'WeighedGroup',
    'find_part_groups',
    'find_requests',
    'is_superseded',
    'weigh_part_groups',
)

_MIN_PART_REQUESTS = 2
_MIN_REQUEST_CRASHES = 3
_SAME_MOMENT_S = 0.3
# Fewer crashes are no sign of a culprit yet.
_MIN_WEIGHED_CRASHES = 3


@dataclass(slots=True, frozen=True)
class _BlameRule:
    """When a group of parts is blamed.

    Attributes:
        must_have_begun: Whether only crashes count in which the upstream had
            begun to respond to a request.
        min_crashes: Number of crashes with the group.
        coincidence_rate: Share of the crashes without the group by which
            that number rises: a sound part may be in as many of them.
    """

    must_have_begun: bool
    min_crashes: int
    coincidence_rate: float


_BEGUN_RULE = _BlameRule(
    must_have_begun=True, min_crashes=3, coincidence_rate=1 / 4
)
_ANY_RULE = _BlameRule(
    must_have_begun=False, min_crashes=5, coincidence_rate=1 / 2
)


def find_part_groups(
    history: CrashHistory,
    until_s_by_known: Mapping[frozenset[str], float],
    settled_s: float,
) -> list[frozenset[str]]:
    """Return the groups of parts that are to blame and not known as such yet.

    Args:
        history: Crashes of all nodes.
        until_s_by_known: Groups found before, each with the time up to which
            crashes of requests that carry it are explained.
        settled_s: Time of the newest crash that is judged. A node that has
            not heard all about a crash may miss the culprit and blame a part
            of requests beside it.

    Returns:
        Requests that carry all keys of one of the groups crash their
        upstream.
    """
    settled = [crash for crash in history.crashes if crash.at_s <= settled_s]
    until_s_by_group = dict(until_s_by_known)
    found: list[frozenset[str]] = []
    group = _find_part_group(history, settled, until_s_by_group)
    while group is not None:
        found.append(group)
        until_s_by_group[group] = math.inf
        group = _find_part_group(history, settled, until_s_by_group)
    return found


@dataclass(slots=True, frozen=True)
class WeighedGroup:
    """A group of parts that is not blamed yet, and what it takes.

    Attributes:
        parts: Keys of the parts.
        n_crashes: Crashes that count against it.
        n_needed: Crashes that it takes.
        n_requests: Requests that carry it, over all of its crashes.
        has_rival: Whether another group was in all of its crashes.
    """

    parts: frozenset[str]
    n_crashes: int
    n_needed: float
    n_requests: int
    has_rival: bool


def weigh_part_groups(
    history: CrashHistory,
    until_s_by_known: Mapping[frozenset[str], float],
    settled_s: float,
) -> list[WeighedGroup]:
    """Return the groups that are closest to being blamed, for the log.

    Args:
        history: Crashes of all nodes.
        until_s_by_known: As for ``find_part_groups``.
        settled_s: As for ``find_part_groups``.

    Returns:
        Groups with several crashes, those with most of them first.
    """
    settled = [crash for crash in history.crashes if crash.at_s <= settled_s]
    crashes = _limit_explained(settled, until_s_by_known)
    groups = _group_parts(history, crashes)
    weighed = [
        WeighedGroup(
            group.parts,
            _count_moments(crashes, group.crash_indices),
            _ANY_RULE.min_crashes
            + _count_other_moments(group, crashes) * _ANY_RULE.coincidence_rate,
            len(group.carriers),
            _has_rival(group, groups),
        )
        for group in groups
        if len(group.crash_indices) >= _MIN_WEIGHED_CRASHES
        and not _is_blamed(group, until_s_by_known)
    ]
    weighed.sort(key=lambda one: (-one.n_crashes, sorted(one.parts)))
    return weighed


def find_requests(
    history: CrashHistory, until_s_by_known: Mapping[frozenset[str], float]
) -> list[frozenset[str]]:
    """Return the fingerprints that are to blame and not known as such yet.

    Args:
        history: Crashes of all nodes.
        until_s_by_known: Culprits found before, parts too, each with the time
            up to which crashes of requests that carry it are explained.
    """
    crashes = [_limit_to_begun(history, crash) for crash in history.crashes]
    for known, until_s in until_s_by_known.items():
        crashes, _ = _explain(crashes, known, until_s)
    return [
        frozenset((fingerprint,))
        for fingerprint in sorted(_iter_requests_to_blame(history, crashes))
    ]


def is_superseded(
    history: CrashHistory,
    group: frozenset[str],
    others: Collection[frozenset[str]],
) -> bool:
    """Return whether other culprits explain all crashes of a group better.

    Several parts may do so together. Of blocked requests one alone has to,
    since several of them with the same part speak for the part.
    """
    requests = [one for one in others if _is_request(one, history.crashes)]
    parts = [one for one in others if one not in requests]
    return any(
        _explain_better(history, group, explaining)
        for explaining in (parts, *([one] for one in requests))
    )


def _explain_better(
    history: CrashHistory,
    group: frozenset[str],
    others: Collection[frozenset[str]],
) -> bool:
    """Return whether others are at all crashes of a group, and fit better.

    They do if in each crash the requests with one of them are among those
    with the group, and in one crash there are fewer of them.
    """
    is_narrower = False
    for crash in history.crashes:
        limited = _limit_to_begun(history, crash)
        carriers = _list_carriers(limited, group)
        shares = [_list_carriers(limited, other) for other in others]
        fitting = [share for share in shares if share and share <= carriers]
        if carriers and not fitting:
            return False
        is_narrower |= any(share < carriers for share in fitting)
    return is_narrower


def _list_carriers(
    crash: CrashRecord, group: frozenset[str]
) -> frozenset[Suspect]:
    return frozenset(
        suspect for suspect in crash.suspects if group <= suspect.keys
    )


def _explain(
    crashes: list[CrashRecord], culprit: frozenset[str], until_s: float
) -> tuple[list[CrashRecord], list[CrashRecord]]:
    """Split crashes into those that a culprit leaves open and the others.

    The others are limited to requests that carry it, since only a part of
    these may be to blame.
    """
    open_crashes = []
    limited = []
    for crash in crashes:
        carriers = _list_carriers(crash, culprit)
        if carriers and crash.at_s <= until_s:
            limited.append(replace(crash, suspects=carriers))
        else:
            open_crashes.append(crash)
    return open_crashes, limited


@dataclass(slots=True, frozen=True)
class _PartGroup:
    """Parts that were carried by the same suspects.

    Attributes:
        parts: Keys of the parts.
        carriers: Index of a crash and fingerprint, for each suspect.
    """

    parts: frozenset[str]
    carriers: frozenset[tuple[int, str]]

    @property
    def crash_indices(self) -> frozenset[int]:
        """Return the indices of its crashes."""
        return frozenset(index for index, _ in self.carriers)


def _find_part_group(
    history: CrashHistory,
    settled: list[CrashRecord],
    until_s_by_known: Mapping[frozenset[str], float],
) -> frozenset[str] | None:
    """Return a group to blame, from requests that had begun if there is one.

    An upstream may also crash before it responds, beside others that it had
    begun to respond to, so in the end all suspects are judged.
    """
    likely = [_limit_to_begun(history, crash) for crash in settled]
    for suspected, rule in (
        (likely, _BEGUN_RULE),
        (likely, _ANY_RULE),
        (settled, _ANY_RULE),
    ):
        crashes = _limit_explained(suspected, until_s_by_known)
        group = _find_group_by(history, crashes, rule, until_s_by_known)
        if group is not None:
            return group
    return None


def _find_group_by(
    history: CrashHistory,
    crashes: list[CrashRecord],
    rule: _BlameRule,
    until_s_by_known: Mapping[frozenset[str], float],
) -> frozenset[str] | None:
    groups = _group_parts(history, crashes)
    candidates = sorted(
        (
            group
            for group in groups
            if not _is_blamed(group, until_s_by_known)
            and _has_enough_crashes(group, crashes, rule)
        ),
        key=_rank_group,
        reverse=True,
    )
    return next(
        (group.parts for group in candidates if not _has_rival(group, groups)),
        None,
    )


def _rank_group(group: _PartGroup) -> tuple[int, int, list[str]]:
    """Return the sort key of a group; the names let all nodes agree."""
    n_crashes = len(group.crash_indices)
    return n_crashes, -len(group.carriers), sorted(group.parts)


def _is_blamed(
    group: _PartGroup, until_s_by_known: Mapping[frozenset[str], float]
) -> bool:
    """Return whether requests with a group are blocked already."""
    return any(
        known <= group.parts and until_s == math.inf
        for known, until_s in until_s_by_known.items()
    )


def _limit_to_begun(history: CrashHistory, crash: CrashRecord) -> CrashRecord:
    """Limit a crash to requests that had begun, if any is not yet cleared.

    An upstream may end before it begins to respond to the culprit. Those that
    had begun there are sent again and soon cleared.
    """
    begun = frozenset(
        suspect
        for suspect in crash.suspects
        if suspect.has_begun and is_open(history, crash, suspect.fingerprint)
    )
    if not begun:
        return crash
    return CrashRecord(crash.upstream_id, crash.at_s, begun)


def _limit_explained(
    crashes: list[CrashRecord],
    until_s_by_known: Mapping[frozenset[str], float],
) -> list[CrashRecord]:
    """Limit crashes that a known group of parts explains to its parts.

    A blocked request explains nothing here: a part of its prompt may be the
    cause.
    """
    limited: list[CrashRecord] = []
    # One part explains more than a group that contains it.
    for known in sorted(until_s_by_known, key=len):
        if not _is_request(known, crashes):
            until_s = until_s_by_known[known]
            crashes, explained = _explain(crashes, known, until_s)
            limited += explained
    return crashes + limited


def _is_request(culprit: frozenset[str], crashes: list[CrashRecord]) -> bool:
    """Return whether a culprit is the fingerprint of a request."""
    return any(
        suspect.fingerprint in culprit
        for crash in crashes
        for suspect in crash.suspects
    )


def _group_parts(
    history: CrashHistory, crashes: list[CrashRecord]
) -> list[_PartGroup]:
    carriers_by_part: dict[str, set[tuple[int, str]]] = {}
    for index, crash in enumerate(crashes):
        for suspect in crash.suspects:
            for part in suspect.parts:
                if is_open(history, crash, part):
                    carriers = carriers_by_part.setdefault(part, set())
                    carriers.add((index, suspect.fingerprint))
    parts_by_carriers: dict[frozenset[tuple[int, str]], set[str]] = {}
    for part, carriers in carriers_by_part.items():
        parts_by_carriers.setdefault(frozenset(carriers), set()).add(part)
    return [
        _PartGroup(frozenset(parts), shared_carriers)
        for shared_carriers, parts in parts_by_carriers.items()
    ]


def _has_enough_crashes(
    group: _PartGroup, crashes: list[CrashRecord], rule: _BlameRule
) -> bool:
    if len(group.crash_indices) < rule.min_crashes:
        return False
    fingerprints = {fingerprint for _, fingerprint in group.carriers}
    if len(fingerprints) < _MIN_PART_REQUESTS:
        return False
    counted = [
        index
        for index in group.crash_indices
        if not rule.must_have_begun
        or any(suspect.has_begun for suspect in crashes[index].suspects)
    ]
    n_others = _count_other_moments(group, crashes)
    n_needed = rule.min_crashes + n_others * rule.coincidence_rate
    return _count_moments(crashes, counted) >= n_needed


def _count_other_moments(group: _PartGroup, crashes: list[CrashRecord]) -> int:
    """Count the crashes without a group since it was first in one."""
    first_s = min(crashes[index].at_s for index in group.crash_indices)
    other_indices = (
        number
        for number, crash in enumerate(crashes)
        if crash.at_s > first_s and number not in group.crash_indices
    )
    return _count_moments(crashes, other_indices)


def _has_rival(group: _PartGroup, groups: list[_PartGroup]) -> bool:
    """Return whether another group was in all crashes of this one.

    One that was also in all its requests is no rival: it goes on being sent
    without this group, and is then told apart.
    """
    return any(
        other.crash_indices >= group.crash_indices
        and not other.carriers >= group.carriers
        for other in groups
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
        if _count_moments(crashes, indices) >= _MIN_REQUEST_CRASHES or any(
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


def _count_moments(crashes: list[CrashRecord], indices: Iterable[int]) -> int:
    """Count crashes; those at the same moment as an earlier one count once."""
    count = 0
    counted_s = -math.inf
    for at_s in sorted(crashes[index].at_s for index in indices):
        if at_s - counted_s > _SAME_MOMENT_S:
            counted_s = at_s
            count += 1
    return count
