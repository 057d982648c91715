"""Seeds that failed once, kept as regression cases."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class FailedSeed:
    """A seed that broke a promise, the length of its soak in seconds, and the cause."""

    seed: int
    length_s: float
    cause: str


FAILED_SEEDS: tuple[FailedSeed, ...] = (
    FailedSeed(1, 30.0, "DRAIN: the soak listed a replica as ready again while it was leaving"),
    FailedSeed(3, 39.6, "EXIT: overlapping signals made the soak start one entry twice"),
    FailedSeed(110, 40.0, "UNASKED: the entry left over from seed 3 called a port used anew"),
)
