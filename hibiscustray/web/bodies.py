"""Bounds the bytes of request bodies that a server holds at once."""

from __future__ import annotations

import logging
import math
import threading
import time

from waitress.utilities import Error

log = logging.getLogger(__name__)

SHORT_B = 64 * 1024
"""Longest body that may use the part of the budget that is kept for short ones."""
SHORT_SHARE = 0.2
"""Share of the budget that is kept for short bodies."""
RETRY_AFTER_S = 0.5
"""Time after which a caller is told to come back: a body takes some tenths of a second."""
MIN_LOG_INTERVAL_S = 1.0


class BodiesExceeded(Error):
    """Response to a request whose body is not read for want of memory; it has not run."""

    code = 503
    reason = "Service Unavailable"

    def to_response(self, ident: str | None = None) -> tuple[str, list, bytes]:
        """Return the status, the headers and the body."""
        status, headers, body = super().to_response(ident)
        return status, [*headers, ("Retry-After", f"{RETRY_AFTER_S:.2f}")], body


class BodyBudget:
    """Counts the bytes of all bodies that are expected or held; thread-safe."""

    def __init__(self, limit_b: float = math.inf) -> None:
        self._limit_b = limit_b
        self._held_b = 0
        self._rejected = 0
        self._logged_at = float("-inf")
        self._lock = threading.Lock()

    def take(self, size_b: int, total_b: int) -> bool:
        """Count `size_b` more bytes of a body of `total_b` so far; return False if they exceed."""
        limit_b = self._limit_b * (1.0 if total_b <= SHORT_B else 1 - SHORT_SHARE)
        with self._lock:
            if self._held_b + size_b <= limit_b:
                self._held_b += size_b
                return True
            self._rejected += 1
            rejected, now = self._rejected, time.monotonic()
            if now - self._logged_at < MIN_LOG_INTERVAL_S:
                return False
            self._logged_at, self._rejected = now, 0
            held_b = self._held_b
        log.warning(
            "bodies exceed their memory",
            extra={"held_b": held_b, "body_b": total_b, "rejected": rejected},
        )
        return False

    def release(self, size_b: int) -> None:
        """Count bytes as no longer held."""
        with self._lock:
            self._held_b -= size_b
