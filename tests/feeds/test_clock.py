"""Conversion of the store's clock to this machine's, with late reads and jumps of the clock."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.feeds.clock import WINDOW_S, ResponseTimes, StoreClock

AHEAD_S = 700.0


def locate(clock: StoreClock, store_time_s: float, called_at: float, read_at: float) -> float:
    """Record a response and return when it was sent."""
    times = ResponseTimes(store_time_s, called_at, read_at)
    clock.record(times)
    return clock.locate(times)


def test_late_read_response_is_located_at_its_sending():
    clock = StoreClock()
    locate(clock, AHEAD_S + 10.0, 9.99, 10.0)
    assert locate(clock, AHEAD_S + 11.0, 10.5, 16.0) == pytest.approx(11.0)
    assert locate(clock, AHEAD_S + 16.02, 16.0, 16.02) == pytest.approx(16.02)


def test_response_within_rounding_of_its_call_does_not_reset_offset():
    clock = StoreClock()
    locate(clock, AHEAD_S + 10.0009, 9.99, 10.0009)
    assert locate(clock, AHEAD_S + 20.0, 20.0005, 25.0) == pytest.approx(20.0005)


def test_later_response_shows_that_first_one_was_read_late():
    clock = StoreClock()
    first = ResponseTimes(AHEAD_S + 10.0, 9.9, 14.0)
    clock.record(first)
    assert clock.locate(first) == 14.0
    clock.record(ResponseTimes(AHEAD_S + 14.1, 14.0, 14.1))
    assert clock.locate(first) == pytest.approx(10.0)


def test_response_without_time_is_located_at_its_reading():
    assert locate(StoreClock(), 0.0, 3.0, 8.0) == 8.0


@pytest.mark.parametrize("jump_s", [-500.0, 500.0])
def test_jump_of_store_clock_does_not_age_later_responses(jump_s):
    clock = StoreClock()
    locate(clock, AHEAD_S + 10.0, 9.99, 10.0)
    for second in range(11, 20):
        located = locate(clock, AHEAD_S + jump_s + second, second - 0.5, second)
        assert located == pytest.approx(second)


def test_offset_is_confirmed_by_another_response_only():
    clock = StoreClock()
    assert not clock.record(ResponseTimes(AHEAD_S + 10.0, 9.9, 10.7))
    assert not clock.record(ResponseTimes(AHEAD_S + 11.0, 10.7, 11.0)), "the first was read late"
    assert clock.record(ResponseTimes(AHEAD_S + 12.0, 11.0, 12.6))
    assert not clock.record(ResponseTimes(13.0, 12.6, 13.0)), "the clock was set back"
    assert not clock.record(ResponseTimes(0.0, 13.0, 13.1)), "the response has no time"


@pytest.mark.parametrize("jump_s", [-500.0, 500.0])
def test_response_before_a_jump_is_located_by_the_clock_of_then(jump_s):
    clock = StoreClock()
    locate(clock, AHEAD_S + 10.0, 9.9, 10.0)
    before = ResponseTimes(AHEAD_S + 12.0, 10.0, 13.0)
    clock.record(before)
    locate(clock, AHEAD_S + jump_s + 14.0, 13.0, 14.5)
    assert clock.locate(before) == pytest.approx(12.0)


def test_drifting_store_clock_does_not_age_later_responses():
    clock, drift = StoreClock(), 1e-4
    for second in range(0, 20 * int(WINDOW_S), 2):
        located = locate(clock, AHEAD_S + second * (1 - drift), second - 2.0, second)
        assert located >= second - 3 * WINDOW_S * drift


@given(
    st.lists(
        st.tuples(st.floats(1, 1e6), st.floats(0, 100), st.floats(0, 1000)),
        min_size=1,
        max_size=30,
    )
)
def test_located_time_lies_within_call(calls):
    clock, now = StoreClock(), 0.0
    for store_time_s, pause_s, call_s in calls:
        called_at = now + pause_s
        now = called_at + call_s
        assert called_at - 1e-6 <= locate(clock, store_time_s, called_at, now) <= now + 1e-6
