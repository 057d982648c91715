"""Fencing numbers of one agent: each order carries a higher one than all before it."""

from __future__ import annotations

import threading


class FencingCounter:
    """Hands out numbers that rise within an incarnation and across incarnations."""

    def __init__(self, incarnation: int) -> None:
        self._last = incarnation
        self._lock = threading.Lock()

    def observe(self, number: int) -> None:
        """Move past a number that an engine has seen."""
        with self._lock:
            self._last = max(self._last, number)

    def next(self) -> int:
        """Return the next number."""
        with self._lock:
            self._last += 1
            return self._last
