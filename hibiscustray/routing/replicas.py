"""What an entry knows of each replica: outstanding work, reported load, limit and health."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field

from hibiscustray.peers import MemberRecord
from hibiscustray.routing.concurrency import ConcurrencyLimit
from hibiscustray.routing.health import ReplicaHealth

REPORT_KEPT_S = 5.0
EJECTION_FACTOR = 3.0
MIN_USABLE_SHARE = 0.5


@dataclass
class ReplicaState:
    """The state of one replica as one entry sees it; `others` is the work of other entries."""

    outstanding: int = 0
    others: int = 0
    reported_at: float = 0.0
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    health: ReplicaHealth = field(default_factory=ReplicaHealth)

    def read_others(self, now: float) -> int:
        """Return the last report of others' work, nothing once it is old."""
        return self.others if now - self.reported_at < REPORT_KEPT_S else 0

    def read_load(self, now: float) -> int:
        """Return the requests that the replica should have."""
        return self.outstanding + self.read_others(now)


@dataclass(frozen=True)
class Candidate:
    """A replica with its state and its seconds per token as of now."""

    member: MemberRecord
    state: ReplicaState
    load: int
    unit_s: float

    @property
    def has_room(self) -> bool:
        """Tell whether the replica is under its limit."""
        return self.load < self.state.limit.value


def read_typical_unit(states: list[ReplicaState], default_s: float) -> float:
    """Return the median seconds per token over replicas, a default before any is known."""
    known = [state.health.unit_s for state in states if state.health.unit_s is not None]
    return statistics.median(known) if known else default_s


def split_slow(
    candidates: list[Candidate], typical_s: float
) -> tuple[list[Candidate], list[Candidate]]:
    """Split off the replicas much slower than typical; none are if most of them are."""
    slow = [c for c in candidates if c.unit_s > EJECTION_FACTOR * typical_s]
    usable = [c for c in candidates if c.unit_s <= EJECTION_FACTOR * typical_s]
    if len(usable) < MIN_USABLE_SHARE * len(candidates):
        return candidates, []
    return usable, slow
