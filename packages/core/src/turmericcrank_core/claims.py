"""At most once: one conditional write decides who may send a request.

The row of a claim is keyed by team and Idempotency-Key. Only the attempt
whose token is in the row may send. The row is never deleted while its
outcome is open, so nobody else can ever send the same request.
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
    'KeptAnswer',
    'check_claim_row',
    'hash_body',
    'is_too_late',
    'judge_claim',
    'make_claim_key',
    'write_claim_row',
)


class ClaimState(enum.StrEnum):
    """What is known of the claimed request."""

    claimed = 'claimed'
    done = 'done'
    not_run = 'not_run'


class ClaimVerdict(enum.Enum):
    """What the node does after it has seen the row."""

    send = enum.auto()
    replay = enum.auto()
    reclaim = enum.auto()


@dataclass(slots=True, frozen=True)
class KeptAnswer:
    """The whole answer of a request that ran.

    Attributes:
        status: HTTP status of the upstream.
        content_type: Media type of the body.
        body: The whole body.
    """

    status: int
    content_type: str
    body: bytes


@dataclass(slots=True, frozen=True)
class ClaimRow:
    """The row that decides.

    Attributes:
        token: Unique text of the winning attempt.
        body_hash: Hash of the request that was claimed.
        state: What is known of it.
        open_until_s: Until when its outcome may still arrive, epoch seconds.
        answer: The kept answer when it is done.
    """

    token: str
    body_hash: str
    state: ClaimState
    open_until_s: float
    answer: KeptAnswer | None = None


def make_claim_key(team: str, idempotency_key: str) -> str:
    """Name the row; the team's part keeps answers from other teams."""
    return f'{len(team)}:{team}:{idempotency_key}'


def hash_body(method: str, path: str, body: bytes) -> str:
    """Hash what makes two requests the same."""
    digest = xxhash.xxh3_128(method.encode())
    digest.update(b'\n')
    digest.update(path.encode())
    digest.update(b'\n')
    digest.update(body)
    return str(digest.hexdigest())


def judge_claim(
    row: ClaimRow, own_token: str, body_hash: str, now_s: float
) -> Result[ClaimVerdict, Refusal]:
    """Decide what the row means for one attempt.

    Args:
        row: Row as the store holds it after the conditional write.
        own_token: Token of this attempt.
        body_hash: Hash of this request.
        now_s: Seconds since the epoch.

    Returns:
        What to do, or what the caller is told:

        - own token: this attempt won, even if its reply was lost;
        - another body: the key was used for another request;
        - done: the kept answer;
        - not run: the earlier attempt was proven not sent, claim again;
        - claimed by another: it may have run, and nobody knows yet.
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


def is_too_late(claimed_s: float, now_s: float, send_limit_s: float) -> bool:
    """Tell whether a winner woke too late to send.

    A winner that was paused gives its claim back as not run instead of
    sending for a caller who has gone.

    Args:
        claimed_s: Monotonic time just before the claim was written.
        now_s: Monotonic time just before sending.
        send_limit_s: Longest time between both.
    """
    return now_s - claimed_s > send_limit_s


def check_claim_row(raw: dict[str, Any]) -> ClaimRow:
    """Build the row from its stored form."""
    answer = raw.get('answer')
    return ClaimRow(
        token=raw['token'],
        body_hash=raw['body_hash'],
        state=ClaimState(raw['state']),
        open_until_s=raw['open_until_s'],
        answer=_check_answer(answer) if answer else None,
    )


def write_claim_row(row: ClaimRow) -> dict[str, Any]:
    """Give the stored form of the row; the body is text in Latin-1."""
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


def _check_answer(raw: dict[str, Any]) -> KeptAnswer:
    return KeptAnswer(
        raw['status'], raw['content_type'], raw['body'].encode('latin-1')
    )
