"""Estimates the current speed of a replica from finished and running attempts."""

from __future__ import annotations

from dataclasses import dataclass

SMOOTHING = 0.2
"""Weight of the latest sample in the moving average of times per token."""

OVERDUE_FACTOR = 2.5
"""Multiple of its expected duration from which a running attempt counts as overdue."""

STALL_FACTOR = 8.0
"""Multiple of the typical time per token from which a gap in a stream counts as a stall."""

MIN_STALL_S = 0.3
"""Shortest gap that counts as a stall, and shortest expected duration of an attempt."""

PROBE_INTERVAL_S = 5.0
MAX_PROBE_INTERVAL_S = 60.0


@dataclass
class AttemptProgress:
    """A running attempt at a replica; `expected_tokens` estimates its number of output tokens."""

    member_id: str
    expected_tokens: int
    is_stream: bool
    started_at: float
    last_payload_at: float
    payloads: int = 0
    first_payload_s: float | None = None

    def record_payloads(self, count: int, now: float) -> None:
        """Record received payloads."""
        if self.first_payload_s is None:
            self.first_payload_s = now - self.started_at
        self.payloads += count
        self.last_payload_at = now


class ReplicaHealth:
    """The smoothed time per token of one replica, and its running attempts."""

    def __init__(self) -> None:
        self.time_per_token_s: float | None = None
        self._progress: dict[int, AttemptProgress] = {}
        self._probe_at: float | None = None
        self._probe_interval_s = PROBE_INTERVAL_S

    def add_attempt(self, progress: AttemptProgress) -> None:
        """Add a running attempt."""
        self._progress[id(progress)] = progress

    def end_attempt(self, progress: AttemptProgress, is_complete: bool, now: float) -> None:
        """Remove an attempt that ended; only complete responses give a sample."""
        self._progress.pop(id(progress), None)
        if not is_complete:
            return
        sample = (now - progress.started_at) / progress.expected_tokens
        known = self.time_per_token_s
        self.time_per_token_s = sample if known is None else known + SMOOTHING * (sample - known)

    def estimate_time_per_token(self, typical_time_per_token_s: float, now: float) -> float:
        """Return the time per token in seconds, increased by overdue or stalled attempts."""
        worst = self.time_per_token_s or typical_time_per_token_s
        for progress in list(self._progress.values()):
            worst = max(
                worst,
                _compute_slowdown(progress, typical_time_per_token_s, now)
                * typical_time_per_token_s,
            )
        return worst

    def try_probe(self, now: float) -> bool:
        """Return whether an ejected replica is due for one probe attempt, and schedule the next.

        The interval between probes doubles up to `MAX_PROBE_INTERVAL_S`.
        """
        if self._probe_at is None:
            self._probe_at = now + self._probe_interval_s
        if now < self._probe_at:
            return False
        self._probe_interval_s = min(2 * self._probe_interval_s, MAX_PROBE_INTERVAL_S)
        self._probe_at = now + self._probe_interval_s
        return True

    def reset_probes(self) -> None:
        """Reset the probe schedule of a replica that is not an outlier."""
        self._probe_at = None
        self._probe_interval_s = PROBE_INTERVAL_S


def _compute_slowdown(
    progress: AttemptProgress, typical_time_per_token_s: float, now: float
) -> float:
    """Return how many times slower than typical an attempt is, 0 if not overdue or stalled."""
    age = now - progress.started_at
    expected = max(typical_time_per_token_s * progress.expected_tokens, MIN_STALL_S)
    slowdown = age / expected if age > OVERDUE_FACTOR * expected else 0.0
    if progress.is_stream and progress.payloads:
        gap = now - progress.last_payload_at
        if gap > max(MIN_STALL_S, STALL_FACTOR * typical_time_per_token_s):
            slowdown = max(slowdown, gap / typical_time_per_token_s)
    return slowdown
