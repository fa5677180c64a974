"""Retry budget and back-off.

The budget bounds the load of retries in proportion to first attempts.
"""

from dataclasses import dataclass

__all__ = ('RetryBudget', 'deposit_token', 'plan_backoff_s', 'withdraw_token')

_MAX_EXPONENT = 10


@dataclass(slots=True)
class RetryBudget:
    """Token bucket for retries.

    Attributes:
        deposit_ratio: Tokens added by each first attempt, in (0, 1].
        max_tokens: Size of the bucket, at least 1.
        tokens: Tokens in the bucket; a retry takes one.
    """

    deposit_ratio: float = 0.1
    max_tokens: float = 10
    tokens: float = 10


def deposit_token(budget: RetryBudget) -> None:
    """Add the tokens of one first attempt."""
    budget.tokens = min(budget.max_tokens, budget.tokens + budget.deposit_ratio)


def withdraw_token(budget: RetryBudget) -> bool:
    """Take the token of one retry; False when the budget is exhausted."""
    if budget.tokens < 1:
        return False
    budget.tokens -= 1
    return True


def plan_backoff_s(
    attempt: int, base_s: float, max_s: float, uniform: float
) -> float:
    """Return the delay before a retry, exponential with full jitter.

    Source: M. Brooker, "Exponential backoff and jitter", 2015.

    Args:
        attempt: 1 for the first retry.
        base_s: Maximum delay before the first retry, in seconds.
        max_s: Maximum delay before any retry, in seconds.
        uniform: Random number in [0, 1).
    """
    ceiling_s = min(max_s, base_s * 2 ** min(attempt - 1, _MAX_EXPONENT))
    return uniform * ceiling_s
