"""Tests of the escalation to a larger model."""

from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.model_escalation import (
    EscalationInputs,
    EscalationSettings,
    EscalationState,
    FirstEventForecast,
    current_model,
    fall_back_to_smallest,
    forecast_first_event_s,
    plan_escalation,
    record_first_event_time,
)

_MODELS = ('small', 'middle', 'large')
_SETTINGS = EscalationSettings()
_SMALL_S = 0.1
_LARGE_S = 1.0
_any_inputs = st.builds(
    EscalationInputs,
    confidence=st.one_of(st.none(), st.floats(0, 100)),
    elapsed_s=st.floats(0, 3),
    larger_first_event_s=st.floats(0, 3),
    objective_s=st.just(2.0),
)


def _make_inputs(**fields):
    defaults = {
        'confidence': 10,
        'elapsed_s': 0.2,
        'larger_first_event_s': 0.5,
        'objective_s': 2.0,
    }
    return EscalationInputs(**{**defaults, **fields})


@given(_any_inputs)
def test_an_answer_is_kept_if_the_larger_model_would_be_late(inputs):
    step = plan_escalation(EscalationState(_MODELS), inputs, _SETTINGS)
    if inputs.elapsed_s + inputs.larger_first_event_s > inputs.objective_s:
        assert step is None


@given(_any_inputs, st.floats(0, 3))
def test_a_later_expected_first_event_never_causes_an_escalation(inputs, added):
    busier = EscalationInputs(
        inputs.confidence,
        inputs.elapsed_s,
        inputs.larger_first_event_s + added,
        inputs.objective_s,
    )
    if plan_escalation(EscalationState(_MODELS), inputs, _SETTINGS) is None:
        assert (
            plan_escalation(EscalationState(_MODELS), busier, _SETTINGS) is None
        )


@dataclass
class _SimulatedEngines:
    """Engines with a shared queue; the backlog determines the waiting time."""

    n_engines: int
    backlog_s: float = 0

    def simulate(self, arrivals_per_s, duration_s, objective_s):
        """Return the shares of timely answers and of escalated ones."""
        forecast = FirstEventForecast()
        n_in_time = 0
        n_large = 0
        n_arrivals = int(arrivals_per_s * duration_s)
        for number in range(n_arrivals):
            now_s = number / arrivals_per_s
            wait_s = max(0, self.backlog_s - now_s * self.n_engines)
            small_s = wait_s / self.n_engines + _SMALL_S
            larger_s = forecast_first_event_s(
                forecast, ('plans', 'large'), now_s
            )
            inputs = _make_inputs(
                confidence=0,
                elapsed_s=small_s,
                larger_first_event_s=max(larger_s, small_s),
                objective_s=objective_s,
            )
            step = plan_escalation(EscalationState(_MODELS), inputs, _SETTINGS)
            service_s = _SMALL_S + _LARGE_S * bool(step)
            self.backlog_s = max(self.backlog_s, now_s * self.n_engines)
            self.backlog_s += service_s
            first_event_s = small_s
            if step:
                first_event_s += wait_s / self.n_engines + _LARGE_S
                record_first_event_time(
                    forecast, ('plans', 'large'), first_event_s, now_s
                )
            n_large += bool(step)
            n_in_time += first_event_s <= objective_s
        return n_in_time / n_arrivals, n_large / n_arrivals


@pytest.mark.parametrize('n_engines', [3, 6])
def test_answers_stay_timely_when_the_large_model_is_overloaded(n_engines):
    """Simulates the loss of engines at peak load.

    The remaining engines lack capacity for the large model: each can start
    ten answers of the small model per second, or one of the large model.
    """
    in_time, large = _SimulatedEngines(n_engines).simulate(24, 30, 2.0)
    assert in_time > 0.97
    assert large < n_engines / 24


def test_every_answer_of_low_confidence_is_escalated_at_low_load():
    """Simulates low load, at which every escalation is affordable.

    Guards against measuring load by the number of requests, which reported
    load although the engines had capacity.
    """
    in_time, large = _SimulatedEngines(60).simulate(24, 30, 8.0)
    assert in_time == 1
    assert large == 1


def test_the_smallest_model_is_final_after_a_larger_one_failed():
    escalation = EscalationState(_MODELS, step=2)
    fall_back_to_smallest(escalation)
    assert current_model(escalation) == 'small'
    assert (
        plan_escalation(escalation, _make_inputs(confidence=0), _SETTINGS)
        is None
    )


def test_a_model_named_by_the_client_is_never_escalated():
    assert current_model(EscalationState(())) == ''
    assert (
        plan_escalation(EscalationState(()), _make_inputs(), _SETTINGS) is None
    )


def test_a_forecast_follows_the_recorded_times_and_decays():
    forecast = FirstEventForecast()
    key = ('quotes', 'large')
    assert forecast_first_event_s(forecast, key, 0) == 0
    for _ in range(20):
        record_first_event_time(forecast, key, 2, 10)
    assert 1.9 < forecast_first_event_s(forecast, key, 10) <= 2
    assert forecast_first_event_s(forecast, key, 40) < 0.2
