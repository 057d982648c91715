"""Periods in which parts of a soak are disturbed, and so excused from guarantees."""

from __future__ import annotations

import threading
from dataclasses import dataclass


@dataclass(frozen=True)
class _Disturbance:
    target: int | None
    begin: float
    end: float
    is_of_process: bool
    is_graceful: bool = False

    def affects(self, target: int, begin: float, end: float) -> bool:
        return self.target in (None, target) and self.begin <= end and self.end >= begin


class DisturbanceLog:
    """Periods in which an entry's process, its link to the store, or the store is disturbed.

    Another log has the periods in which the links to the replicas are disturbed.
    """

    def __init__(self) -> None:
        self._disturbances: list[_Disturbance] = []
        self._lock = threading.Lock()

    def add(
        self,
        target: int | None,
        begin: float,
        end: float,
        is_of_process: bool = False,
        is_graceful: bool = False,
    ) -> None:
        """Add a disturbance of one entry or replica, or of all if None.

        `is_of_process` if only the process is disturbed, not its link or the store, and
        `is_graceful` if it was asked to stop and still serves. Times are monotonic seconds.
        """
        with self._lock:
            self._disturbances.append(_Disturbance(target, begin, end, is_of_process, is_graceful))

    def is_undisturbed(self, target: int, begin: float, end: float) -> bool:
        """Return whether an entry or replica had no disturbance between two times."""
        with self._lock:
            return not any(d.affects(target, begin, end) for d in self._disturbances)

    def is_process_undisturbed(self, entry: int, begin: float, end: float) -> bool:
        """Return whether an entry's process ran between two times, also if asked to stop."""
        with self._lock:
            return not any(
                d.is_of_process and not d.is_graceful and d.affects(entry, begin, end)
                for d in self._disturbances
            )

    def find_graceful_stop(self, entry: int, begin: float, end: float) -> float | None:
        """Return when an entry was first asked to stop if it was stopping between two times."""
        with self._lock:
            stops = [d for d in self._disturbances if d.is_graceful]
        return min((d.begin for d in stops if d.affects(entry, begin, end)), default=None)

    def find_begin(self, target: int, begin: float, end: float) -> float:
        """Return the begin of the first disturbance between two times, `end` if there is none."""
        with self._lock:
            begins = [d.begin for d in self._disturbances if d.affects(target, begin, end)]
        return min(begins, default=end)

    def find_connected_since(self, entry: int, begin: float, end: float) -> float:
        """Return the earliest time from `begin` since which an entry could reach the store.

        Disturbances of the entry's process are not considered. The result is after `end` if it
        cannot reach the store then.
        """
        with self._lock:
            ends = [
                d.end
                for d in self._disturbances
                if not d.is_of_process and d.affects(entry, begin, end)
            ]
        return max([begin, *ends])
