"""Tests of the times of a drain."""

from __future__ import annotations

import pytest

from hibiscustray.gateway.drain import DrainWindow

SOON, LATE = 101.0, 200.0


@pytest.mark.parametrize("grace_s", [0.0, 0.5, 3.0, 8.0, 24.0])
def test_attempts_do_not_end_before_the_last_sixth_of_the_grace_period(grace_s):
    window = DrainWindow.begin(100.0, grace_s, 3.0)
    assert 100.0 + grace_s * 5 / 6 <= window.ends_at + 1e-9
    assert window.takes_until <= window.ends_at <= window.response_deadline <= window.kills_at
    assert window.kills_at == 100.0 + grace_s


def test_requests_are_taken_for_the_given_time_whatever_their_deadline():
    window = DrainWindow.begin(100.0, 8.0, 3.0)
    assert not window.is_too_late(102.9, LATE)
    assert window.is_too_late(103.1, LATE)
    assert not window.is_too_late(103.1, window.ends_at - 0.1)


def test_half_of_a_short_grace_period_is_left_to_requests_of_any_deadline():
    window = DrainWindow.begin(100.0, 3.0, 3.0)
    assert not window.is_too_late(101.4, LATE)
    assert window.is_too_late(101.6, LATE)


def test_nothing_begins_once_attempts_end():
    window = DrainWindow.begin(100.0, 8.0, 3.0)
    assert window.is_over(window.ends_at)
    assert window.is_too_late(window.ends_at, SOON)
