"""The time that requests have while an entry stops."""

from __future__ import annotations

from dataclasses import dataclass

STOP_MARGIN_S = 0.6
"""Longest part of the grace period reserved for the responses to requests that have not ended."""
STOP_MARGIN_SHARE = 1 / 6
"""Share of a short grace period reserved for these responses."""


@dataclass(frozen=True)
class DrainWindow:
    """Times of `read_clock`: attempts at replicas end at `ends_at`, the grace period at `kills_at`.

    The time between them is for the callers' responses and for stopping.
    """

    ends_at: float
    kills_at: float

    @classmethod
    def begin(cls, now: float, grace_s: float) -> DrainWindow:
        """Return the window of a drain that begins now."""
        margin_s = min(STOP_MARGIN_S, grace_s * STOP_MARGIN_SHARE)
        return cls(now + max(0.0, grace_s - margin_s), now + grace_s)

    @property
    def response_deadline(self) -> float:
        """Return the time until which the entry waits for its callers to get their responses."""
        return (self.ends_at + self.kills_at) / 2

    def is_over(self, now: float) -> bool:
        """Return whether no attempt may run any more."""
        return now >= self.ends_at
