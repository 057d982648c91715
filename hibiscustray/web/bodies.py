"""Bounds the bytes of request bodies that a server holds at once."""

from __future__ import annotations

import logging
import math
import threading
import time
from dataclasses import dataclass

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


@dataclass(eq=False)
class BodyShare:
    """The bytes of one body that are counted."""

    size_b: int = 0


class BodyBudget:
    """Counts the bytes of all bodies that are expected or held; thread-safe."""

    def __init__(self, limit_b: float = math.inf) -> None:
        self._limit_b = limit_b
        self._held_b = 0
        self._rejected = 0
        self._logged_at = float("-inf")
        self._lock = threading.Lock()

    def extend(self, share: BodyShare, size_b: int) -> bool:
        """Count a body as `size_b` bytes long; return False, without counting, if they exceed."""
        limit_b = self._limit_b * (1.0 if size_b <= SHORT_B else 1 - SHORT_SHARE)
        with self._lock:
            if self._held_b - share.size_b + size_b <= limit_b:
                self._held_b += size_b - share.size_b
                share.size_b = size_b
                return True
            self._rejected += 1
            rejected, now = self._rejected, time.monotonic()
            if now - self._logged_at < MIN_LOG_INTERVAL_S:
                return False
            self._logged_at, self._rejected = now, 0
            held_b = self._held_b
        log.warning(
            "bodies exceed their memory",
            extra={"held_b": held_b, "body_b": size_b, "rejected": rejected},
        )
        return False

    def release(self, share: BodyShare) -> None:
        """Count a body as no longer held; a second call does nothing."""
        with self._lock:
            self._held_b -= share.size_b
            share.size_b = 0
