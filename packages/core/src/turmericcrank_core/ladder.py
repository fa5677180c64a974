"""Chooses the model that answers, from the smallest to the largest.

The smallest model answers first. When its own confidence in the answer is
low, the answer may be dropped before the client has received any of it,
and the largest model answers anew. A large model takes many times the work
of a small one, and under load an answer in time to everyone is worth more
than a better one to a few. The load that matters is the one that callers
feel: the share of the latency objective that is gone, or likely to be, when
the larger answer begins. A count of requests in progress cannot tell how
many of them an engine bears.

Load pattern: arrivals that rise above what the engines can read and write
with the largest model, for seconds or for good, and fall again.
"""

from dataclasses import dataclass, field

__all__ = (
    'Doubt',
    'Ladder',
    'LadderSettings',
    'SpeedForecast',
    'current_model',
    'forecast_s',
    'note_speed',
    'plan_larger',
    'step_back',
)

_GAIN = 0.25
_HALF_LIFE_S = 6


@dataclass(slots=True, frozen=True)
class LadderSettings:
    """When an answer is asked for again from a larger model.

    Attributes:
        min_confidence: Lowest confidence, 0 to 100, of a kept answer while
            there is time.
        idle_share: Share of the latency objective up to which there is time.
        full_share: Share from which every answer is kept.
    """

    min_confidence: float = 55
    idle_share: float = 0.25
    full_share: float = 0.7


@dataclass(slots=True)
class Ladder:
    """Models of one request.

    Attributes:
        models: Models that may answer, the smallest first.
        step: Index of the model that answers now.
        is_settled: Whether the next answer is kept, whatever its
            confidence.
    """

    models: tuple[str, ...]
    step: int = 0
    is_settled: bool = False


@dataclass(slots=True, frozen=True)
class Doubt:
    """What decides whether an answer is dropped.

    Attributes:
        confidence: What the model thinks of its answer, 0 to 100; None if
            it does not say.
        elapsed_s: Time since the request arrived, in seconds.
        larger_s: Time that the larger model is likely to need until its
            first event, in seconds.
        objective_s: Latency objective, in seconds.
    """

    confidence: float | None
    elapsed_s: float
    larger_s: float
    objective_s: float


@dataclass(slots=True)
class SpeedForecast:
    """Times to the first event that were seen lately.

    Attributes:
        mean_s_by_key: Mean by route and model, in seconds.
        noted_s_by_key: When each was last noted, in seconds.
    """

    mean_s_by_key: dict[tuple[str, str], float] = field(default_factory=dict)
    noted_s_by_key: dict[tuple[str, str], float] = field(default_factory=dict)


def current_model(ladder: Ladder) -> str:
    """Give the model that answers now; empty where the client named it."""
    if not ladder.models:
        return ''
    return ladder.models[ladder.step]


def step_back(ladder: Ladder) -> None:
    """Return to the smallest model after a larger one has failed."""
    if ladder.step > 0:
        ladder.step = 0
        ladder.is_settled = True


def plan_larger(
    ladder: Ladder, doubt: Doubt, settings: LadderSettings
) -> int | None:
    """Plan whether a larger model answers anew.

    Args:
        ladder: Models of the request.
        doubt: What is known of the answer and of the load.
        settings: Bounds.

    Returns:
        Index of the model to ask, or None to keep the answer.
    """
    largest = len(ladder.models) - 1
    if doubt.confidence is None or ladder.is_settled:
        return None
    if ladder.step >= largest:
        return None
    share = (doubt.elapsed_s + doubt.larger_s) / doubt.objective_s
    room = settings.full_share - share
    part = room / (settings.full_share - settings.idle_share)
    threshold = settings.min_confidence * max(0, min(1, part))
    return largest if doubt.confidence < threshold else None


def note_speed(
    forecast: SpeedForecast,
    key: tuple[str, str],
    head_s: float,
    now_s: float,
) -> None:
    """Note how long a first event took, by route and model."""
    mean_s = forecast.mean_s_by_key.get(key, head_s)
    forecast.mean_s_by_key[key] = mean_s + _GAIN * (head_s - mean_s)
    forecast.noted_s_by_key[key] = now_s


def forecast_s(
    forecast: SpeedForecast, key: tuple[str, str], now_s: float
) -> float:
    """Forecast the time to the first event; an old mean fades to zero."""
    mean_s = forecast.mean_s_by_key.get(key, 0)
    age_s = now_s - forecast.noted_s_by_key.get(key, now_s)
    return mean_s * float(2 ** (-age_s / _HALF_LIFE_S))
