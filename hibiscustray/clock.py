"""The clock for times that other machines also count."""

from __future__ import annotations

import time


def read_clock() -> float:
    """Return the seconds since this machine was booted, including time in which it was suspended.

    `time.monotonic` stands still while a machine is suspended, so a bound that others count must
    not be measured with it.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
