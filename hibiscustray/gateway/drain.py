"""The time that requests have while an entry stops."""

from __future__ import annotations

from dataclasses import dataclass

STOP_MARGIN_S = 0.6
"""Longest part of the grace period reserved for the responses to requests that have not ended."""
STOP_MARGIN_SHARE = 1 / 6
"""Share of a short grace period reserved for these responses."""
MAX_TAKES_SHARE = 0.5
"""Share of a short grace period in which requests are taken whatever their deadline."""


@dataclass(frozen=True)
class DrainWindow:
    """What a stopping entry still begins and when it ends the rest, in times of `read_clock`.

    Until `takes_until`, attempts at replicas begin whatever their deadline, and until `ends_at`, if
    their deadline is not after it; then those that run end. The grace period ends at `kills_at`.
    """

    takes_until: float
    ends_at: float
    kills_at: float

    @classmethod
    def begin(cls, now: float, grace_s: float, takes_s: float) -> DrainWindow:
        """Return the window of a drain that begins now and has to take requests for `takes_s`."""
        margin_s = min(STOP_MARGIN_S, grace_s * STOP_MARGIN_SHARE)
        takes_until = now + min(takes_s, grace_s * MAX_TAKES_SHARE)
        return cls(takes_until, now + max(0.0, grace_s - margin_s), now + grace_s)

    @property
    def response_deadline(self) -> float:
        """Return the time until which the entry waits for its callers to get their responses."""
        return (self.ends_at + self.kills_at) / 2

    def is_over(self, now: float) -> bool:
        """Return whether no attempt may run any more."""
        return now >= self.ends_at

    def is_too_late(self, now: float, deadline: float) -> bool:
        """Return whether an attempt with a deadline may not begin any more."""
        return self.is_over(now) or (now >= self.takes_until and deadline > self.ends_at)
