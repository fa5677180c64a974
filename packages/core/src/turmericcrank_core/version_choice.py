"""Chooses the version of a service that a request runs on.

A session that has run on one version goes on with it while a roll-out is
young: nodes tell each other which sessions they have served lately, so no
write is needed and the loss of a node loses no session. A session that
nobody has seen is assigned by a hash of its name, the same at all nodes.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import xxhash

from turmericcrank_core.rollout_phases import RolloutPhase, RolloutState
from turmericcrank_core.routing import hash_uniform

__all__ = (
    'SessionBook',
    'SessionUse',
    'VersionBook',
    'choose_versions',
    'expire_sessions',
    'iter_telling_sessions',
    'make_session_key',
    'note_session',
    'note_versions',
)

_KEY_DIGITS = 10


@dataclass(slots=True, frozen=True)
class SessionUse:
    """The last use of a session.

    Attributes:
        version: Version that it ran on.
        used_s: When, in seconds.
    """

    version: str
    used_s: float


@dataclass(slots=True)
class SessionBook:
    """Sessions that nodes have served lately, by a key of the session."""

    uses_by_key: dict[str, SessionUse] = field(default_factory=dict)


@dataclass(slots=True)
class VersionBook:
    """Versions of each service, in the order in which they were first seen.

    A version that appears beside others before its order is known gets no
    request.
    """

    known_by_service: dict[str, list[str]] = field(default_factory=dict)


def make_session_key(service: str, session: str) -> str:
    """Make the short key by which nodes tell each other of a session."""
    digest = xxhash.xxh3_64_hexdigest(f'{service}/{session}'.encode())
    return str(digest)[:_KEY_DIGITS]


def note_session(
    book: SessionBook, key: str, version: str, used_s: float
) -> None:
    """Note a use of a session; an older one than the last is ignored."""
    last = book.uses_by_key.get(key)
    if last is None or last.used_s <= used_s:
        book.uses_by_key[key] = SessionUse(version, used_s)


def expire_sessions(book: SessionBook, oldest_s: float) -> None:
    """Forget the sessions that were last used before a moment."""
    book.uses_by_key = {
        key: use
        for key, use in book.uses_by_key.items()
        if use.used_s >= oldest_s
    }


def iter_telling_sessions(
    book: SessionBook, since_s: float, largest_share: float
) -> Iterator[tuple[str, SessionUse]]:
    """Yield the recent sessions that others have to be told of.

    A session whose hash lies beyond every share that a young roll-out may
    get stays with the old version even where nobody knows it.

    Args:
        book: The sessions.
        since_s: Moment since which they were used, in seconds.
        largest_share: Largest share of new sessions that a new version gets.
    """
    return (
        (key, use)
        for key, use in book.uses_by_key.items()
        if use.used_s >= since_s and _hash_session(key) < largest_share
    )


def note_versions(
    book: VersionBook, service: str, versions: Iterable[str]
) -> None:
    """Note the versions that the upstreams of a service run now."""
    present = set(versions)
    known = book.known_by_service.get(service, [])
    kept = [version for version in known if version in present]
    added = sorted(present.difference(kept))
    book.known_by_service[service] = kept + added


def choose_versions(
    versions: list[str],
    state: RolloutState | None,
    session_version: str,
    session_key: str,
    canary_share: float,
) -> list[str]:
    """Choose the versions that may run a request, the best first.

    Args:
        versions: Versions of the service, the first seen first.
        state: Its roll-out; None without one.
        session_version: Version of the session's last use; empty without.
        session_key: Key of the session or, without one, of the request.
        canary_share: Share of new sessions that a young roll-out gets.

    Returns:
        Versions to try in turn; the later ones only when no upstream of
        the earlier ones can be used.
    """
    if state is None:
        return _prefer_seen(versions, session_version)
    new = state.order.version
    old = [version for version in versions if version != new]
    if state.phase is RolloutPhase.rolled_back:
        return old
    if state.phase is RolloutPhase.done:
        return [new]
    if state.phase is RolloutPhase.full:
        return [new, *old]
    if state.phase is RolloutPhase.ordered or not old:
        return old or [new]
    if session_version:
        is_new = session_version == new
    else:
        is_new = _hash_session(session_key) < canary_share
    return [new, *old] if is_new else old


def _hash_session(session_key: str) -> float:
    return hash_uniform(f'rollout/{session_key}')


def _prefer_seen(versions: list[str], session_version: str) -> list[str]:
    """Without an order only the version that was there first is used."""
    if session_version in versions:
        return [session_version]
    return versions[:1]
