"""Refusals of requests that no replica can begin in time, and when their callers may retry."""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

MIN_RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 2.0
NO_REPLICA_RETRY_AFTER_S = 0.5
MAX_PUSHBACK_RETRY_AFTER_S = 86400.0
"""Longest time that a caller is told while all replicas push back; their times may be infinite."""
PUSHBACK_SPREAD_S = 1.0
"""Time after the first replica's return over which callers that were refused are spread."""


class RefusalReason(Enum):
    """Why a request was refused without an attempt.

    There is no usable replica, none can begin it within its objective, none can begin it before its
    deadline, all usable replicas have named limits that are used up, all replicas want no requests
    for some time or are in a backoff, replicas end under a part of its prompt, or the entry stops.
    """

    NO_REPLICA = "no-replica"
    FULL = "full"
    DEADLINE_TOO_SHORT = "hopeless"
    LIMITED = "limited"
    PUSHED_BACK = "pushback"
    QUARANTINED = "quarantined"
    STOPPING = "stopping"


@dataclass(frozen=True)
class Refusal:
    """No replica can begin a request in time; capacity is expected after `retry_after_s`.

    `first_back` names the start of the replica that is back first, if a replica has pushed back.
    `is_swapping` is set if more replicas are expected once they have loaded newer weights.
    """

    reason: RefusalReason
    retry_after_s: float
    predicted_s: float = 0.0
    candidates: int = 0
    first_back: str = ""
    is_swapping: bool = False


class RefusalFactory:
    """Makes refusals whose times are spread, so that callers do not retry at the same time."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng

    def refuse_overload(
        self, reason: RefusalReason, overrun_s: float, predicted_s: float, candidates: int
    ) -> Refusal:
        """Refuse a request whose objective would be missed by `overrun_s`."""
        return Refusal(reason, self._spread(overrun_s), predicted_s, candidates)

    def refuse_limited(self, wait_s: float, candidates: int) -> Refusal:
        """Refuse a request that no limit lets through before `wait_s`."""
        return Refusal(RefusalReason.LIMITED, self._spread(wait_s), candidates=candidates)

    def refuse_pushed_back(self, returns_s: Mapping[str, float], is_swapping: bool) -> Refusal:
        """Refuse a request until the first of the replicas, by their times in seconds, is back."""
        first_back = min(returns_s, key=returns_s.__getitem__)
        wait_s = max(MIN_RETRY_AFTER_S, returns_s[first_back])
        # Callers that return together would make the first replica push back again.
        spread_s = self._random.uniform(0.0, PUSHBACK_SPREAD_S)
        return Refusal(
            RefusalReason.PUSHED_BACK,
            min(MAX_PUSHBACK_RETRY_AFTER_S, wait_s) + spread_s,
            candidates=len(returns_s),
            first_back=first_back,
            is_swapping=is_swapping,
        )

    def _spread(self, wait_s: float) -> float:
        bounded_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return bounded_s * self._random.uniform(1.0, 2.0)
