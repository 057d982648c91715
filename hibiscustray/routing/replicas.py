"""What an entry knows of each replica: outstanding work, reported load, limit and health."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field

from hibiscustray.peers import MemberRecord
from hibiscustray.routing.concurrency import ConcurrencyLimit
from hibiscustray.routing.health import ReplicaHealth

REPORT_TTL_S = 5.0
EJECTION_FACTOR = 3.0
MIN_USABLE_SHARE = 0.5


@dataclass
class ReplicaState:
    """The state of one replica as one entry sees it; `other_load` is the work of other entries."""

    outstanding: int = 0
    other_load: int = 0
    reported_at: float = 0.0
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    health: ReplicaHealth = field(default_factory=ReplicaHealth)

    def get_other_load(self, now: float) -> int:
        """Return the last report of other_load' work, nothing once it is old."""
        return self.other_load if now - self.reported_at < REPORT_TTL_S else 0

    def compute_load(self, now: float) -> int:
        """Return the requests that the replica should have."""
        return self.outstanding + self.get_other_load(now)


@dataclass(frozen=True)
class Candidate:
    """A replica with its state and its seconds per token as of now."""

    member: MemberRecord
    state: ReplicaState
    load: int
    time_per_token_s: float

    @property
    def has_capacity(self) -> bool:
        """Tell whether the replica is under its limit."""
        return self.load < self.state.limit.value


def compute_typical_time_per_token(states: list[ReplicaState], default_s: float) -> float:
    """Return the median seconds per token over replicas, a default before any is known."""
    known = [
        state.health.time_per_token_s
        for state in states
        if state.health.time_per_token_s is not None
    ]
    return statistics.median(known) if known else default_s


def split_outliers(
    candidates: list[Candidate], typical_s: float
) -> tuple[list[Candidate], list[Candidate]]:
    """Split off the replicas much slower than typical; none are if most of them are."""
    slow = [c for c in candidates if c.time_per_token_s > EJECTION_FACTOR * typical_s]
    usable = [c for c in candidates if c.time_per_token_s <= EJECTION_FACTOR * typical_s]
    if len(usable) < MIN_USABLE_SHARE * len(candidates):
        return candidates, []
    return usable, slow
