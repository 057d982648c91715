"""Conversion of the store's clock to this machine's, with late reads and jumps of the clock."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.feeds.clock import WINDOW_S, StoreClock

AHEAD_S = 700.0


def test_late_read_response_is_located_at_its_sending():
    clock = StoreClock()
    clock.locate(AHEAD_S + 10.0, 9.99, 10.0)
    assert clock.locate(AHEAD_S + 11.0, 10.5, 16.0) == pytest.approx(11.0)
    assert clock.locate(AHEAD_S + 16.02, 16.0, 16.02) == pytest.approx(16.02)


def test_response_without_time_is_located_at_its_reading():
    assert StoreClock().locate(0.0, 3.0, 8.0) == 8.0


@pytest.mark.parametrize("jump_s", [-500.0, 500.0])
def test_jump_of_store_clock_does_not_age_later_responses(jump_s):
    clock = StoreClock()
    clock.locate(AHEAD_S + 10.0, 9.99, 10.0)
    for second in range(11, 20):
        located = clock.locate(AHEAD_S + jump_s + second, second - 0.5, second)
        assert located == pytest.approx(second)


def test_drifting_store_clock_does_not_age_later_responses():
    clock, drift = StoreClock(), 1e-4
    for second in range(0, 20 * int(WINDOW_S), 2):
        located = clock.locate(AHEAD_S + second * (1 - drift), second - 2.0, second)
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
        assert called_at - 1e-6 <= clock.locate(store_time_s, called_at, now) <= now + 1e-6
