"""Fencing numbers, which increase with each order of an agent."""

from __future__ import annotations

import threading
from collections.abc import Callable


class FencingCounter:
    """Issues numbers that increase within an incarnation and across incarnations.

    Each number exceeds a floor that is read first. Agents use their incarnation as their peers
    know it, which exceeds all earlier incarnations even if the VM's clock was set back.
    """

    def __init__(self, incarnation: int, read_floor: Callable[[], int] | None = None) -> None:
        self._last = incarnation
        self._read_floor = read_floor
        self._lock = threading.Lock()

    def observe(self, number: int) -> None:
        """Make all further numbers exceed a number that an engine has seen."""
        with self._lock:
            self._last = max(self._last, number)

    def next(self) -> int:
        """Issue the next number."""
        floor = self._read_floor() if self._read_floor is not None else 0
        with self._lock:
            self._last = max(self._last, floor) + 1
            return self._last
