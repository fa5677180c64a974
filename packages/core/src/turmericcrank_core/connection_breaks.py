"""Tells which broken connections were crashes though the address accepts.

Something may accept connections in place of an upstream that has crashed: a
supervisor that holds its socket, a proxy, or the next process after a fast
restart. A connection that breaks alone proves nothing, so each break waits for
evidence:

- an upstream that started later is listed at the address, or the row of the
  upstream is removed though it was not draining;
- requests with the same content or prompt part broke at several upstreams and
  none of them was answered in between, though the service answered others.
"""

import itertools
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from turmericcrank_core.crash_evidence import CrashRecord, Suspect
from turmericcrank_core.upstream_registry import (
    ListedUpstream,
    UpstreamRegistry,
)

__all__ = (
    'BreakHistory',
    'ConnectionBreak',
    'add_break',
    'find_answered_since',
    'has_ended_before',
    'record_answer',
    'record_answered_keys',
    'take_ended',
    'take_repeated',
)

_ROW_WINDOW_S = 10
_RETENTION_S = 60
_LATE_S = 1
_MAX_BREAKS = 256
_MAX_ANSWERED_KEYS = 4096
_MIN_UPSTREAMS = 3
_MIN_REQUESTS = 2
_SAME_MOMENT_S = 0.3
# Fewer answers to others may mean that the service fails as a whole.
_MIN_ANSWERS_PER_BREAK = 2


@dataclass(slots=True, frozen=True)
class ConnectionBreak:
    """A request whose connection broke, or that its upstream let wait.

    Attributes:
        upstream: Upstream, as listed when the request was sent.
        at_s: Time of the break, on a clock that all nodes share, in seconds.
        request_id: Id of the request.
        suspect: What it is blamed by if the upstream crashed.
        is_unresponsive: Whether the connection did not break, but the
            upstream sent nothing.
        is_leaving: Whether its row was removed or it was draining before.
        n_answers: Answers of the service up to the break.
    """

    upstream: ListedUpstream
    at_s: float
    request_id: str
    suspect: Suspect
    is_unresponsive: bool = False
    is_leaving: bool = False
    n_answers: int = 0


@dataclass(slots=True)
class BreakHistory:
    """Recent breaks of one node that do not count as crashes.

    Attributes:
        breaks: The breaks, oldest first.
        n_answers_by_service: Answers since this node has started.
        broken_s_by_id: First break of an upstream since its last answer.
        answered_s_by_id: Last answer of an upstream.
        answered_s_by_key: Last answer to a fingerprint or part, oldest first.
    """

    breaks: list[ConnectionBreak] = field(default_factory=list)
    n_answers_by_service: dict[str, int] = field(default_factory=dict)
    broken_s_by_id: dict[str, float] = field(default_factory=dict)
    answered_s_by_id: dict[str, float] = field(default_factory=dict)
    answered_s_by_key: dict[str, float] = field(default_factory=dict)


def add_break(history: BreakHistory, added: ConnectionBreak) -> None:
    """Keep a break until there is evidence, for a limited time."""
    n_answers = history.n_answers_by_service.get(added.upstream.service, 0)
    oldest_s = added.at_s - _RETENTION_S
    for times_s in (history.broken_s_by_id, history.answered_s_by_id):
        expired = [key for key in times_s if times_s[key] < oldest_s]
        for upstream_id in expired:
            times_s.pop(upstream_id)
    history.broken_s_by_id.setdefault(added.upstream.upstream_id, added.at_s)
    recent = [
        one for one in history.breaks if added.at_s - one.at_s < _RETENTION_S
    ]
    recent.append(replace(added, n_answers=n_answers))
    history.breaks = recent[-_MAX_BREAKS:]


def has_ended_before(
    history: BreakHistory,
    crashes: Iterable[CrashRecord],
    upstream_id: str,
    at_s: float,
) -> bool:
    """Return whether an upstream had broken before, and not answered since.

    It has then not run the request whose connection broke.
    """
    broken_s = [
        crash.at_s for crash in crashes if crash.upstream_id == upstream_id
    ]
    broken_s.append(history.broken_s_by_id.get(upstream_id, -math.inf))
    answered_s = history.answered_s_by_id.get(upstream_id, -math.inf)
    return any(
        _SAME_MOMENT_S < at_s - one_s < _ROW_WINDOW_S and one_s > answered_s
        for one_s in broken_s
    )


def record_answer(
    history: BreakHistory,
    upstream: ListedUpstream,
    keys: frozenset[str],
    at_s: float,
) -> None:
    """Record that an upstream answers a request with these keys."""
    history.answered_s_by_id[upstream.upstream_id] = at_s
    history.broken_s_by_id.pop(upstream.upstream_id, None)
    record_answered_keys(history, keys, at_s)
    service = upstream.service
    count = history.n_answers_by_service.get(service, 0)
    history.n_answers_by_service[service] = count + 1
    if history.breaks:
        history.breaks = [
            _clear_parts(one, keys)
            for one in history.breaks
            if one.suspect.fingerprint not in keys
        ]


