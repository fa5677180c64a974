"""Idempotency claims: at-most-once sending of a request.

A claim is a row in the store, keyed by team and Idempotency-Key and created
by a conditional write. Only the attempt whose token is in the row may send
the request. The row is never deleted while its outcome is unknown, so no
other attempt can send the same request.
"""

import enum
from dataclasses import dataclass
from typing import Any

import xxhash
from expression import Error, Ok, Result

from turmericcrank_core.codes import ResultCode
from turmericcrank_core.errors import Refusal

__all__ = (
    'ClaimRow',
    'ClaimState',
    'ClaimVerdict',
    'StoredResponse',
    'check_claim_row',
    'evaluate_claim',
    'hash_body',
    'is_send_deadline_passed',
    'make_claim_key',
    'serialize_claim_row',
)


class ClaimState(enum.StrEnum):
    """State of the claimed request."""

    claimed = 'claimed'
    done = 'done'
    not_run = 'not_run'


class ClaimVerdict(enum.Enum):
    """What an attempt does after it has read the row."""

    send = enum.auto()
    replay = enum.auto()
    reclaim = enum.auto()


@dataclass(slots=True, frozen=True)
class StoredResponse:
    """The stored response of a request that ran.

    Attributes:
        status: HTTP status of the upstream.
        content_type: Media type of the body.
        body: The complete body.
    """

    status: int
    content_type: str
    body: bytes


@dataclass(slots=True, frozen=True)
class ClaimRow:
    """The claim row of one request.

    Attributes:
        token: Unique token of the attempt that holds the claim.
        body_hash: Hash of the claimed request.
        state: State of the claimed request.
        open_until_s: Time until which the outcome may still arrive, in
            seconds since the epoch.
        answer: The stored response once the request is done.
    """

    token: str
    body_hash: str
    state: ClaimState
    open_until_s: float
    answer: StoredResponse | None = None


def make_claim_key(team: str, idempotency_key: str) -> str:
    """Return the row key.

    It includes the team, so that no other team can read the response.
    """
    return f'{len(team)}:{team}:{idempotency_key}'


def hash_body(method: str, path: str, body: bytes) -> str:
    """Hash the method, path and body, which identify a request."""
    digest = xxhash.xxh3_128(method.encode())
    digest.update(b'\n')
    digest.update(path.encode())
    digest.update(b'\n')
    digest.update(body)
    return str(digest.hexdigest())


def evaluate_claim(
    row: ClaimRow, own_token: str, body_hash: str, now_s: float
) -> Result[ClaimVerdict, Refusal]:
    """Decide how one attempt proceeds.

    Args:
        row: Row as the store holds it after the conditional write.
        own_token: Token of this attempt.
        body_hash: Hash of this request.
        now_s: Seconds since the epoch.

    Returns:
        The action, or the refusal that the client receives:

        - own token: this attempt holds the claim, even if the reply to its
          write was lost;
        - another body: the key was used for another request;
        - done: the stored response is replayed;
        - not run: the earlier attempt did not send the request; claim again;
        - claimed by another attempt: the request may have run and its
          outcome is unknown.
    """
    if row.token == own_token and row.state is ClaimState.claimed:
        return Ok(ClaimVerdict.send)
    if row.body_hash != body_hash:
        return Error(Refusal(ResultCode.key_reused))
    if row.state is ClaimState.done:
        return Ok(ClaimVerdict.replay)
    if row.state is ClaimState.not_run:
        return Ok(ClaimVerdict.reclaim)
    wait_s = max(1, row.open_until_s - now_s)
    return Error(
        Refusal(
            ResultCode.outcome_unknown,
            f'Ask again after {round(wait_s)} s.',
            retry_after_s=wait_s,
        )
    )


def is_send_deadline_passed(
    claimed_s: float, now_s: float, send_limit_s: float
) -> bool:
    """Return whether it is too late to send a claimed request.

    A claim holder whose process was paused releases its claim as not run
    instead of sending for a client that may have disconnected.

    Args:
        claimed_s: Monotonic time just before the claim was written.
        now_s: Monotonic time just before sending.
        send_limit_s: Maximum time between the two, in seconds.
    """
    return now_s - claimed_s > send_limit_s


def check_claim_row(raw: dict[str, Any]) -> ClaimRow:
    """Parse a row from its stored form."""
    answer = raw.get('answer')
    return ClaimRow(
        token=raw['token'],
        body_hash=raw['body_hash'],
        state=ClaimState(raw['state']),
        open_until_s=raw['open_until_s'],
        answer=_check_answer(answer) if answer else None,
    )


def serialize_claim_row(row: ClaimRow) -> dict[str, Any]:
    """Return the stored form of a row, with the body as Latin-1 text."""
    raw: dict[str, Any] = {
        'token': row.token,
        'body_hash': row.body_hash,
        'state': str(row.state),
        'open_until_s': row.open_until_s,
    }
    if row.answer is not None:
        raw['answer'] = {
            'status': row.answer.status,
            'content_type': row.answer.content_type,
            'body': row.answer.body.decode('latin-1'),
        }
    return raw


def _check_answer(raw: dict[str, Any]) -> StoredResponse:
    return StoredResponse(
        raw['status'], raw['content_type'], raw['body'].encode('latin-1')
    )
