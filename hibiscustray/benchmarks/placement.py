"""Loads that placing and refusing answer, played over simulated engines against plain policies."""

from __future__ import annotations

import heapq
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from hibiscustray.benchmarks.engines import PROFILE, SimulatedEngine, Work
from hibiscustray.catalog import ServiceEntry
from hibiscustray.placement import Demand, LoadReport, Placement, Placer, Refusal, WeightsConstraint
from hibiscustray.replicas import (
    LayerSpan,
    ReplicaDirectory,
    ReplicaRecord,
    ReplicaState,
    ServedModel,
)

OBJECTIVE_S = 0.5
TYPICAL_PROMPT, MOST_PROMPT = 6.5, 3880.0
TYPICAL_OUTPUT, MOST_OUTPUT = 4.3, 260.0
"""Logarithm of the median, and the most, of a request's tokens: near the users' sheets."""
LARGE_SHARE = 0.2
"""Part of the requests, those with the longest prompts, whose share is told apart."""
SLOW_FACTOR = 4
EAGER_TRIES = 3
"""Times that an impatient caller comes back at once after a refusal."""
EAGER_AFTER_S = 0.02
LAST_S = 30.0
"""Time after the last arrival in which all engines finish."""
SERVICE = ServiceEntry("guide", engine=PROFILE)
MODEL = "m"


@dataclass(frozen=True)
class Load:
    """Arrivals a second over time, and what happens to the replicas, with times in seconds.

    `peak` multiplies the rate from a third to two thirds of the time; `joins` replicas come at a
    third of it; `away_s` is how long each replica in turn gets nothing new, 0 for never;
    `eager` is the share of callers that come back at once after a refusal, the others come back
    once, when told to.
    """

    name: str
    rate: float
    replicas: int
    entries: int = 1
    peak: float = 1.0
    slow_replicas: int = 0
    joins: int = 0
    away_s: float = 0.0
    eager: float = 0.0
    returns: bool = False

    def find_rate(self, at: float, seconds: float) -> float:
        """Return the arrivals a second at a time."""
        is_peak = seconds / 3 <= at < 2 * seconds / 3
        return self.rate * (self.peak if is_peak else 1.0)


LOADS = (
    Load("burst", 35.0, 5, peak=2.5),
    Load("many-entries", 240.0, 20, entries=12),
    Load("repeaters", 75.0, 5, eager=0.3, returns=True),
    Load("slow-replica", 25.0, 5, slow_replicas=1),
    Load("scale-out", 50.0, 3, joins=3),
    Load("release", 30.0, 5, away_s=1.0),
)


@dataclass(frozen=True)
class CallerShares:
    """Shares of the callers, each counted once however often it came."""

    callers: int
    in_time: float
    late: float
    refused: float
    large_in_time: float


class Clock(Protocol):
    """The time that the policies see."""

    def now(self) -> float:
        """Return the time in seconds."""
        ...

    def wait_until(self, at: float) -> None:
        """Return at a time."""
        ...


class MonotonicClock:
    """The machine's steady clock."""

    def now(self) -> float:
        """Return the time in seconds."""
        return time.monotonic()

    def wait_until(self, at: float) -> None:
        """Sleep until a time."""
        time.sleep(max(0.0, at - time.monotonic()))


@dataclass
class Site:
    """The engines by replica id, those that take new requests, and the load's seed."""

    engines: dict[str, SimulatedEngine]
    ready: list[str]
    random: random.Random


class Policy(Protocol):
    """Chooses a replica for a request, or the time after which it may come back."""

    def choose(self, site: Site, demand: Demand, number: int) -> str | float:
        """Return a replica's id, or seconds."""
        ...

    def note_sent(self, work: Work) -> None:
        """Take in the work of the request just placed."""
        ...

    def note_ready(self, ready: list[str]) -> None:
        """Take in which replicas take new requests."""
        ...


class PlainPolicy:
    """A policy that never refuses and knows each engine's count."""

    def __init__(self, pick: Callable[[Site, int], str]) -> None:
        self._pick = pick

    def choose(self, site: Site, demand: Demand, number: int) -> str | float:
        """Return a replica's id."""
        return self._pick(site, number)

    def note_sent(self, work: Work) -> None:
        """Forget it."""

    def note_ready(self, ready: list[str]) -> None:
        """Forget it."""


class EntryPolicy:
    """The placers of some entries; a replica tells its load with the head of each answer."""

    def __init__(self, entries: int) -> None:
        self._directories = [ReplicaDirectory() for _ in range(entries)]
        self._placers = [
            Placer(directory, "z", {"z": "r"}, seed=str(number))
            for number, directory in enumerate(self._directories)
        ]
        self._open: list[list[tuple[Placement, Work]]] = [[] for _ in range(entries)]
        self._last: tuple[int, Placement] | None = None

    def choose(self, site: Site, demand: Demand, number: int) -> str | float:
        """Return a replica's id, or the time to come back in."""
        entry = site.random.randrange(len(self._placers))
        self._learn(site, entry)
        choice = self._placers[entry].place(SERVICE, demand, WeightsConstraint(MODEL))
        if isinstance(choice, Refusal):
            return choice.retry_after_s
        self._last = (entry, choice)
        return choice.replica.id

    def note_sent(self, work: Work) -> None:
        """Watch the work of the request just placed."""
        assert self._last is not None
        entry, placed = self._last
        self._open[entry].append((placed, work))

    def note_ready(self, ready: list[str]) -> None:
        """List the replicas for all entries."""
        for directory in self._directories:
            directory.replace(_make_record(replica) for replica in ready)

    def _learn(self, site: Site, entry: int) -> None:
        placer = self._placers[entry]
        for placed, work in list(self._open[entry]):
            engine = site.engines[placed.replica.id]
            if work.first_at is not None and placed.in_flight.response_started_at is None:
                running = min(PROFILE.slots, engine.count)
                reading = LoadReport(running, engine.count - running, PROFILE.slots)
                placer.record_load(placed.replica, reading)
                placer.record_response_start(placed)
            if work.ended_at is not None:
                placer.finish(placed, SERVICE)
                self._open[entry].remove((placed, work))


