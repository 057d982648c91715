"""Congestion window of one agent's requests to peers for chunks."""

from __future__ import annotations

import threading

__all__ = ["RequestWindow"]

INITIAL_LIMIT = 2


class RequestWindow:
    """Limits the requests under way, since each chunk on a congested link delays what is behind it.

    The limit begins low. Chunks that arrive raise it by one, up to `most`, and requests without a
    response halve it. Thread-safe.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._limit = min(INITIAL_LIMIT, most)
        self._lock = threading.Lock()

    @property
    def limit(self) -> int:
        """Return the number of requests that may be under way at a time, at least one."""
        return self._limit

    def grow(self) -> None:
        """Raise the limit, since a requested chunk has arrived."""
        with self._lock:
            self._limit = min(self._most, self._limit + 1)

    def shrink(self) -> None:
        """Lower the limit, since a request got no response."""
        with self._lock:
            self._limit = max(1, self._limit // 2)
