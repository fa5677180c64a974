"""Finds in which crashes the parts of prompts were, and what explains these."""

import math
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, replace

from turmericcrank_core.crash_evidence import (
    CrashHistory,
    CrashRecord,
    is_open,
)
from turmericcrank_core.crash_suspects import is_request, list_carriers

__all__ = (
    'PartEvidence',
    'PartGroup',
    'gather_evidence',
    'is_elsewhere',
    'list_groups',
    'list_own_crashes',
)

# A part of one request is judged as the request.
_MIN_REQUESTS = 2
# A part that was in fewer crashes explains none of them.
_MIN_EXPLAINED = 2


@dataclass(slots=True, frozen=True)
class PartGroup:
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

    @property
    def n_requests(self) -> int:
        """Return the number of different requests that carry it."""
        return len({fingerprint for _, fingerprint in self.carriers})


@dataclass(slots=True, frozen=True)
class PartEvidence:
    """Crashes, and what may explain them.

    Attributes:
        history: Crashes of all nodes, and what was answered since.
        crashes: Crashes that are judged, with the requests that count.
        answered: Keys that were answered before.
        until_s_by_known: Known culprits, each with the time up to which it
            explains crashes.
        known_by_index: Known groups of parts that explain a crash, by its
            index.
        new_indices: Indices of crashes that a part without an answer may
            explain.
    """

    history: CrashHistory
    crashes: list[CrashRecord]
    answered: Collection[str]
    until_s_by_known: Mapping[frozenset[str], float]
    known_by_index: Mapping[int, list[frozenset[str]]]
    new_indices: frozenset[int] = frozenset()


def gather_evidence(
    history: CrashHistory,
    crashes: list[CrashRecord],
    until_s_by_known: Mapping[frozenset[str], float],
    answered: Collection[str],
) -> PartEvidence:
    """Find which crashes parts of prompts explain, known ones and new ones.

    A blocked request explains nothing here: a part of its prompt may be the
    cause.

    Args:
        history: Crashes of all nodes.
        crashes: Crashes to judge, with the requests that count.
        until_s_by_known: Known culprits, each with the time up to which it
            explains crashes.
        answered: Keys that were answered before.
    """
    known_by_index: dict[int, list[frozenset[str]]] = {}
    for known, until_s in until_s_by_known.items():
        if is_request(known, crashes):
            continue
        for index, crash in enumerate(crashes):
            if crash.at_s <= until_s and list_carriers(crash, known):
                known_by_index.setdefault(index, []).append(known)
    evidence = PartEvidence(
        history, crashes, answered, until_s_by_known, known_by_index
    )
    new_groups = _group_parts(evidence, answered)
    new_indices = frozenset().union(
        *(
            group.crash_indices
            for group in new_groups
            if len(group.crash_indices) >= _MIN_EXPLAINED
            and not _is_blamed(group, until_s_by_known)
        )
    )
    return replace(evidence, new_indices=new_indices)


def list_groups(
    evidence: PartEvidence, *, has_answers: bool
) -> list[PartGroup]:
    """Return the groups of several requests that are not blamed yet.

    Args:
        evidence: Crashes.
        has_answers: Whether parts that were answered before are grouped too.
    """
    left_out = () if has_answers else evidence.answered
    return [
        group
        for group in _group_parts(evidence, left_out)
        if group.n_requests >= _MIN_REQUESTS
        and not _is_blamed(group, evidence.until_s_by_known)
    ]


def is_elsewhere(
    evidence: PartEvidence, group: PartGroup, crash: CrashRecord
) -> bool:
    """Return whether a crash is known to be of a service without the group.

    A part is known by its service, so no other one can be sent it.
    """
    service_by_id = evidence.history.service_by_upstream_id
    service = service_by_id.get(crash.upstream_id)
    own_ids = (
        evidence.crashes[index].upstream_id for index in group.crash_indices
    )
    own_services = {service_by_id.get(own_id) for own_id in own_ids} - {None}
    return bool(service and own_services) and service not in own_services


def list_own_crashes(
    evidence: PartEvidence, group: PartGroup
) -> frozenset[int]:
    """Return the crashes of a group that no known group explains.

    A wider known group does not count: the group explains what it does.
    """
    return frozenset(
        index
        for index in group.crash_indices
        if all(
            group.parts < known
            for known in evidence.known_by_index.get(index, ())
        )
    )


def _group_parts(
    evidence: PartEvidence, left_out: Collection[str]
) -> list[PartGroup]:
    carriers_by_part: dict[str, set[tuple[int, str]]] = {}
    for index, part, fingerprint in _iter_open_parts(evidence):
        if part not in left_out:
            carriers = carriers_by_part.setdefault(part, set())
            carriers.add((index, fingerprint))
    parts_by_carriers: dict[frozenset[tuple[int, str]], set[str]] = {}
    for part, carriers in carriers_by_part.items():
        parts_by_carriers.setdefault(frozenset(carriers), set()).add(part)
    return [
        PartGroup(frozenset(parts), shared_carriers)
        for shared_carriers, parts in parts_by_carriers.items()
    ]


def _iter_open_parts(evidence: PartEvidence) -> Iterator[tuple[int, str, str]]:
    """Yield index of the crash, part and fingerprint of its request."""
    for index, crash in enumerate(evidence.crashes):
        for suspect in crash.suspects:
            for part in suspect.parts:
                if is_open(evidence.history, crash, part):
                    yield index, part, suspect.fingerprint


def _is_blamed(
    group: PartGroup, until_s_by_known: Mapping[frozenset[str], float]
) -> bool:
    """Return whether requests with a group are blocked already."""
    return any(
        known <= group.parts and until_s == math.inf
        for known, until_s in until_s_by_known.items()
    )
