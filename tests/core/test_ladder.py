"""When a larger model answers anew."""

from hypothesis import given
from hypothesis import strategies as st
from turmericcrank_core.ladder import (
    Doubt,
    Ladder,
    LadderSettings,
    SpeedForecast,
    current_model,
    forecast_s,
    note_speed,
    plan_larger,
    step_back,
)

_MODELS = ('small', 'middle', 'large')
_SETTINGS = LadderSettings()
_doubts = st.builds(
    Doubt,
    confidence=st.one_of(st.none(), st.floats(0, 100)),
    load=st.floats(0, 3),
    elapsed_s=st.floats(0, 3),
    larger_s=st.floats(0, 3),
    objective_s=st.just(2.0),
)


def _doubt(**fields):
    usual = {
        'confidence': 10,
        'load': 0.1,
        'elapsed_s': 0.2,
        'larger_s': 0.5,
        'objective_s': 2.0,
    }
    return Doubt(**{**usual, **fields})


@given(_doubts)
def test_no_answer_is_dropped_when_the_larger_one_would_be_late(doubt):
    step = plan_larger(Ladder(_MODELS), doubt, _SETTINGS)
    if doubt.elapsed_s + doubt.larger_s > doubt.objective_s:
        assert step is None


@given(_doubts, st.floats(0, 3))
def test_more_load_never_asks_for_more(doubt, added):
    busier = Doubt(
        doubt.confidence,
        doubt.load + added,
        doubt.elapsed_s,
        doubt.larger_s,
        doubt.objective_s,
    )
    if plan_larger(Ladder(_MODELS), doubt, _SETTINGS) is None:
        assert plan_larger(Ladder(_MODELS), busier, _SETTINGS) is None


def test_engines_lost_at_the_peak_leave_the_small_model_to_answer():
    """Replays trouble-3 at Qaratau: three of six engines are left."""
    n_running = 33
    before = _doubt(load=n_running / (6 * 8))
    after = _doubt(load=n_running / (3 * 8))
    assert plan_larger(Ladder(_MODELS), before, _SETTINGS) == 2
    assert plan_larger(Ladder(_MODELS), after, _SETTINGS) is None


def test_a_failed_larger_model_is_followed_by_the_small_one_for_good():
    ladder = Ladder(_MODELS, step=2)
    step_back(ladder)
    assert current_model(ladder) == 'small'
    assert plan_larger(ladder, _doubt(confidence=0), _SETTINGS) is None


def test_a_model_that_the_client_named_is_kept():
    assert current_model(Ladder(())) == ''
    assert plan_larger(Ladder(()), _doubt(), _SETTINGS) is None


def test_a_forecast_follows_what_is_seen_and_fades():
    forecast = SpeedForecast()
    key = ('quotes', 'large')
    assert forecast_s(forecast, key, 0) == 0
    for _ in range(20):
        note_speed(forecast, key, 2, 10)
    assert 1.9 < forecast_s(forecast, key, 10) <= 2
    assert forecast_s(forecast, key, 40) < 0.2
