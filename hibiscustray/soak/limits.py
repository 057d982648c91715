"""The guarantee that a replica gets no more requests than the limit that it names."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from hibiscustray.soak.disturbances import DisturbanceLog

CONTACT_S = 3.0
"""Time after a replica names a limit by which all entries have to keep it."""
WINDOW_S = 4.0
"""Span in which requests are counted."""
LIMIT_FACTOR = 1.5
EXTRA_REQUESTS = 5
"""Requests that may arrive in any window beyond `LIMIT_FACTOR` times the limit."""


@dataclass
class _Period:
    replica: int
    limit_per_s: float
    begin: float
    end: float = float("inf")
    arrivals: list[tuple[float, int]] = field(default_factory=list)


class LimitCheck:
    """Finds replicas that got too many requests from all entries together.

    `entries` has the disturbances of the entries and `links` those of the links to replicas.
    """

    def __init__(self, entries: DisturbanceLog, links: DisturbanceLog) -> None:
        self._entries = entries
        self._links = links
        self._current: dict[int, _Period] = {}
        self._periods: list[_Period] = []

    def record_limit(self, replica: int, limit_per_s: float | None, at: float) -> None:
        """Record that a replica names a limit from now on, or no longer names one."""
        ended = self._current.pop(replica, None)
        if ended is not None:
            ended.end = at
        if limit_per_s is not None:
            self._current[replica] = period = _Period(replica, limit_per_s, at)
            self._periods.append(period)

    def record_arrival(self, replica: int, entry: int, at: float) -> None:
        """Record that a request from an entry reached a replica."""
        period = self._current.get(replica)
        if period is not None:
            period.arrivals.append((at, entry))

    def count_windows(self) -> int:
        """Return the number of windows that were checked, one for each request that counts."""
        return sum(len(self._list_counted(period)) for period in self._periods)

    def find_excess(self) -> Iterator[tuple[float, str]]:
        """Yield the time and a description for each limit that was not kept.

        A request counts unless its entry or the link to the replica was disturbed in the
        `CONTACT_S` before.
        """
        for period in self._periods:
            allowed = LIMIT_FACTOR * period.limit_per_s * WINDOW_S + EXTRA_REQUESTS
            times = self._list_counted(period)
            counts = [sum(at <= other < at + WINDOW_S for other in times) for at in times]
            most = max(counts, default=0)
            if most > allowed:
                yield times[counts.index(most)], (
                    f"replica {period.replica} got {most} requests in {WINDOW_S:.0f} s, which had "
                    f"named a limit of {period.limit_per_s:g} a second for {allowed:g} at most"
                )

    def _list_counted(self, period: _Period) -> list[float]:
        return sorted(
            at
            for at, entry in period.arrivals
            if at >= period.begin + CONTACT_S
            and self._entries.is_undisturbed(entry, at - CONTACT_S, at)
            and self._links.is_undisturbed(period.replica, at - CONTACT_S, at)
        )
