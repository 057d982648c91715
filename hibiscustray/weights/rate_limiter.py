"""Rate limiting of weight transfers on one link."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

BITS_PER_BYTE = 8
MEGA = 1_000_000
BUSY_RATE_SHARE = 0.5
"""Share of the configured rate that weights may use while the link carries live requests."""


def _is_never_busy() -> bool:
    return False


class LinkRateLimiter:
    """Schedules transmissions on a link at a fixed rate, reduced while live requests use the link.

    Transmissions are queued in the order of their reservations.
    """

    def __init__(self, mbit_s: float, is_busy: Callable[[], bool] = _is_never_busy) -> None:
        self._rate_b_s = mbit_s * MEGA / BITS_PER_BYTE
        self._is_busy = is_busy
        self._next_at = 0.0
        self._lock = threading.Lock()

    def reserve(self, size_b: int) -> tuple[float, float]:
        """Queue a transmission; return the seconds until its first and last byte may be sent."""
        with self._lock:
            now = time.monotonic()
            start = max(now, self._next_at)
            self._next_at = start + self.compute_duration(size_b)
            return start - now, self._next_at - now

    def compute_duration(self, size_b: int) -> float:
        """Return the seconds that a transmission takes at the current rate."""
        share = BUSY_RATE_SHARE if self._is_busy() else 1.0
        return size_b / (self._rate_b_s * share)

    def compute_backlog(self) -> float:
        """Return the seconds until all queued transmissions have ended."""
        return max(0.0, self._next_at - time.monotonic())

    def wait_for_start(self, size_b: int) -> None:
        """Queue a transmission and wait until its first byte may be sent."""
        _sleep(self.reserve(size_b)[0])

    def wait_for_end(self, size_b: int) -> None:
        """Queue a transmission and wait until its last byte may have been sent."""
        _sleep(self.reserve(size_b)[1])


def _sleep(delay_s: float) -> None:
    if delay_s > 0:
        time.sleep(delay_s)
