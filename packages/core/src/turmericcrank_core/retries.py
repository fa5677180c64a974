"""Bounds the load that retries add, in proportion to first attempts."""

from dataclasses import dataclass

__all__ = ('RetryBudget', 'earn_retry', 'plan_delay_s', 'spend_retry')

_MAX_EXPONENT = 10


@dataclass(slots=True)
class RetryBudget:
    """Tokens left for retries.

    Attributes:
        deposit_ratio: Tokens earned by a first attempt, in (0, 1].
        max_tokens: Upper bound on saved tokens, at least 1.
        tokens: Retries that may start now.
    """

    deposit_ratio: float = 0.1
    max_tokens: float = 10
    tokens: float = 10


def earn_retry(budget: RetryBudget) -> None:
    """Count one first attempt."""
    budget.tokens = min(budget.max_tokens, budget.tokens + budget.deposit_ratio)


def spend_retry(budget: RetryBudget) -> bool:
    """Take one token; False when the retry must not start."""
    if budget.tokens < 1:
        return False
    budget.tokens -= 1
    return True


def plan_delay_s(
    attempt: int, base_s: float, max_s: float, uniform: float
) -> float:
    """Plan the wait before an attempt, exponential with full jitter.

    Source: M. Brooker, "Exponential backoff and jitter", 2015.

    Args:
        attempt: 1 for the first retry.
        base_s: Longest wait before the first retry.
        max_s: Longest wait of all.
        uniform: Random number in [0, 1).
    """
    ceiling_s = min(max_s, base_s * 2 ** min(attempt - 1, _MAX_EXPONENT))
    return uniform * ceiling_s
