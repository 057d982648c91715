"""The schedule of faults and operator actions of a soak, generated from a seed."""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass

from hibiscustray.soak.early import EarlyEnd, generate_early_ends
from hibiscustray.soak.proxy import LinkState
from hibiscustray.soak.records import MAX_VERSION_AGE_S

MEAN_SERIES_INTERVAL_S = 2.0
"""Mean time between two series of faults; short enough for several faults to overlap."""
MIN_GAP_S, MAX_GAP_S = 0.2, 2.5
"""Time between the starts of two successive faults of a series."""
MIN_DURATION_S, MAX_DURATION_S = 0.3, 5.0
"""Duration of a fault."""
MAX_SERIES_LENGTH = 3
"""Largest number of faults in a series."""
MEAN_VERSION_GAP_S = 8.0
"""Mean time between two pauses of entries with a target version, each taken as the longest."""
MIN_VERSION_PAUSE_S, MAX_VERSION_PAUSE_S = 2.0, 4.0
"""Duration of such a pause."""
MIN_VERSION_DELAY_S, MAX_VERSION_DELAY_S = 0.05, 1.0
"""Time from the start of such a pause until the version is set."""
MEAN_QUIET_GAP_S = 3.0
"""Mean time between two groups of quiet replicas."""
MIN_REPLICA_QUIET_S, MAX_REPLICA_QUIET_S = 1.0, 2.0
"""Time for which a sound replica is quiet."""
MIN_HEARD_S = 0.5
"""Time between two silences of one replica."""
MAX_QUIET_SERIES_GAP_S = 1.5
"""Longest time between the starts of two successive silences of a series."""
MAX_QUIET_CONFIGURATIONS = 3
"""Largest number of configurations that are published while replicas are quiet."""
MEAN_LIMIT_GAP_S = 6.0
"""Mean time between the limits of two replicas."""
MIN_LIMIT_S, MAX_LIMIT_S = 6.0, 14.0
"""Time for which a replica names a limit, longer than entries may take to keep it."""
LIMITS_PER_S = (0.0, 0.4, 1.0, 2.0, 4.0)
MEAN_PUSHBACK_GAP_S = 4.0
"""Mean time between two groups of replicas that push back."""
MIN_PUSHBACK_S, MAX_PUSHBACK_S = 0.3, 5.0
"""Time for which a replica turns all requests away."""
READABLE_PUSHBACKS = ("0.5", "1", "2.5", "4")
PUSHBACKS = (*READABLE_PUSHBACKS, "0", "soon")
"""Values that a replica names when it turns requests away."""
MEAN_LEAVING_GAP_S = 10.0
"""Mean time between two replicas that say that they leave."""
MIN_LEAVING_S, MAX_LEAVING_S = 3.0, 6.0
"""Time from that until the replica starts again, longer than entries may still send to it."""
MEAN_EARLY_GAP_S = 3.0
"""Mean time between two groups of replicas that end responses early."""
MIN_EARLY_S, MAX_EARLY_S = 0.5, 4.0
"""Time for which a replica does so."""
MAX_EARLY_SERIES_GAP_S = 1.5
"""Longest time between the starts of two successive replicas of a group."""
MEAN_LATE_GAP_S = 6.0
"""Mean time between two target versions that are set so that replicas begin requests late."""
MAX_PAST_BOUND_S = 0.6
"""Longest time from the bound of a version until replicas begin requests in time again."""
MAX_QUEUEING_S = 4.0
"""Longest time for which the requests of a replica wait in its queue."""
MAX_HARMFUL_REQUESTS = 2
"""Largest number of harmful requests of a soak, of different kinds."""
QUIET_START_S = 1.0
"""Time without faults at the start."""
QUIET_END_S = 8.0
"""Time without faults at the end, within which everything has to recover."""


@dataclass(frozen=True)
class EntryFault:
    """An entry is stopped, killed or paused by a signal, and later started or continued.

    `entry` is the index of the entry, `kind` one of `ENTRY_FAULTS`.
    """

    at_s: float
    duration_s: float
    entry: int
    kind: str


@dataclass(frozen=True)
class LinkFault:
    """The link of one entry to the store, or of all entries to one replica, is disturbed.

    `target` is "store" or "replica", `index` is that of the entry or of the replica, and `state` is
    one of `LINK_FAULTS`.
    """

    at_s: float
    duration_s: float
    target: str
    index: int
    state: LinkState


@dataclass(frozen=True)
class StoreFault:
    """The store is slow, fails calls, drops responses or its change history, or its clock jumps.

    `kind` is one of `STORE_FAULTS`.
    """

    at_s: float
    duration_s: float
    kind: str


