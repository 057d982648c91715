"""Fencing numbers, which increase with each order of an agent."""

from __future__ import annotations

import threading
from collections.abc import Callable


class FencingCounter:
    """Issues numbers that increase within an incarnation and across incarnations.

    Each number also exceeds a lower bound that `read_lower_bound` returns. Agents use the
    incarnation in their own member record, which is raised to the highest one that their peers
    know. Numbers thus increase across incarnations even if the VM's clock was set back.
    """

    def __init__(self, incarnation: int, read_lower_bound: Callable[[], int] | None = None) -> None:
        self._last = incarnation
        self._read_lower_bound = read_lower_bound
        self._lock = threading.Lock()

    def observe(self, number: int) -> None:
        """Make all further numbers exceed a number that an engine has seen."""
        with self._lock:
            self._last = max(self._last, number)

    def next(self) -> int:
        """Issue the next number."""
        lower_bound = self._read_lower_bound() if self._read_lower_bound is not None else 0
        with self._lock:
            self._last = max(self._last, lower_bound) + 1
            return self._last