POLICIES: dict[str, Callable[[Load], Policy]] = {
    "hibiscustray": lambda load: EntryPolicy(load.entries),
    "least-requests": lambda load: PlainPolicy(
        lambda site, number: min(site.ready, key=lambda name: site.engines[name].count)
    ),
    "random": lambda load: PlainPolicy(lambda site, number: site.random.choice(site.ready)),
    "round-robin": lambda load: PlainPolicy(
        lambda site, number: site.ready[number % len(site.ready)]
    ),
}


@dataclass(order=True)
class _Arrival:
    at: float
    number: int
    prompt: float = field(compare=False)
    output: float = field(compare=False)
    first_at: float = field(compare=False)
    tries: int = field(compare=False, default=0)


def run_load(
    load: Load, policy: Policy, seconds: float, clock: Clock, seed: int = 7
) -> CallerShares:
    """Play a load for some seconds and return what its callers got."""
    site = Site({}, [], random.Random(seed))
    arrivals = _draw_arrivals(load, seconds, random.Random(seed))
    callers = {arrival.number: arrival.prompt for arrival in arrivals}
    began: dict[int, tuple[float, Work]] = {}
    start = clock.now()
    _change_replicas(load, site, policy, 0.0, seconds)
    while arrivals:
        arrival = heapq.heappop(arrivals)
        clock.wait_until(start + arrival.at)
        _change_replicas(load, site, policy, arrival.at, seconds)
        for engine in site.engines.values():
            engine.advance(arrival.at)
        demand = Demand(
            arrival.prompt, arrival.output, OBJECTIVE_S, age_s=arrival.at - arrival.first_at
        )
        choice = policy.choose(site, demand, arrival.number)
        if isinstance(choice, str):
            engine = site.engines[choice]
            at = max(arrival.at, engine.clock)
            work = engine.submit(at, arrival.prompt, arrival.output)
            began[arrival.number] = (arrival.first_at, work)
            policy.note_sent(work)
        elif (again := _come_back(load, arrival, choice)) is not None:
            heapq.heappush(arrivals, again)
    for engine in site.engines.values():
        engine.advance(seconds + LAST_S)
    return _summarize(callers, began)


def _draw_arrivals(load: Load, seconds: float, draw: random.Random) -> list[_Arrival]:
    arrivals, at = [], 0.0
    while (at := at + draw.expovariate(load.find_rate(at, seconds))) < seconds:
        prompt = min(MOST_PROMPT, draw.lognormvariate(TYPICAL_PROMPT, 0.8))
        output = min(MOST_OUTPUT, draw.lognormvariate(TYPICAL_OUTPUT, 0.7))
        arrivals.append(_Arrival(at, len(arrivals), prompt, output, first_at=at))
    return arrivals


def _come_back(load: Load, arrival: _Arrival, retry_after_s: float) -> _Arrival | None:
    is_eager = arrival.number % 100 < 100 * load.eager
    if is_eager and arrival.tries < EAGER_TRIES:
        return replace(arrival, at=arrival.at + EAGER_AFTER_S, tries=arrival.tries + 1)
    if load.returns and not arrival.tries:
        return replace(arrival, at=arrival.at + retry_after_s, tries=1)
    return None


def _change_replicas(load: Load, site: Site, policy: Policy, at: float, seconds: float) -> None:
    """Bring the replicas, and those that take new requests, up to a time."""
    count = load.replicas + (load.joins if at >= seconds / 3 else 0)
    for number in range(len(site.engines), count):
        profile = PROFILE
        if number < load.slow_replicas:
            profile = replace(
                PROFILE,
                step_s=PROFILE.step_s * SLOW_FACTOR,
                prompt_tokens_per_s=PROFILE.prompt_tokens_per_s / SLOW_FACTOR,
            )
        site.engines[f"i-{number}"] = SimulatedEngine(profile, clock=at)
    away = int(at / load.away_s) % count if load.away_s else -1
    ready = [f"i-{number}" for number in range(count) if number != away]
    if ready != site.ready:
        site.ready = ready
        policy.note_ready(ready)


def _summarize(callers: dict[int, float], began: dict[int, tuple[float, Work]]) -> CallerShares:
    large = sorted(callers.values())[int(len(callers) * (1 - LARGE_SHARE))]
    waits = {
        number: work.first_at - first_at
        for number, (first_at, work) in began.items()
        if work.first_at is not None
    }
    in_time = {number for number, wait_s in waits.items() if wait_s <= OBJECTIVE_S}
    large_callers = {number for number, prompt in callers.items() if prompt >= large}
    total = len(callers)
    return CallerShares(
        total,
        round(len(in_time) / total, 3),
        round((len(waits) - len(in_time)) / total, 3),
        round((total - len(waits)) / total, 3),
        round(len(in_time & large_callers) / len(large_callers), 3),
    )


def _make_record(replica: str) -> ReplicaRecord:
    return ReplicaRecord(
        replica,
        SERVICE.name,
        f"10.0.0.{replica.removeprefix('i-')}:80",
        "z",
        PROFILE.slots,
        ReplicaState.READY,
        models=(ServedModel(MODEL, 1),),
        layers=LayerSpan(0, PROFILE.layers, 1),
    )
