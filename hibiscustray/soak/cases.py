"""Seeds of soaks that failed, kept as regression cases."""

from __future__ import annotations

from dataclasses import dataclass

from hibiscustray.soak.schedule import GROUPS


@dataclass(frozen=True)
class FailedSeed:
    """A seed whose soak violated a guarantee, the length of that soak, and the cause.

    `without` has the groups of steps that the soak did not have.
    """

    seed: int
    length_s: float
    cause: str
    without: frozenset[str] = frozenset()


_NO_GROUPS = frozenset(GROUPS)

FAILED_SEEDS: tuple[FailedSeed, ...] = (
    FailedSeed(1, 30.0, "DRAIN: the soak listed a draining replica as ready again", _NO_GROUPS),
    FailedSeed(
        3,
        39.6,
        "EXIT: overlapping signals made the soak start two processes of one entry",
        _NO_GROUPS,
    ),
    FailedSeed(
        110,
        40.0,
        "UNASKED: an entry process left over from seed 3 called a reused port",
        _NO_GROUPS,
    ),
    FailedSeed(
        182252047, 40.0, "ENDED: not known; a response that was logged came 4.9 s later", _NO_GROUPS
    ),
)
