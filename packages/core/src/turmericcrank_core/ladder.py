"""Chooses the model that answers, from the smallest to the largest.

The smallest model answers first. When its own confidence in the answer is
low, the answer is dropped before the client has received any of it, and a
larger model answers anew. Under load the larger models are left out, since
a fast answer of a small one is worth more than none.
"""

from dataclasses import dataclass

__all__ = ('Ladder', 'LadderSettings', 'first_model', 'plan_larger')


@dataclass(slots=True, frozen=True)
class LadderSettings:
    """When an answer is asked for again from a larger model.

    Attributes:
        min_confidence: Lowest confidence, 0 to 100, of a kept answer.
        max_load: Share of the slots in use at which no larger model is
            asked.
    """

    min_confidence: float = 40
    max_load: float = 0.85


@dataclass(slots=True)
class Ladder:
    """Models of one request.

    Attributes:
        models: Models that may answer, the smallest first.
        step: Index of the model that answers now.
    """

    models: tuple[str, ...]
    step: int = 0


def first_model(ladder: Ladder) -> str:
    """Give the model that answers now; empty where the client named it."""
    if not ladder.models:
        return ''
    return ladder.models[ladder.step]


def plan_larger(
    ladder: Ladder,
    confidence: float | None,
    load: float,
    spare_s: float,
    settings: LadderSettings,
) -> int | None:
    """Plan whether a larger model answers anew.

    Args:
        ladder: Models of the request.
        confidence: What the model thinks of its answer; None if unknown.
        load: Share of the slots of the service that are in use.
        spare_s: Time left until the deadline, in seconds.
        settings: Bounds.

    Returns:
        Index of the model to ask, or None to keep the answer.
    """
    largest = len(ladder.models) - 1
    if confidence is None or ladder.step >= largest:
        return None
    if confidence >= settings.min_confidence or spare_s <= 0:
        return None
    if load >= settings.max_load:
        return None
    return largest
