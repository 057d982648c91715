"""How fast a replica is now, from finished attempts and from those under way."""

from __future__ import annotations

from dataclasses import dataclass

SMOOTHING = 0.2
OVERDUE_FACTOR = 2.5
STALL_FACTOR = 8.0
MIN_STALL_S = 0.3
PROBE_INTERVAL_S = 5.0
MAX_PROBE_INTERVAL_S = 60.0


@dataclass
class AttemptProgress:
    """An attempt under way at a replica; `expected_tokens` are the tokens that it should give."""

    member_id: str
    expected_tokens: int
    is_stream: bool
    started_at: float
    last_payload_at: float
    payloads: int = 0
    first_payload_s: float | None = None

    def record_payloads(self, count: int, now: float) -> None:
        """Note payloads that came."""
        if self.first_payload_s is None:
            self.first_payload_s = now - self.started_at
        self.payloads += count
        self.last_payload_at = now


class ReplicaHealth:
    """The smoothed seconds per token of one replica and its attempts under way."""

    def __init__(self) -> None:
        self.time_per_token_s: float | None = None
        self._progress: dict[int, AttemptProgress] = {}
        self._probe_at: float | None = None
        self._probe_interval_s = PROBE_INTERVAL_S

    def add_attempt(self, progress: AttemptProgress) -> None:
        """Note an attempt that starts."""
        self._progress[id(progress)] = progress

    def end_attempt(self, progress: AttemptProgress, is_answered: bool, now: float) -> None:
        """Note an attempt that ended; only whole answers give a sample."""
        self._progress.pop(id(progress), None)
        if not is_answered:
            return
        sample = (now - progress.started_at) / progress.expected_tokens
        known = self.time_per_token_s
        self.time_per_token_s = sample if known is None else known + SMOOTHING * (sample - known)

    def estimate_time_per_token(self, typical_s: float, now: float) -> float:
        """Return the seconds per token, raised by attempts that are overdue or stalled."""
        worst = self.time_per_token_s or typical_s
        for progress in list(self._progress.values()):
            worst = max(worst, _compute_slowdown(progress, typical_s, now) * typical_s)
        return worst

    def try_probe(self, now: float) -> bool:
        """Tell whether an ejected replica may get one attempt now, to see if it is back."""
        if self._probe_at is None:
            self._probe_at = now + self._probe_interval_s
        if now < self._probe_at:
            return False
        self._probe_interval_s = min(2 * self._probe_interval_s, MAX_PROBE_INTERVAL_S)
        self._probe_at = now + self._probe_interval_s
        return True

    def reset_probes(self) -> None:
        """Note that the replica is as fast as the others."""
        self._probe_at = None
        self._probe_interval_s = PROBE_INTERVAL_S


def _compute_slowdown(progress: AttemptProgress, typical_s: float, now: float) -> float:
    """Return how many times longer than typical an attempt takes, 0 while it is in time."""
    age = now - progress.started_at
    expected = max(typical_s * progress.expected_tokens, MIN_STALL_S)
    slowdown = age / expected if age > OVERDUE_FACTOR * expected else 0.0
    if progress.is_stream and progress.payloads:
        gap = now - progress.last_payload_at
        if gap > max(MIN_STALL_S, STALL_FACTOR * typical_s):
            slowdown = max(slowdown, gap / typical_s)
    return slowdown