@dataclass(frozen=True)
class ReplicaFault:
    """A replica responds incorrectly, restarts, drains, is quiet, leaves, or begins requests late.

    `replica` is the index of the replica, `kind` one of `REPLICA_FAULTS`, "quiet", "leave", "hold"
    (quiet, and then runs also what was given up), "queue", or "backlog" (a queue of the same kind).
    """

    at_s: float
    duration_s: float
    replica: int
    kind: str


@dataclass(frozen=True)
class OperatorAction:
    """The operator changes the configuration, revokes a team key, or sets the target version.

    `action` is one of `OPERATOR_ACTIONS`.
    """

    at_s: float
    action: str


@dataclass(frozen=True)
class ReplicaLimit:
    """A replica names a limit of requests per second of all entries, until it starts again."""

    at_s: float
    duration_s: float
    replica: int
    limit_per_s: float


@dataclass(frozen=True)
class ReplicaPushback:
    """A replica turns requests away for a time and names in each answer how long it wants none."""

    at_s: float
    duration_s: float
    replica: int
    value: str


@dataclass(frozen=True)
class EarlyEnds:
    """A replica ends its responses in turn as `ends` tell, whatever else is the matter with it."""

    at_s: float
    duration_s: float
    replica: int
    ends: tuple[EarlyEnd, ...]


@dataclass(frozen=True)
class HarmfulRequest:
    """Callers send a request that ends each replica that begins it, until the end of the soak.

    `kind` is one of `HARMFUL_KINDS`. Repeats have the same path and body; `number` tells several of
    one soak apart.
    """

    at_s: float
    kind: str
    number: int


Step = (
    HarmfulRequest
    | ReplicaLimit
    | ReplicaPushback
    | EarlyEnds
    | EntryFault
    | LinkFault
    | StoreFault
    | ReplicaFault
    | OperatorAction
)
"""A step of a schedule; it starts at `at_s`, and a fault lasts for `duration_s`."""

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
OPERATOR_ACTIONS = ("configure", "revoke", "name")
HARMFUL_KINDS = ("book", "look", "draft", "part")
"""Kinds of harmful requests: those of the callers, and streams with a harmful part."""
GROUPS = ("quiet", "harm", "limit", "pushback", "early", "late")
"""Groups of steps that a run may leave out; each has a generator of its own."""


def generate_schedule(
    seed: int,
    length_s: float,
    entries: int,
    replicas: int,
    without: Collection[str] = (),
) -> tuple[Step, ...]:
    """Return the steps of a soak, sorted by their times in seconds from its start.

    `without` has the `GROUPS` that are left out, which does not change the other steps of a seed.
    """
    rng = random.Random(seed)
    steps: list[Step] = []
    at_s = QUIET_START_S
    while at_s < length_s - QUIET_END_S:
        kind = rng.choice(
            ("entry", "entry", "link", "link", "store", "replica", "replica", "operate")
        )
        step_at_s = at_s
        for _ in range(rng.randint(1, MAX_SERIES_LENGTH)):
            duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
            duration_s = min(duration_s, max(MIN_DURATION_S, length_s - QUIET_END_S - step_at_s))
            steps.append(_generate_step(rng, kind, step_at_s, duration_s, entries, replicas))
            step_at_s += rng.uniform(MIN_GAP_S, MAX_GAP_S)
            if step_at_s >= length_s - QUIET_END_S:
                break
        at_s += rng.expovariate(1 / MEAN_SERIES_INTERVAL_S)
    steps += _generate_versions_during_pauses(seed, length_s, entries)
    quiet = _generate_quiet_replicas(seed, length_s, replicas)
    if "late" not in without:
        steps += _generate_late_begins(seed, length_s, replicas, [*steps, *quiet])
    if "quiet" not in without:
        steps += quiet
    if "limit" not in without:
        steps += _generate_limits(seed, length_s, replicas)
    if "pushback" not in without:
        steps += _generate_pushbacks(seed, length_s, replicas)
    if "early" not in without:
        steps += _generate_early_ends(seed, length_s, replicas)
    if "harm" not in without:
        rng = random.Random(f"harm-{seed}")
        kinds = rng.sample(HARMFUL_KINDS, rng.randint(1, MAX_HARMFUL_REQUESTS))
        steps += [HarmfulRequest(0.0, kind, number) for number, kind in enumerate(kinds)]
    return tuple(sorted(steps, key=lambda step: step.at_s))


