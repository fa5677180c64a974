"""Judges which parts of prompts make upstreams crash.

All crashes are explained together. A part that crashes each upstream is never
answered, so a part is judged by whether any request that carries it has been:

- One that was never answered is blamed for three crashes of requests that had
  begun, or five of requests that waited, also if others explain some of these.
  At least one of the crashes must not be explained by a known culprit, and the
  number rises with the crashes that no such part explains: these have other
  causes.
- One that was answered before is blamed only for crashes that neither a known
  culprit nor a part without an answer explains, at distinct moments, and not
  while another group was in all of them too.

In either case under two different requests at least. Parts that always came
together are judged as one group, and only requests with all of them are
blamed, so that requests with one of them go on and tell them apart.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from turmericcrank_core.crash_evidence import CrashHistory, CrashRecord
from turmericcrank_core.crash_suspects import (
    SAME_MOMENT_S,
    count_moments,
    limit_to_begun,
)
from turmericcrank_core.part_evidence import (
    PartEvidence,
    PartGroup,
    gather_evidence,
    is_elsewhere,
    list_groups,
    list_own_crashes,
)

__all__ = ('WeighedGroup', 'find_part_groups', 'weigh_part_groups')

# A loss of power ends many upstreams at one moment.
_MIN_MOMENTS = 2
# Fewer crashes are no sign of a culprit yet.
_MIN_WEIGHED_CRASHES = 3
# Nodes notice one crash within this time.
_SAME_CRASH_S = 0.04


@dataclass(slots=True, frozen=True)
class _BlameRule:
    """When a group of parts is blamed.

    Attributes:
        has_answers: Whether it applies to parts that were answered before.
        must_have_begun: Whether only crashes count in which the upstream had
            begun to respond to a request.
        min_crashes: Number of crashes with the group.
        coincidence_rate: Share of the unexplained crashes without the group
            by which that number rises.
        same_moment_s: Crashes closer together than this count once.
    """

    has_answers: bool
    must_have_begun: bool
    min_crashes: int
    coincidence_rate: float
    same_moment_s: float


_NEW_BEGUN = _BlameRule(
    has_answers=False,
    must_have_begun=True,
    min_crashes=3,
    coincidence_rate=1 / 4,
    same_moment_s=_SAME_CRASH_S,
)
_NEW_WAITING = _BlameRule(
    has_answers=False,
    must_have_begun=False,
    min_crashes=5,
    coincidence_rate=1 / 4,
    same_moment_s=_SAME_CRASH_S,
)
_ANSWERED_BEGUN = _BlameRule(
    has_answers=True,
    must_have_begun=True,
    min_crashes=3,
    coincidence_rate=1 / 4,
    same_moment_s=SAME_MOMENT_S,
)
_ANSWERED_WAITING = _BlameRule(
    has_answers=True,
    must_have_begun=False,
    min_crashes=5,
    coincidence_rate=1 / 2,
    same_moment_s=SAME_MOMENT_S,
)


@dataclass(slots=True, frozen=True)
class WeighedGroup:
    """A group of parts that is not blamed yet, and what it takes.

    Attributes:
        parts: Keys of the parts.
        has_answers: Whether requests with them were answered before.
        n_crashes: Crashes that count against it.
        n_needed: Crashes that it takes.
        n_requests: Requests that carry it, over all of its crashes.
    """

    parts: frozenset[str]
    has_answers: bool
    n_crashes: int
    n_needed: float
    n_requests: int


def find_part_groups(
    history: CrashHistory,
    until_s_by_known: Mapping[frozenset[str], float],
    settled_s: float,
    answered: Collection[str] = (),
) -> list[frozenset[str]]:
    """Return the groups of parts that are to blame and not known as such yet.

    Args:
        history: Crashes of all nodes.
        until_s_by_known: Groups found before, each with the time up to which
            crashes of requests that carry it are explained.
        settled_s: Time of the newest crash that is judged. A node that has
            not heard all about a crash may miss the culprit and blame a part
            of requests beside it.
        answered: Keys that were answered before, as far as this node knows.

    Returns:
        Requests that carry all keys of one of the groups crash their
        upstream.
    """
    settled = _list_settled(history, settled_s)
    until_s_by_group = dict(until_s_by_known)
    found: list[frozenset[str]] = []
    group = _find_part_group(history, settled, until_s_by_group, answered)
    while group is not None:
        found.append(group)
        until_s_by_group[group] = math.inf
        group = _find_part_group(history, settled, until_s_by_group, answered)
    return found


def weigh_part_groups(
    history: CrashHistory,
    until_s_by_known: Mapping[frozenset[str], float],
    settled_s: float,
    answered: Collection[str] = (),
) -> list[WeighedGroup]:
    """Return the groups that are closest to being blamed, for the log.

    The arguments are those of ``find_part_groups``.

    Returns:
        Groups with several crashes, those with most of them first.
    """
    settled = _list_settled(history, settled_s)
    evidence = gather_evidence(history, settled, until_s_by_known, answered)
    weighed = [
        WeighedGroup(
            group.parts,
            rule.has_answers,
            _count_crashes(evidence, group, rule),
            _count_needed(evidence, group, rule),
            len(group.carriers),
        )
        for rule in (_NEW_WAITING, _ANSWERED_WAITING)
        for group in list_groups(evidence, has_answers=rule.has_answers)
        if len(group.crash_indices) >= _MIN_WEIGHED_CRASHES
        and group.parts.isdisjoint(answered) is not rule.has_answers
    ]
    weighed.sort(key=lambda one: (-one.n_crashes, sorted(one.parts)))
    return weighed


def _list_settled(history: CrashHistory, settled_s: float) -> list[CrashRecord]:
    return [crash for crash in history.crashes if crash.at_s <= settled_s]


def _find_part_group(
    history: CrashHistory,
    settled: list[CrashRecord],
    until_s_by_known: Mapping[frozenset[str], float],
    answered: Collection[str],
) -> frozenset[str] | None:
    """Return a group to blame, from requests that had begun if there is one.

    An upstream may also crash before it responds, beside others that it had
    begun to respond to, so in the end all suspects are judged.
    """
    begun = [limit_to_begun(history, crash) for crash in settled]
    begun_evidence = gather_evidence(history, begun, until_s_by_known, answered)
    evidence = gather_evidence(history, settled, until_s_by_known, answered)
    for judged, rule in (
        (begun_evidence, _NEW_BEGUN),
        (begun_evidence, _NEW_WAITING),
        (evidence, _NEW_WAITING),
        (begun_evidence, _ANSWERED_BEGUN),
        (begun_evidence, _ANSWERED_WAITING),
        (evidence, _ANSWERED_WAITING),
    ):
        group = _find_group_by(judged, rule)
        if group is not None:
            return group.parts
    return None


def _find_group_by(
    evidence: PartEvidence, rule: _BlameRule
) -> PartGroup | None:
    groups = list_groups(evidence, has_answers=rule.has_answers)
    found = [
        group
        for group in groups
        if _has_enough_crashes(evidence, group, rule)
        and not (rule.has_answers and _has_rival(evidence, group, groups))
    ]
    if not found:
        return None
    return max(found, key=lambda group: _rank(evidence, rule, group, groups))


def _rank(
    evidence: PartEvidence,
    rule: _BlameRule,
    group: PartGroup,
    groups: list[PartGroup],
) -> tuple[int, bool, int, list[str]]:
    """Return the sort key of a group; the names let all nodes agree.

    Of groups at the same crashes the narrower of two is blamed first, as
    requests with the wider one go on without it.
    """
    own = list_own_crashes(evidence, group)
    is_widest = any(
        other.carriers < group.carriers
        and list_own_crashes(evidence, other) >= own
        for other in groups
    )
    n_crashes = count_moments(evidence.crashes, own, rule.same_moment_s)
    n_carriers = len(group.carriers)
    return n_crashes, not is_widest, n_carriers, sorted(group.parts)


def _has_enough_crashes(
    evidence: PartEvidence, group: PartGroup, rule: _BlameRule
) -> bool:
    if len(group.crash_indices) < rule.min_crashes:
        return False
    if not list_own_crashes(evidence, group):
        return False
    n_moments = count_moments(evidence.crashes, group.crash_indices)
    if n_moments < _MIN_MOMENTS:
        return False
    n_needed = _count_needed(evidence, group, rule)
    return _count_crashes(evidence, group, rule) >= n_needed


def _count_crashes(
    evidence: PartEvidence, group: PartGroup, rule: _BlameRule
) -> int:
    """Count the crashes that speak against a group."""
    indices = group.crash_indices
    if rule.has_answers:
        indices = list_own_crashes(evidence, group) - evidence.new_indices
    counted = [
        index
        for index in indices
        if not rule.must_have_begun or _has_begun(evidence.crashes[index])
    ]
    return count_moments(evidence.crashes, counted, rule.same_moment_s)


def _has_begun(crash: CrashRecord) -> bool:
    return any(suspect.has_begun for suspect in crash.suspects)


def _count_needed(
    evidence: PartEvidence, group: PartGroup, rule: _BlameRule
) -> float:
    """Return how many crashes it takes to blame a group.

    They are more by the unexplained crashes without it since it was first in
    one: a sound part may be in as many of them. Those of services that are not
    sent it do not count.
    """
    first_s = min(evidence.crashes[index].at_s for index in group.crash_indices)
    explained = (
        group.crash_indices
        | evidence.new_indices
        | evidence.known_by_index.keys()
    )
    unexplained = (
        index
        for index, crash in enumerate(evidence.crashes)
        if crash.at_s > first_s
        and index not in explained
        and not is_elsewhere(evidence, group, crash)
    )
    n_unexplained = count_moments(evidence.crashes, unexplained)
    return rule.min_crashes + n_unexplained * rule.coincidence_rate


def _has_rival(
    evidence: PartEvidence, group: PartGroup, groups: list[PartGroup]
) -> bool:
    """Return whether another group was in all crashes of this one.

    One that was also in all its requests is no rival: it goes on being sent
    without this group, and is then told apart.
    """
    own = list_own_crashes(evidence, group)
    return any(
        other.crash_indices >= own and not other.carriers >= group.carriers
        for other in groups
    )
