"""Waiting for what other threads bring about."""

from __future__ import annotations

import time
from collections.abc import Callable

WAIT_S = 5.0
POLL_S = 0.01


def wait_until(is_reached: Callable[[], object], limit_s: float = WAIT_S) -> None:
    """Wait for a condition; fail the test if it does not come in time."""
    deadline = time.monotonic() + limit_s
    while not is_reached():
        assert time.monotonic() < deadline, "the condition was not reached"
        time.sleep(POLL_S)