def _generate_versions_during_pauses(seed: int, length_s: float, entries: int) -> list[Step]:
    """Return pauses of entries, each with a target version that is set during it.

    They have a generator of their own, so that the other steps of a seed do not depend on them.
    """
    rng = random.Random(f"versions-{seed}")
    steps: list[Step] = []
    at_s = QUIET_START_S + rng.expovariate(1 / MEAN_VERSION_GAP_S)
    while at_s < length_s - QUIET_END_S - MAX_VERSION_PAUSE_S:
        duration_s = rng.uniform(MIN_VERSION_PAUSE_S, MAX_VERSION_PAUSE_S)
        delay_s = rng.uniform(MIN_VERSION_DELAY_S, MAX_VERSION_DELAY_S)
        steps.append(EntryFault(at_s, duration_s, rng.randrange(entries), "pause"))
        steps.append(OperatorAction(at_s + delay_s, "name"))
        at_s += MAX_VERSION_PAUSE_S + rng.expovariate(1 / MEAN_VERSION_GAP_S)
    return steps


def _generate_quiet_replicas(seed: int, length_s: float, replicas: int) -> list[Step]:
    """Return silences of one replica, of several at once, or in series, some with configurations.

    The silences of one replica do not join, as a sound replica goes on after `MAX_REPLICA_QUIET_S`.
    """
    rng = random.Random(f"quiet-{seed}")
    steps: list[Step] = []
    heard_at_s = [0.0] * replicas
    end_s = length_s - QUIET_END_S
    at_s = QUIET_START_S + rng.expovariate(1 / MEAN_QUIET_GAP_S)
    while at_s < end_s:
        count = rng.choice((1, rng.randint(1, replicas)))
        gap_s = rng.choice((0.0, rng.uniform(0.0, MAX_QUIET_SERIES_GAP_S)))
        for number, replica in enumerate(rng.sample(range(replicas), count)):
            duration_s = rng.uniform(MIN_REPLICA_QUIET_S, MAX_REPLICA_QUIET_S)
            begin_s = max(at_s + number * gap_s, heard_at_s[replica])
            if begin_s + duration_s < end_s:
                steps.append(ReplicaFault(begin_s, duration_s, replica, "quiet"))
                heard_at_s[replica] = begin_s + duration_s + MIN_HEARD_S
        for _ in range(rng.choice((0, rng.randint(1, MAX_QUIET_CONFIGURATIONS)))):
            configured_s = min(end_s, at_s + rng.uniform(0.0, MAX_REPLICA_QUIET_S))
            steps.append(OperatorAction(configured_s, "configure"))
        at_s += rng.expovariate(1 / MEAN_QUIET_GAP_S)
    return steps


def _generate_late_begins(
    seed: int, length_s: float, replicas: int, others: list[Step]
) -> list[Step]:
    """Return target versions, and replicas that begin requests late around the bounds of versions.

    A replica is silent and then runs all that it holds, or has a queue, or both. A disturbance of
    the store begins the time until a bound anew.
    """
    rng = random.Random(f"late-{seed}")
    end_s = length_s - QUIET_END_S
    at_s = QUIET_START_S + rng.expovariate(1 / MEAN_LATE_GAP_S)
    steps: list[Step] = []
    while at_s < end_s - MAX_VERSION_AGE_S:
        steps.append(OperatorAction(at_s, "name"))
        at_s += rng.expovariate(1 / MEAN_LATE_GAP_S)
    store = [(s.at_s, s.at_s + s.duration_s) for s in others if isinstance(s, StoreFault)]
    versions = [s.at_s for s in (*steps, *others) if getattr(s, "action", "") == "name"]
    silences = [s for s in others if getattr(s, "kind", "") == "quiet"]
    queues: list[ReplicaFault] = []
    for since_s in sorted((*versions, *(end for _, end in store))):
        bound_s = since_s + MAX_VERSION_AGE_S
        is_moved = any(begin < bound_s and end > since_s for begin, end in store)
        if is_moved or bound_s + MAX_PAST_BOUND_S > end_s:
            continue
        for kinds, longest_s, taken in (
            (("hold",), MAX_REPLICA_QUIET_S, silences),
            (("queue", "backlog"), MAX_QUEUEING_S, queues),
        ):
            for replica in rng.sample(range(replicas), rng.randint(0, replicas)):
                duration_s = rng.uniform(MIN_REPLICA_QUIET_S, longest_s)
                begin_s = bound_s + rng.uniform(0.0, MAX_PAST_BOUND_S) - duration_s
                step = ReplicaFault(begin_s, duration_s, replica, rng.choice(kinds))
                if not any(_do_join(step, other) for other in taken):
                    taken.append(step)
                    steps.append(step)
    return steps


def _do_join(step: ReplicaFault, other: ReplicaFault) -> bool:
    """Return whether the same replica has two faults with less than `MIN_HEARD_S` between them."""
    return (
        step.replica == other.replica
        and step.at_s < other.at_s + other.duration_s + MIN_HEARD_S
        and other.at_s < step.at_s + step.duration_s + MIN_HEARD_S
    )


