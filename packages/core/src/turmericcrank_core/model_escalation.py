"""Decides when a request is escalated from a smaller to a larger model.

The smallest model answers first. If it reports a low confidence, its answer
may be discarded before the client has received any of it, and the largest
model answers instead. A large model needs many times the compute of a small
one, and under load timely answers for all clients are worth more than better
answers for a few. Load is therefore measured as clients experience it: the
share of the latency objective that will have passed when the first event of
the larger model is expected. The number of requests in progress is not used,
since it does not show how many requests an engine can handle.

Load pattern: the arrival rate rises above what the engines can process with
the largest model, for seconds or permanently, and falls again.
"""

from dataclasses import dataclass, field

__all__ = (
    'EscalationInputs',
    'EscalationSettings',
    'EscalationState',
    'FirstEventForecast',
    'current_model',
    'fall_back_to_smallest',
    'forecast_first_event_s',
    'plan_escalation',
    'record_first_event_time',
)

_SMOOTHING_FACTOR = 0.25
_DECAY_HALF_LIFE_S = 6


@dataclass(slots=True, frozen=True)
class EscalationSettings:
    """Confidence threshold for escalation and how it falls under load.

    Attributes:
        min_confidence: Confidence, 0 to 100, below which an answer is
            escalated when there is no load.
        decay_start_share: Share of the latency objective up to which the full
            threshold applies; beyond it the threshold falls linearly.
        decay_end_share: Share of the latency objective at which the threshold
            reaches 0, so that every answer is kept.
    """

    min_confidence: float = 55
    decay_start_share: float = 0.25
    decay_end_share: float = 0.7


@dataclass(slots=True)
class EscalationState:
    """Models of one request and the one in use.

    Attributes:
        models: Models that may answer, smallest first; empty if the client
            named the model.
        step: Index of the current model.
        accepts_any_answer: Whether the next answer is kept regardless of its
            confidence.
    """

    models: tuple[str, ...]
    step: int = 0
    accepts_any_answer: bool = False


@dataclass(slots=True, frozen=True)
class EscalationInputs:
    """Inputs of the decision to escalate.

    Attributes:
        confidence: Confidence that the model reports for its answer, 0 to
            100; None if it reports none.
        elapsed_s: Time since the request arrived, in seconds.
        larger_first_event_s: Expected time to the first event of the larger
            model, in seconds.
        objective_s: Latency objective, in seconds.
    """

    confidence: float | None
    elapsed_s: float
    larger_first_event_s: float
    objective_s: float


@dataclass(slots=True)
class FirstEventForecast:
    """Moving averages of the time to the first event.

    Attributes:
        mean_s_by_key: Moving average by route and model, in seconds.
        updated_s_by_key: Time of the last update of each, in seconds.
    """

    mean_s_by_key: dict[tuple[str, str], float] = field(default_factory=dict)
    updated_s_by_key: dict[tuple[str, str], float] = field(default_factory=dict)


def current_model(escalation: EscalationState) -> str:
    """Return the current model; empty if the client named the model."""
    if not escalation.models:
        return ''
    return escalation.models[escalation.step]


def fall_back_to_smallest(escalation: EscalationState) -> None:
    """Fall back to the smallest model for good after a larger one failed."""
    if escalation.step > 0:
        escalation.step = 0
        escalation.accepts_any_answer = True


def plan_escalation(
    escalation: EscalationState,
    inputs: EscalationInputs,
    settings: EscalationSettings,
) -> int | None:
    """Decide whether to escalate to the largest model.

    Args:
        escalation: Models of the request.
        inputs: Confidence of the answer and expected latency.
        settings: Threshold for escalation.

    Returns:
        Index of the model to escalate to, or None to keep the answer.
    """
    largest = len(escalation.models) - 1
    if inputs.confidence is None or escalation.accepts_any_answer:
        return None
    if escalation.step >= largest:
        return None
    expected_share = (
        inputs.elapsed_s + inputs.larger_first_event_s
    ) / inputs.objective_s
    remaining_share = settings.decay_end_share - expected_share
    threshold_factor = remaining_share / (
        settings.decay_end_share - settings.decay_start_share
    )
    threshold = settings.min_confidence * max(0, min(1, threshold_factor))
    return largest if inputs.confidence < threshold else None


def record_first_event_time(
    forecast: FirstEventForecast,
    key: tuple[str, str],
    first_event_s: float,
    now_s: float,
) -> None:
    """Update the moving average of a route and model with a new time."""
    mean_s = forecast.mean_s_by_key.get(key, first_event_s)
    forecast.mean_s_by_key[key] = mean_s + _SMOOTHING_FACTOR * (
        first_event_s - mean_s
    )
    forecast.updated_s_by_key[key] = now_s


def forecast_first_event_s(
    forecast: FirstEventForecast, key: tuple[str, str], now_s: float
) -> float:
    """Forecast the time to the first event, in seconds.

    The moving average decays to zero while it is not updated; it is 0 for
    an unknown key.
    """
    mean_s = forecast.mean_s_by_key.get(key, 0)
    age_s = now_s - forecast.updated_s_by_key.get(key, now_s)
    return mean_s * float(2 ** (-age_s / _DECAY_HALF_LIFE_S))
