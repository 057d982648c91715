"""Detection of times in which this process did not run."""

from __future__ import annotations

import logging
import time

from hibiscustray.clock import read_clock
from hibiscustray.telemetry.metrics import Metrics

log = logging.getLogger(__name__)

MIN_PAUSE_S = 0.5
"""Delay of a check that is reported; a busy machine delays a thread by less."""


class PauseDetector:
    """Reports that a check, which is due every `interval_s` seconds, was late."""

    def __init__(self, metrics: Metrics, interval_s: float) -> None:
        self._metrics = metrics
        self._interval_s = interval_s
        self._last_check: tuple[float, float] | None = None

    def check(self) -> None:
        """Compare the time with that of the last check; log a pause and count it."""
        now, steady_now = read_clock(), time.monotonic()
        if self._last_check is not None:
            elapsed_s = now - self._last_check[0]
            suspended_s = elapsed_s - (steady_now - self._last_check[1])
            if elapsed_s - self._interval_s > MIN_PAUSE_S:
                log.warning(
                    "process resumed after a pause",
                    extra={
                        "paused_s": round(elapsed_s, 3),
                        # Part of the pause that time.monotonic did not count.
                        "suspended_s": round(suspended_s, 3),
                    },
                )
                self._metrics.count("process_pauses_total")
                self._metrics.observe("process_pause_seconds", elapsed_s)
        self._last_check = (now, steady_now)
