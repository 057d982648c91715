"""The state of each replica at an entry: outstanding requests, load, limit and health."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field

from hibiscustray.peers import MemberRecord
from hibiscustray.routing.concurrency import ConcurrencyLimit
from hibiscustray.routing.health import ReplicaHealth

REPORT_TTL_S = 5.0
"""Age from which a load report is ignored."""

EJECTION_FACTOR = 3.0
"""Multiple of the typical time per token above which a replica is an outlier."""

MIN_USABLE_SHARE = 0.5
"""Share of replicas that must remain; if fewer would, none is ejected."""


@dataclass
class ReplicaState:
    """The state of one replica at one entry; `other_load` counts requests of other entries."""

    outstanding: int = 0
    other_load: int = 0
    reported_at: float = 0.0
    limit: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    health: ReplicaHealth = field(default_factory=ReplicaHealth)

    def get_other_load(self, now: float) -> int:
        """Return the last reported requests of other entries, 0 once the report is too old."""
        return self.other_load if now - self.reported_at < REPORT_TTL_S else 0

    def compute_load(self, now: float) -> int:
        """Return the estimated number of requests at the replica."""
        return self.outstanding + self.get_other_load(now)


@dataclass(frozen=True)
class Candidate:
    """A replica with its state, and its load and time per token at the time of choosing."""

    member: MemberRecord
    state: ReplicaState
    load: int
    time_per_token_s: float

    @property
    def has_capacity(self) -> bool:
        """Return whether the replica's load is below its limit."""
        return self.load < self.state.limit.value


def compute_typical_time_per_token(states: list[ReplicaState], default_s: float) -> float:
    """Return the median time per token of replicas, or a default if none is known."""
    known = [
        state.health.time_per_token_s
        for state in states
        if state.health.time_per_token_s is not None
    ]
    return statistics.median(known) if known else default_s


def split_outliers(
    candidates: list[Candidate], typical_time_per_token_s: float
) -> tuple[list[Candidate], list[Candidate]]:
    """Return the usable replicas and the outliers that are much slower than typical.

    If more than half of the replicas would be outliers, none is.
    """
    slow = [
        c for c in candidates if c.time_per_token_s > EJECTION_FACTOR * typical_time_per_token_s
    ]
    usable = [
        c for c in candidates if c.time_per_token_s <= EJECTION_FACTOR * typical_time_per_token_s
    ]
    if len(usable) < MIN_USABLE_SHARE * len(candidates):
        return candidates, []
    return usable, slow