def find_answered_since(
    history: BreakHistory, crash: CrashRecord, now_s: float
) -> dict[str, float]:
    """Return the keys at a crash that were answered since, with the times.

    Only for a crash that is reported late; otherwise answers follow soon.
    """
    if now_s - crash.at_s < _LATE_S:
        return {}
    keys = {key for suspect in crash.suspects for key in suspect.keys}
    return {
        key: history.answered_s_by_key[key]
        for key in sorted(keys)
        if history.answered_s_by_key.get(key, -math.inf) > crash.at_s
    }


def take_repeated(
    history: BreakHistory, suspect: Suspect
) -> list[ConnectionBreak]:
    """Remove and return the breaks that share a key which crashes upstreams."""
    for key in sorted(suspect.keys):
        carrying = [
            one
            for one in history.breaks
            if key in one.suspect.keys and not one.is_unresponsive
        ]
        if carrying and _is_repeated(history, carrying):
            return _take(history, carrying.__contains__)
    return []


def take_ended(
    history: BreakHistory, registry: UpstreamRegistry, now_s: float
) -> list[ConnectionBreak]:
    """Remove the breaks whose upstreams have ended by their rows.

    Returns:
        Those at the moment of the first break of each upstream. Later requests
        were not run, as the upstream had ended.
    """
    if not history.breaks:
        return []
    born_ms_by_address: dict[str, int] = {}
    for listed in registry.by_id.values():
        known_ms = born_ms_by_address.get(listed.address, 0)
        born_ms_by_address[listed.address] = max(known_ms, listed.born_ms)
    ended = _take(
        history,
        lambda one: (
            now_s - one.at_s < _ROW_WINDOW_S
            and (
                one.upstream.born_ms
                < born_ms_by_address.get(one.upstream.address, 0)
                or _is_removed(registry, one)
            )
        ),
    )
    first_s_by_id: dict[str, float] = {}
    for ending in ended:
        first_s_by_id.setdefault(ending.upstream.upstream_id, ending.at_s)
    return [
        one
        for one in ended
        if one.at_s - first_s_by_id[one.upstream.upstream_id] <= _SAME_MOMENT_S
    ]


def record_answered_keys(
    history: BreakHistory, keys: frozenset[str], at_s: float
) -> None:
    """Record that a request with these keys was answered."""
    answered_s_by_key = history.answered_s_by_key
    for key in keys:
        answered_s_by_key.pop(key, None)
        answered_s_by_key[key] = at_s
    n_surplus = max(0, len(answered_s_by_key) - _MAX_ANSWERED_KEYS)
    for oldest in list(itertools.islice(answered_s_by_key, n_surplus)):
        answered_s_by_key.pop(oldest)


def _is_removed(registry: UpstreamRegistry, one: ConnectionBreak) -> bool:
    if one.is_leaving or one.is_unresponsive:
        return False
    upstream_id = one.upstream.upstream_id
    if upstream_id in registry.missing_since_s_by_id:
        return True
    return upstream_id not in registry.by_id


def _take(
    history: BreakHistory, is_taken: Callable[[ConnectionBreak], bool]
) -> list[ConnectionBreak]:
    taken = [one for one in history.breaks if is_taken(one)]
    if taken:
        history.breaks = [one for one in history.breaks if one not in taken]
    return taken


def _clear_parts(one: ConnectionBreak, keys: frozenset[str]) -> ConnectionBreak:
    if not one.suspect.parts & keys:
        return one
    parts = one.suspect.parts - keys
    return replace(one, suspect=replace(one.suspect, parts=parts))


def _is_repeated(
    history: BreakHistory, carrying: list[ConnectionBreak]
) -> bool:
    upstreams = {one.upstream.address for one in carrying}
    requests = {one.request_id for one in carrying}
    if len(upstreams) < _MIN_UPSTREAMS or len(requests) < _MIN_REQUESTS:
        return False
    if _count_moments(one.at_s for one in carrying) < _MIN_REQUESTS:
        return False
    first = carrying[0]
    service = first.upstream.service
    n_answers = history.n_answers_by_service.get(service, 0) - first.n_answers
    return n_answers >= _MIN_ANSWERS_PER_BREAK * len(carrying)


def _count_moments(times_s: Iterable[float]) -> int:
    count = 0
    counted_s = -math.inf
    for at_s in sorted(times_s):
        if at_s - counted_s > _SAME_MOMENT_S:
            counted_s = at_s
            count += 1
    return count
