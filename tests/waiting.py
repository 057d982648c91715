"""Waiting for conditions that other threads fulfil."""

from __future__ import annotations

import time
from collections.abc import Callable

DEFAULT_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.01


def wait_until(condition: Callable[[], object], timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
    """Wait until a condition holds; fail the test after `timeout_s`."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "the condition was not reached in time"
        time.sleep(POLL_INTERVAL_S)