def _generate_limits(seed: int, length_s: float, replicas: int) -> list[Step]:
    rng = random.Random(f"limit-{seed}")
    steps: list[Step] = []
    unlimited_at_s = [0.0] * replicas
    at_s = QUIET_START_S + rng.expovariate(1 / MEAN_LIMIT_GAP_S)
    while at_s < length_s - QUIET_END_S - MIN_LIMIT_S:
        replica = rng.randrange(replicas)
        duration_s = rng.uniform(MIN_LIMIT_S, min(MAX_LIMIT_S, length_s - QUIET_END_S - at_s))
        limit_per_s = rng.choice(LIMITS_PER_S)
        if at_s >= unlimited_at_s[replica]:
            steps.append(ReplicaLimit(at_s, duration_s, replica, limit_per_s))
            unlimited_at_s[replica] = at_s + duration_s
        at_s += rng.expovariate(1 / MEAN_LIMIT_GAP_S)
    return steps


def _generate_pushbacks(seed: int, length_s: float, replicas: int) -> list[Step]:
    """Return replicas that push back, one or up to all at once, and some that leave."""
    rng = random.Random(f"pushback-{seed}")
    steps: list[Step] = []
    end_s = length_s - QUIET_END_S
    accepting_at_s = [0.0] * replicas
    at_s = QUIET_START_S + rng.expovariate(1 / MEAN_PUSHBACK_GAP_S)
    while at_s < end_s - MIN_PUSHBACK_S:
        for replica in rng.sample(range(replicas), rng.choice((1, rng.randint(1, replicas)))):
            duration_s = rng.uniform(MIN_PUSHBACK_S, min(MAX_PUSHBACK_S, end_s - at_s))
            value = rng.choice(PUSHBACKS)
            if at_s >= accepting_at_s[replica]:
                steps.append(ReplicaPushback(at_s, duration_s, replica, value))
                accepting_at_s[replica] = at_s + duration_s
        at_s += rng.expovariate(1 / MEAN_PUSHBACK_GAP_S)
    at_s = QUIET_START_S + rng.expovariate(1 / MEAN_LEAVING_GAP_S)
    while at_s < end_s - MAX_LEAVING_S:
        duration_s = rng.uniform(MIN_LEAVING_S, MAX_LEAVING_S)
        steps.append(ReplicaFault(at_s, duration_s, rng.randrange(replicas), "leave"))
        at_s += rng.expovariate(1 / MEAN_LEAVING_GAP_S)
    return steps


def _generate_early_ends(seed: int, length_s: float, replicas: int) -> list[Step]:
    """Return replicas that end responses early, alone, at once or in series."""
    rng = random.Random(f"early-{seed}")
    steps: list[Step] = []
    end_s = length_s - QUIET_END_S
    sound_at_s = [0.0] * replicas
    at_s = QUIET_START_S + rng.expovariate(1 / MEAN_EARLY_GAP_S)
    while at_s < end_s:
        count = rng.choice((1, rng.randint(1, replicas)))
        gap_s = rng.choice((0.0, rng.uniform(0.0, MAX_EARLY_SERIES_GAP_S)))
        for number, replica in enumerate(rng.sample(range(replicas), count)):
            begin_s, duration_s = at_s + number * gap_s, rng.uniform(MIN_EARLY_S, MAX_EARLY_S)
            ends = generate_early_ends(rng)
            if begin_s >= sound_at_s[replica] and begin_s + duration_s < end_s:
                steps.append(EarlyEnds(begin_s, duration_s, replica, ends))
                sound_at_s[replica] = begin_s + duration_s
        at_s += rng.expovariate(1 / MEAN_EARLY_GAP_S)
    return steps


def _generate_step(
    rng: random.Random, kind: str, at_s: float, duration_s: float, entries: int, replicas: int
) -> Step:
    match kind:
        case "entry":
            return EntryFault(at_s, duration_s, rng.randrange(entries), rng.choice(ENTRY_FAULTS))
        case "link":
            target = rng.choice(("store", "replica"))
            index = rng.randrange(entries if target == "store" else replicas)
            return LinkFault(at_s, duration_s, target, index, rng.choice(LINK_FAULTS))
        case "store":
            return StoreFault(at_s, duration_s, rng.choice(STORE_FAULTS))
        case "replica":
            fault = rng.choice(REPLICA_FAULTS)
            return ReplicaFault(at_s, duration_s, rng.randrange(replicas), fault)
        case _:
            return OperatorAction(at_s, rng.choice(OPERATOR_ACTIONS))
