"""Detection of pauses of the process."""

from __future__ import annotations

import logging

import pytest

from hibiscustray.telemetry import Metrics, PauseDetector, pauses


class Clocks:
    """Two clocks that a test advances; a suspended machine advances only the first."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = self.steady_now = 100.0
        monkeypatch.setattr(pauses, "read_clock", lambda: self.now)
        monkeypatch.setattr(pauses.time, "monotonic", lambda: self.steady_now)

    def advance(self, seconds: float, suspended_s: float = 0.0) -> None:
        self.now += seconds + suspended_s
        self.steady_now += seconds


@pytest.fixture
def clocks(monkeypatch):
    return Clocks(monkeypatch)


def test_late_check_is_logged_as_pause(clocks, caplog):
    caplog.set_level(logging.INFO)
    metrics = Metrics("test")
    detector = PauseDetector(metrics, 0.05)
    detector.check()
    clocks.advance(0.3)
    detector.check()
    assert not caplog.records
    clocks.advance(4.0)
    detector.check()
    assert metrics.read_total("process_pauses_total") == 1
    assert (caplog.records[0].paused_s, caplog.records[0].suspended_s) == (4.0, 0.0)


def test_suspended_time_is_logged(clocks, caplog):
    caplog.set_level(logging.INFO)
    detector = PauseDetector(Metrics("test"), 0.05)
    detector.check()
    clocks.advance(0.05, suspended_s=6.0)
    detector.check()
    assert (caplog.records[0].paused_s, caplog.records[0].suspended_s) == (6.05, 6.0)
