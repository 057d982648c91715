"""Limits the rate of one process's calls to the platform's store."""

from __future__ import annotations

import threading
import time


class CallRateLimiter:
    """A token bucket that allows a sustained rate of calls per second and a burst."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._refilled_at = time.monotonic()
        self._lock = threading.Lock()

    def try_acquire(self) -> bool:
        """Take the token for one call; return False without waiting if there is none."""
        with self._lock:
            now = time.monotonic()
            refill = (now - self._refilled_at) * self._rate_per_s
            self._tokens = min(self._burst, self._tokens + refill)
            self._refilled_at = now
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
