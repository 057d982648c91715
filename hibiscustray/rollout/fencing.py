"""Fencing numbers of one agent: each order carries a higher one than all before it."""

from __future__ import annotations

import threading
from collections.abc import Callable


class FencingCounter:
    """Hands out numbers that rise within an incarnation and across incarnations.

    The floor is read before each number. An agent gives its incarnation as its peers know it,
    which exceeds all earlier ones even when the VM's clock went backwards.
    """

    def __init__(self, incarnation: int, read_floor: Callable[[], int] | None = None) -> None:
        self._last = incarnation
        self._read_floor = read_floor
        self._lock = threading.Lock()

    def observe(self, number: int) -> None:
        """Move past a number that an engine has seen."""
        with self._lock:
            self._last = max(self._last, number)

    def next(self) -> int:
        """Return the next number."""
        floor = self._read_floor() if self._read_floor is not None else 0
        with self._lock:
            self._last = max(self._last, floor) + 1
            return self._last
