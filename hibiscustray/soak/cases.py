"""Seeds that failed once, kept as regression cases."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class FailedSeed:
    """A seed that broke a promise, the length of its soak in seconds, and the cause."""

    seed: int
    length_s: float
    cause: str


FAILED_SEEDS: tuple[FailedSeed, ...] = ()
