"""A token bucket that paces weights on one link and yields to live requests."""

from __future__ import annotations

import threading
import time

BITS_PER_BYTE = 8
MEGA = 1_000_000


class LinkBudget:
    """Hands out bytes at a rate; callers wait their turn."""

    def __init__(self, mbit_s: float) -> None:
        self._rate_b_s = mbit_s * MEGA / BITS_PER_BYTE
        self._next_at = 0.0
        self._lock = threading.Lock()

    def reserve(self, size_b: int) -> float:
        """Take bytes and return the seconds to wait before they may be on the link."""
        with self._lock:
            now = time.monotonic()
            start = max(now, self._next_at)
            self._next_at = start + size_b / self._rate_b_s
            return self._next_at - now

    def take(self, size_b: int) -> None:
        """Wait until bytes may have passed the link."""
        delay = self.reserve(size_b)
        if delay > 0:
            time.sleep(delay)
