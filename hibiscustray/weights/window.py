"""Congestion window of one agent's requests to peers for chunks."""

from __future__ import annotations

import threading

__all__ = ["RequestWindow"]

INITIAL_LIMIT = 2
PROMPT_S = 0.4
"""Time within which a chunk arrives over a link that is not congested."""
SLOW_S = 0.8


class RequestWindow:
    """Limits the requests under way, since each chunk on a congested link delays what is behind it.

    The limit begins low. Chunks that arrive promptly raise it by one, up to `most`. Slow ones and
    requests without a response halve it. Thread-safe.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._limit = min(INITIAL_LIMIT, most)
        self._lock = threading.Lock()

    @property
    def limit(self) -> int:
        """Return the number of requests that may be under way at a time, at least one."""
        return self._limit

    def record_arrival(self, taken_s: float) -> None:
        """Record that a requested chunk has arrived after some seconds."""
        if taken_s > SLOW_S:
            self.record_failure()
        elif taken_s <= PROMPT_S:
            with self._lock:
                self._limit = min(self._most, self._limit + 1)

    def record_failure(self) -> None:
        """Record that a request got no response."""
        with self._lock:
            self._limit = max(1, self._limit // 2)
