"""Hypothesis settings for all tests, with the same examples in every run, and shared fixtures."""

from __future__ import annotations

import time
from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, settings

settings.register_profile(
    "repeatable",
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.load_profile("repeatable")


@pytest.fixture
def suspend_machine(monkeypatch: pytest.MonkeyPatch) -> Callable[[float], None]:
    """Return a function that makes the machine look as if it had been suspended for some seconds.

    Only the clock that counts suspended time advances by them.
    """
    read_time = time.clock_gettime
    suspended_s = 0.0

    def read_after_suspension(clock: int) -> float:
        return read_time(clock) + (suspended_s if clock == time.CLOCK_BOOTTIME else 0.0)

    def suspend(seconds: float) -> None:
        nonlocal suspended_s
        suspended_s += seconds

    monkeypatch.setattr(time, "clock_gettime", read_after_suspension)
    return suspend
