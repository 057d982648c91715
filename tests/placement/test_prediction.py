"""Predicted latencies against a simulation of an engine that works in passes."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.benchmarks.engines import PROFILE, SimulatedEngine
from hibiscustray.placement import Demand, predict_latency

TOLERANCE = 0.35
"""Prediction error at which most requests can still be classified as in time or late."""


@pytest.mark.parametrize("running", [0, 4, 8, 15])
@pytest.mark.parametrize("prompt", [200, 977, 3000])
def test_the_first_event_is_predicted_when_slots_are_free(running, prompt):
    engine = SimulatedEngine(PROFILE)
    for number in range(running):
        engine.submit(0.0, 500, 400 + number)
    engine.advance(2.0)
    measured_s = engine.submit_and_wait(2.0 + 0.02, prompt, 100)
    predicted = predict_latency(PROFILE, running, 0.0, Demand(prompt, 100)).first_event_s
    assert predicted == pytest.approx(measured_s, rel=TOLERANCE, abs=0.03)


def test_queued_prompts_delay_the_first_event():
    engine = SimulatedEngine(PROFILE)
    for _ in range(4):
        engine.submit(0.0, 3000, 100)
    measured_s = engine.submit_and_wait(0.001, 977, 100)
    predicted = predict_latency(PROFILE, 4, 12000, Demand(977, 100)).first_event_s
    assert predicted == pytest.approx(measured_s, rel=TOLERANCE)


def test_a_full_engine_makes_a_request_wait_for_a_slot():
    free = predict_latency(PROFILE, 15, 0.0, Demand(977, 94))
    full = predict_latency(PROFILE, 20, 0.0, Demand(977, 94))
    assert free.slot_wait_s == 0.0
    assert full.slot_wait_s > 0.1
    assert full.first_event_s > free.first_event_s + 0.1


@given(st.floats(0, 40), st.floats(0, 20000), st.floats(0, 4000))
def test_more_load_never_predicts_an_earlier_event(running, queued, prompt):
    demand = Demand(prompt, 100)
    base = predict_latency(PROFILE, running, queued, demand)
    for more in (
        predict_latency(PROFILE, running + 1, queued, demand),
        predict_latency(PROFILE, running, queued + 500, demand),
        predict_latency(PROFILE, running, queued, dataclasses.replace(demand, prompt_tokens=5000)),
        predict_latency(PROFILE, running, queued, demand, slowdown=2.0),
    ):
        assert more.first_event_s >= base.first_event_s - 1e-9
