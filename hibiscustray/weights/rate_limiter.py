"""A token bucket that paces weights on one link and yields to live requests."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

BITS_PER_BYTE = 8
MEGA = 1_000_000
BUSY_RATE_SHARE = 0.5


def _is_never_busy() -> bool:
    return False


class LinkRateLimiter:
    """Hands out turns on a link at a rate, a lower one while live requests use the link."""

    def __init__(self, mbit_s: float, is_busy: Callable[[], bool] = _is_never_busy) -> None:
        self._rate_b_s = mbit_s * MEGA / BITS_PER_BYTE
        self._is_busy = is_busy
        self._next_at = 0.0
        self._lock = threading.Lock()

    def reserve(self, size_b: int) -> tuple[float, float]:
        """Take a turn; return the seconds until its first and its last byte may pass."""
        with self._lock:
            now = time.monotonic()
            start = max(now, self._next_at)
            self._next_at = start + self.compute_duration(size_b)
            return start - now, self._next_at - now

    def compute_duration(self, size_b: int) -> float:
        """Return the seconds that bytes take on the link now."""
        share = BUSY_RATE_SHARE if self._is_busy() else 1.0
        return size_b / (self._rate_b_s * share)

    def compute_backlog(self) -> float:
        """Return the seconds until the turns given out are over."""
        return max(0.0, self._next_at - time.monotonic())

    def wait_for_start(self, size_b: int) -> None:
        """Wait until the first of some bytes may pass."""
        _sleep(self.reserve(size_b)[0])

    def wait_for_end(self, size_b: int) -> None:
        """Wait until all of some bytes may have passed."""
        _sleep(self.reserve(size_b)[1])


def _sleep(delay_s: float) -> None:
    if delay_s > 0:
        time.sleep(delay_s)
