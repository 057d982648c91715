"""Keeps an agent's calls from its engine while the engine wants none."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from hibiscustray.clock import read_clock
from hibiscustray.exceptions import UpstreamPushback
from hibiscustray.replicas import read_notice

log = logging.getLogger(__name__)

SERVICE_UNAVAILABLE = 503


class PushbackGate:
    """Remembers until when an engine wants no calls; thread-safe."""

    def __init__(self, clock: Callable[[], float] = read_clock) -> None:
        self._clock = clock
        self._until = float("-inf")
        self._lock = threading.Lock()

    def check(self) -> None:
        """Raise `UpstreamPushback` while the engine wants no calls."""
        with self._lock:
            left_s = self._until - self._clock()
        if left_s > 0:
            raise UpstreamPushback(left_s)

    def record(self, status: int, retry_after: str | None) -> None:
        """Record a response and its Retry-After, None if it has none; only that of a 503 counts."""
        notice = read_notice(None, retry_after)
        if status != SERVICE_UNAVAILABLE or not notice.pushback_s:
            return
        with self._lock:
            until = self._clock() + notice.pushback_s
            is_longer, self._until = until > self._until, max(until, self._until)
        if is_longer:
            log.info("engine pushback", extra={"retry_after": (retry_after or "")[:40]})
