"""Tells which requests at an upstream may be to blame if it crashes."""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from turmericcrank_core.crash_evidence import Suspect

__all__ = (
    'InFlightAttempt',
    'list_suspects',
    'record_complete_response',
    'record_events',
)

# A crash may be noticed only after the first output has arrived.
_PROOF_S = 0.1


@dataclass(slots=True)
class InFlightAttempt:
    """An attempt of this node that is in flight at an upstream.

    Times are on a clock that all nodes share, in seconds.

    Attributes:
        suspect: What the request is blamed by if it crashes the upstream.
        parts: Ids of the parts of its prompt that other requests may share,
            for the log.
        has_begun: Whether the head of the response has arrived.
        n_events: Events of the response so far.
        first_output_s: Time of the first of them.
        is_proven: Whether the upstream has outlived the first output.
        is_broken: Whether its connection broke.
    """

    suspect: Suspect
    parts: tuple[str, ...] = ()
    has_begun: bool = False
    n_events: int = 0
    first_output_s: float = 0
    is_proven: bool = False
    is_broken: bool = False


def record_events(
    attempt: InFlightAttempt, n_events: int, now_s: float
) -> bool:
    """Record events of a response.

    Returns:
        Whether they prove by now that the request does not crash upstreams.
        A response that began before a crash proves nothing about it, so the
        proof is as old as the first output.
    """
    if attempt.n_events == 0:
        attempt.first_output_s = now_s
    attempt.n_events += n_events
    if attempt.is_proven or now_s - attempt.first_output_s < _PROOF_S:
        return False
    attempt.is_proven = True
    return True


def record_complete_response(attempt: InFlightAttempt, now_s: float) -> bool:
    """Record the end of a response; return whether it proves something new."""
    if attempt.is_proven:
        return False
    attempt.first_output_s = attempt.first_output_s or now_s
    attempt.is_proven = True
    return True


def list_suspects(
    attempts: Iterable[InFlightAttempt], now_s: float
) -> frozenset[Suspect]:
    """Return the requests that may have crashed their upstream just now."""
    return frozenset(
        replace(attempt.suspect, has_begun=attempt.has_begun)
        for attempt in attempts
        if attempt.suspect.keys and _is_suspect(attempt, now_s)
    )


def _is_suspect(attempt: InFlightAttempt, now_s: float) -> bool:
    if attempt.is_proven:
        return False
    return attempt.n_events == 0 or now_s - attempt.first_output_s < _PROOF_S
