"""What happens to the programs of a soak, and when: drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass

from hibiscustray.soak.proxy import LinkState

SERIES_EVERY_S = 2.0
"""Mean time between two series, so that several of the faults overlap."""
LEAST_GAP_S, MOST_GAP_S = 0.2, 2.5
"""Time between the faults of one series."""
LEAST_S, MOST_S = 0.3, 5.0
"""Time that a fault lasts."""
SERIES_MOST = 3
QUIET_START_S = 1.0
QUIET_END_S = 8.0
"""Time without faults at the end, in which everything has to come back."""


@dataclass(frozen=True)
class SignalEntry:
    """An entry is stopped, killed or paused by a signal, and started or continued later."""

    at_s: float
    for_s: float
    entry: int
    how: str


@dataclass(frozen=True)
class DisturbLink:
    """A link is disturbed: of an entry to the store, or of all entries to a replica."""

    at_s: float
    for_s: float
    place: str
    index: int
    state: LinkState


@dataclass(frozen=True)
class DisturbStore:
    """The store is slow, refuses calls, loses answers, forgets its history, or its clock jumps."""

    at_s: float
    for_s: float
    how: str


@dataclass(frozen=True)
class DisturbReplica:
    """A replica misbehaves, restarts, or leaves."""

    at_s: float
    for_s: float
    replica: int
    how: str


@dataclass(frozen=True)
class Operate:
    """The operator changes the configuration, takes a key away, or names a version."""

    at_s: float
    what: str


Step = SignalEntry | DisturbLink | DisturbStore | DisturbReplica | Operate

ENTRY_FAULTS = ("stop", "kill", "pause")
LINK_FAULTS = (
    LinkState.DELAY,
    LinkState.CUT_UP,
    LinkState.CUT_DOWN,
    LinkState.RESET,
    LinkState.SILENCE,
)
STORE_FAULTS = ("slow", "refuse", "lose", "forget", "clock")
REPLICA_FAULTS = (
    "silent",
    "cut",
    "garbage",
    "extra",
    "crossed",
    "full",
    "unsealed",
    "drain",
    "restart",
)
OPERATIONS = ("configure", "revoke", "name")


def draw_schedule(seed: int, length_s: float, entries: int, replicas: int) -> tuple[Step, ...]:
    """Return the steps of a soak in the order of their times, in seconds from its start."""
    draw = random.Random(seed)
    steps: list[Step] = []
    at_s = QUIET_START_S
    while at_s < length_s - QUIET_END_S:
        kind = draw.choice(
            ("entry", "entry", "link", "link", "store", "replica", "replica", "operate")
        )
        moment_s = at_s
        for _ in range(draw.randint(1, SERIES_MOST)):
            for_s = draw.uniform(LEAST_S, MOST_S)
            for_s = min(for_s, max(LEAST_S, length_s - QUIET_END_S - moment_s))
            steps.append(_draw_step(draw, kind, moment_s, for_s, entries, replicas))
            moment_s += draw.uniform(LEAST_GAP_S, MOST_GAP_S)
            if moment_s >= length_s - QUIET_END_S:
                break
        at_s += draw.expovariate(1 / SERIES_EVERY_S)
    return tuple(sorted(steps, key=lambda step: step.at_s))


def _draw_step(
    draw: random.Random, kind: str, at_s: float, for_s: float, entries: int, replicas: int
) -> Step:
    match kind:
        case "entry":
            return SignalEntry(at_s, for_s, draw.randrange(entries), draw.choice(ENTRY_FAULTS))
        case "link":
            place = draw.choice(("store", "replica"))
            index = draw.randrange(entries if place == "store" else replicas)
            return DisturbLink(at_s, for_s, place, index, draw.choice(LINK_FAULTS))
        case "store":
            return DisturbStore(at_s, for_s, draw.choice(STORE_FAULTS))
        case "replica":
            how = draw.choice(REPLICA_FAULTS)
            return DisturbReplica(at_s, for_s, draw.randrange(replicas), how)
        case _:
            return Operate(at_s, draw.choice(OPERATIONS))
