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
class Progress:
    """An attempt under way at a replica; `units` are the tokens that it should give."""

    member_id: str
    units: int
    is_stream: bool
    started_at: float
    heard_at: float
    payloads: int = 0
    first_s: float | None = None

    def note_payloads(self, count: int, now: float) -> None:
        """Note payloads that came."""
        if self.first_s is None:
            self.first_s = now - self.started_at
        self.payloads += count
        self.heard_at = now


class ReplicaHealth:
    """The smoothed seconds per token of one replica and its attempts under way."""

    def __init__(self) -> None:
        self.unit_s: float | None = None
        self._progress: dict[int, Progress] = {}
        self._probe_at: float | None = None
        self._probe_interval_s = PROBE_INTERVAL_S

    def begin(self, progress: Progress) -> None:
        """Note an attempt that starts."""
        self._progress[id(progress)] = progress

    def end(self, progress: Progress, is_answered: bool, now: float) -> None:
        """Note an attempt that ended; only whole answers give a sample."""
        self._progress.pop(id(progress), None)
        if not is_answered:
            return
        sample = (now - progress.started_at) / progress.units
        known = self.unit_s
        self.unit_s = sample if known is None else known + SMOOTHING * (sample - known)

    def read_unit(self, typical_s: float, now: float) -> float:
        """Return the seconds per token, raised by attempts that are overdue or stalled."""
        worst = self.unit_s or typical_s
        for progress in list(self._progress.values()):
            worst = max(worst, _read_strain(progress, typical_s, now) * typical_s)
        return worst

    def take_probe(self, now: float) -> bool:
        """Tell whether an ejected replica may get one attempt now, to see if it is back."""
        if self._probe_at is None:
            self._probe_at = now + self._probe_interval_s
        if now < self._probe_at:
            return False
        self._probe_interval_s = min(2 * self._probe_interval_s, MAX_PROBE_INTERVAL_S)
        self._probe_at = now + self._probe_interval_s
        return True

    def settle(self) -> None:
        """Note that the replica is as fast as the others."""
        self._probe_at = None
        self._probe_interval_s = PROBE_INTERVAL_S


def _read_strain(progress: Progress, typical_s: float, now: float) -> float:
    """Return how many times longer than typical an attempt takes, 0 while it is in time."""
    age = now - progress.started_at
    expected = max(typical_s * progress.units, MIN_STALL_S)
    strain = age / expected if age > OVERDUE_FACTOR * expected else 0.0
    if progress.is_stream and progress.payloads:
        gap = now - progress.heard_at
        if gap > max(MIN_STALL_S, STALL_FACTOR * typical_s):
            strain = max(strain, gap / typical_s)
    return strain
