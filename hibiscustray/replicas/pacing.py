"""Divides a replica's limit among entries that do not coordinate.

Each entry may send one request in each period of its own, which is as many times longer than the
interval between two requests as there are entries. The start of the periods is random. An entry may
send only at the beginning of a period, so that callers that come to all entries at the same time do
not use the shares of all of them at once.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

MAX_INTERVAL_S = 60.0
"""Longest time between two requests of all entries. Without them, an entry would never learn that a
limit of zero has ended."""
WINDOW_MARGIN_S = 0.5
"""Part of a period, beyond the interval of all entries, in which a request may be sent."""
MIN_GAP_SHARE = 0.5
"""Share of a period that must lie between two requests if the periods change."""


@dataclass(frozen=True)
class Pace:
    """One entry's share of a limit; `phase` is the start of its periods, from 0 to 1."""

    limit_per_s: float
    entries: int
    phase: float

    @property
    def interval_s(self) -> float:
        """Return the time between two requests of all entries together."""
        if self.limit_per_s * MAX_INTERVAL_S <= 1:
            return MAX_INTERVAL_S
        return 1 / self.limit_per_s

    @property
    def period_s(self) -> float:
        """Return the time in which this entry may send one request."""
        return self.interval_s * max(1, self.entries)

    def find_wait(self, now: float, last_sent_at: float) -> float:
        """Return the seconds until a request may be sent, 0 for now."""
        earliest = max(now, last_sent_at + MIN_GAP_SHARE * self.period_s)
        used = math.floor(self._count_periods(last_sent_at))
        position = self._count_periods(earliest)
        begun = math.floor(position)
        since_begin_s = (position - begun) * self.period_s
        window_s = min(self.period_s, self.interval_s + WINDOW_MARGIN_S)
        if begun != used and since_begin_s < window_s:
            return earliest - now
        return earliest - now + self.period_s - since_begin_s

    def _count_periods(self, at: float) -> float:
        return at / self.period_s - self.phase
