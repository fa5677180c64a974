"""Chooses the version of a service that runs a request.

During the canary phase of a rollout a session stays on the version that
served it before. Nodes gossip the sessions that they served recently, so
session affinity needs no write to the store and survives the loss of a node.
A session that no node knows is assigned by a hash of its key, which gives
the same version on all nodes.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import xxhash

from turmericcrank_core.rollout_phases import RolloutPhase, RolloutState
from turmericcrank_core.routing import hash_uniform

__all__ = (
    'KnownVersions',
    'RecentSessions',
    'SessionUse',
    'choose_versions',
    'expire_sessions',
    'iter_sessions_to_gossip',
    'make_session_key',
    'record_session',
    'record_versions',
)

_SESSION_KEY_LENGTH = 10


@dataclass(slots=True, frozen=True)
class SessionUse:
    """The most recent use of a session.

    Attributes:
        version: Version that served it.
        used_s: Time of the use, in seconds.
    """

    version: str
    used_s: float


@dataclass(slots=True)
class RecentSessions:
    """Sessions that were served recently by any node, by session key."""

    uses_by_key: dict[str, SessionUse] = field(default_factory=dict)


@dataclass(slots=True)
class KnownVersions:
    """Versions of each service, in the order in which they were first seen.

    A version that appears while other versions run gets no requests until
    its rollout order is known.
    """

    known_by_service: dict[str, list[str]] = field(default_factory=dict)


def make_session_key(service: str, session: str) -> str:
    """Return the short session key that is used in gossip messages."""
    digest = xxhash.xxh3_64_hexdigest(f'{service}/{session}'.encode())
    return str(digest)[:_SESSION_KEY_LENGTH]


def record_session(
    sessions: RecentSessions, key: str, version: str, used_s: float
) -> None:
    """Record the use of a session, unless a later use is already known."""
    last = sessions.uses_by_key.get(key)
    if last is None or last.used_s <= used_s:
        sessions.uses_by_key[key] = SessionUse(version, used_s)


def expire_sessions(sessions: RecentSessions, oldest_s: float) -> None:
    """Remove the sessions that were last used before ``oldest_s``."""
    sessions.uses_by_key = {
        key: use
        for key, use in sessions.uses_by_key.items()
        if use.used_s >= oldest_s
    }


def iter_sessions_to_gossip(
    sessions: RecentSessions, since_s: float, largest_canary_share: float
) -> Iterator[tuple[str, SessionUse]]:
    """Yield the recent sessions that other nodes have to know.

    A session whose hash is not below the largest canary share gets the old
    version during the canary phase even on a node that does not know the
    session, so it is left out.

    Args:
        sessions: Recent sessions.
        since_s: Only sessions used at or after this time, in seconds.
        largest_canary_share: Largest share of new sessions that a canary can
            get.
    """
    return (
        (key, use)
        for key, use in sessions.uses_by_key.items()
        if use.used_s >= since_s and _hash_session(key) < largest_canary_share
    )


def record_versions(
    known_versions: KnownVersions, service: str, versions: Iterable[str]
) -> None:
    """Record the versions that the upstreams of a service run now.

    A version that no upstream runs any more is removed.
    """
    running = set(versions)
    known = known_versions.known_by_service.get(service, [])
    kept = [version for version in known if version in running]
    added = sorted(running.difference(kept))
    known_versions.known_by_service[service] = kept + added


def choose_versions(
    versions: list[str],
    state: RolloutState | None,
    session_version: str,
    session_key: str,
    canary_share: float,
) -> list[str]:
    """Choose the versions that may run a request, in order of preference.

    Args:
        versions: Versions of the service, in the order in which they were
            first seen.
        state: State of its rollout; None without one.
        session_version: Version of the session's last use; empty if unknown.
        session_key: Key of the session or, without one, of the request.
        canary_share: Share of new sessions that the new version gets during
            the canary phase.

    Returns:
        Versions in order of preference; a later one is used only if no
        upstream of the earlier ones is usable.
    """
    if state is None:
        return _prefer_session_version(versions, session_version)
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
        uses_new_version = session_version == new
    else:
        uses_new_version = _hash_session(session_key) < canary_share
    return [new, *old] if uses_new_version else old


def _hash_session(session_key: str) -> float:
    return hash_uniform(f'rollout/{session_key}')


def _prefer_session_version(
    versions: list[str], session_version: str
) -> list[str]:
    """Return the session's version if it still runs, else the first one seen.

    Without a rollout order, new sessions only use the first version seen.
    """
    if session_version in versions:
        return [session_version]
    return versions[:1]
