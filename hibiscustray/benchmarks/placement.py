"""Loads on simulated engines that compare the entries' placement with baseline policies."""

from __future__ import annotations

import heapq
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Protocol

from hibiscustray.benchmarks.engines import PROFILE, SimulatedEngine, SimulatedRequest
from hibiscustray.catalog import ServiceEntry
from hibiscustray.placement import Demand, LoadReport, Placement, Placer, Refusal, WeightsConstraint
from hibiscustray.replicas import (
    LayerSpan,
    ReplicaDirectory,
    ReplicaNotice,
    ReplicaNotices,
    ReplicaRecord,
    ReplicaState,
    ServedModel,
)
from hibiscustray.telemetry import Metrics

OBJECTIVE_S = 0.5
LOG_MEDIAN_PROMPT_TOKENS, MAX_PROMPT_TOKENS = 6.5, 3880.0
LOG_MEDIAN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS = 4.3, 260.0
"""Natural logarithm of the median, and the maximum, of a request's tokens.

The values are close to those in the users' data sheets.
"""
LARGE_SHARE = 0.2
"""Share of the requests, those with the longest prompts, that `large_in_time` reports on."""
SLOWDOWN_FACTOR = 4
MAX_EAGER_RETRIES = 3
"""Retries of an eager caller, which ignores the retry time of a refusal."""
EAGER_RETRY_DELAY_S = 0.02
REJECTION_DELAY_S = 0.004
"""Time that a rejection by a replica takes, after which an entry tries another one."""
MAX_TRIES = 3
"""Replicas that an entry tries before it refuses a request that they rejected."""
REJECTED_RETRY_AFTER_S = 0.5
FINISH_TIME_S = 30.0
"""Time after the end of the arrivals in which all engines finish their requests."""
SERVICE = ServiceEntry("guide", engine=PROFILE)
MODEL = "m"


@dataclass(frozen=True)
class Load:
    """Arrivals per second over time, and changes of the replicas; times are in seconds.

    `peak_factor` multiplies the rate from one third to two thirds of the run, and the replicas of
    `added_replicas` are added after one third. Each replica in turn gets no new requests for
    `drain_s`, 0 for never. From one third of the run on, the first `pushback_replicas` reject all
    requests; the first of them is back after `pushback_s` / `pushback_replicas`, the last one after
    `pushback_s`, and each rejection names the time left. `eager_share` is the share of callers that
    retry immediately after a refusal; with `retries_once`, all others retry once after the time
    that the refusal states.
    """

    name: str
    rate: float
    replicas: int
    entries: int = 1
    peak_factor: float = 1.0
    slow_replicas: int = 0
    added_replicas: int = 0
    drain_s: float = 0.0
    pushback_replicas: int = 0
    pushback_s: float = 0.0
    eager_share: float = 0.0
    retries_once: bool = False

    def compute_rate(self, at: float, seconds: float) -> float:
        """Return the arrivals per second at a time of the run."""
        is_peak = seconds / 3 <= at < 2 * seconds / 3
        return self.rate * (self.peak_factor if is_peak else 1.0)

    def find_pushback(self, replica: str, at: float, seconds: float) -> float:
        """Return the seconds for which a replica rejects all requests at a time of the run."""
        number = int(replica.removeprefix("i-"))
        if number >= self.pushback_replicas or at < seconds / 3:
            return 0.0
        return max(0.0, seconds / 3 + self.pushback_s * (number + 1) / self.pushback_replicas - at)


LOADS = (
    Load("burst", 35.0, 5, peak_factor=2.5),
    Load("many-entries", 240.0, 20, entries=12),
    Load("repeaters", 75.0, 5, eager_share=0.3, retries_once=True),
    Load("slow-replica", 25.0, 5, slow_replicas=1),
    Load("scale-out", 50.0, 3, added_replicas=3),
    Load("release", 30.0, 5, drain_s=1.0),
    Load("pushback", 30.0, 6, pushback_replicas=2, pushback_s=3.0, retries_once=True),
    Load("pushback-of-all", 30.0, 6, pushback_replicas=6, pushback_s=3.0, retries_once=True),
)


@dataclass(frozen=True)
class CallerShares:
    """Shares of the callers by outcome; a caller counts once regardless of its retries.

    `rejections` is the number of requests that replicas rejected.
    """

    callers: int
    in_time: float
    late: float
    refused: float
    large_in_time: float
    rejections: int = 0


class Clock(Protocol):
    """The clock on which a load runs."""

    def now(self) -> float:
        """Return the current time in seconds."""
        ...

    def wait_until(self, at: float) -> None:
        """Return when the clock has reached a time."""
        ...


class MonotonicClock:
    """The machine's monotonic clock."""

    def now(self) -> float:
        """Return the current time in seconds."""
        return time.monotonic()

    def wait_until(self, at: float) -> None:
        """Sleep until a time."""
        time.sleep(max(0.0, at - time.monotonic()))


@dataclass
class SimulatedSite:
    """The engines by replica id, the replicas that accept new requests, and a seeded generator."""

    engines: dict[str, SimulatedEngine]
    ready: list[str]
    rng: random.Random


class Policy(Protocol):
    """Chooses a replica for a request, or refuses it with the time after which to retry."""

    def choose(self, site: SimulatedSite, demand: Demand, number: int) -> str | float:
        """Return a replica's id, or the seconds after which the caller may retry.

        `number` is the position of the request's caller in the order of arrival.
        """
        ...

    def record_sent(self, request: SimulatedRequest) -> None:
        """Record the request that was sent after the last choice."""
        ...

    def record_rejection(self, replica: str, pushback_s: float) -> None:
        """Record that a replica rejected the request of the last choice and named a time."""
        ...

    def set_ready_replicas(self, ready: list[str]) -> None:
        """Set the replicas that accept new requests."""
        ...


class BaselinePolicy:
    """A policy that never refuses and sees each engine's current request count without delay."""

    def __init__(self, pick: Callable[[SimulatedSite, int], str]) -> None:
        self._pick = pick

    def choose(self, site: SimulatedSite, demand: Demand, number: int) -> str | float:
        """Return the id of the replica that the function picks."""
        return self._pick(site, number)

    def record_sent(self, request: SimulatedRequest) -> None:
        """Do nothing; the policy keeps no state."""

    def record_rejection(self, replica: str, pushback_s: float) -> None:
        """Do nothing; the policy keeps no state."""

    def set_ready_replicas(self, ready: list[str]) -> None:
        """Do nothing; the policy reads the site."""


class EntryPolicy:
    """The placers of several entries, which learn a replica's load when a response starts.

    Without `reads_pushbacks`, a rejection counts as one that names no time.
    """

    def __init__(self, entries: int, reads_pushbacks: bool = True) -> None:
        self._reads_pushbacks = reads_pushbacks
        self._directories = [ReplicaDirectory() for _ in range(entries)]
        self._notices = [
            ReplicaNotices(Metrics(f"entry-{number}"), lambda: time.monotonic())
            for number in range(entries)
        ]
        self._placers = [
            Placer(directory, notices, "z", {"z": "r"}, seed=str(number))
            for number, (directory, notices) in enumerate(
                zip(self._directories, self._notices, strict=True)
            )
        ]
        self._in_flight: list[list[tuple[Placement, SimulatedRequest]]] = [
            [] for _ in range(entries)
        ]
        self._last_placement: tuple[int, Placement] | None = None
        self._ready: list[str] = []
        self._starts: Counter[str] = Counter()

    def choose(self, site: SimulatedSite, demand: Demand, number: int) -> str | float:
        """Return the id from a random entry's placer, or the retry time of its refusal."""
        entry = site.rng.randrange(len(self._placers))
        self._record_progress(site, entry)
        choice = self._placers[entry].place(SERVICE, demand, WeightsConstraint(MODEL))
        if isinstance(choice, Refusal):
            return choice.retry_after_s
        self._last_placement = (entry, choice)
        return choice.replica.id

    def record_sent(self, request: SimulatedRequest) -> None:
        """Record the request as in flight at the entry that placed it."""
        assert self._last_placement is not None
        entry, placement = self._last_placement
        self._in_flight[entry].append((placement, request))

    def record_rejection(self, replica: str, pushback_s: float) -> None:
        """Record the pushback at the entry that placed the request."""
        assert self._last_placement is not None
        entry, placement = self._last_placement
        if self._reads_pushbacks:
            notice = ReplicaNotice(pushback_s=pushback_s)
            self._notices[entry].record(placement.replica.boot, notice, time.monotonic())
        self._placers[entry].record_rejection(placement)

    def set_ready_replicas(self, ready: list[str]) -> None:
        """Replace the replica list of every entry; a replica that was not in it starts anew."""
        self._starts.update(replica for replica in ready if replica not in self._ready)
        self._ready = list(ready)
        for directory in self._directories:
            directory.replace(_make_record(replica, self._starts[replica]) for replica in ready)

    def _record_progress(self, site: SimulatedSite, entry: int) -> None:
        placer = self._placers[entry]
        for placement, request in list(self._in_flight[entry]):
            engine = site.engines[placement.replica.id]
            if (
                request.first_event_at is not None
                and placement.in_flight.response_started_at is None
            ):
                running = min(PROFILE.slots, engine.request_count)
                report = LoadReport(running, engine.request_count - running, PROFILE.slots)
                placer.record_load(placement.replica, report)
                placer.record_response_start(placement)
            if request.ended_at is not None:
                placer.record_success(placement, SERVICE)
                self._in_flight[entry].remove((placement, request))


POLICIES: dict[str, Callable[[Load], Policy]] = {
    "hibiscustray": lambda load: EntryPolicy(load.entries),
    "least-requests": lambda load: BaselinePolicy(
        lambda site, number: min(site.ready, key=lambda name: site.engines[name].request_count)
    ),
    "random": lambda load: BaselinePolicy(lambda site, number: site.rng.choice(site.ready)),
    "round-robin": lambda load: BaselinePolicy(
        lambda site, number: site.ready[number % len(site.ready)]
    ),
}


@dataclass(order=True)
class _Arrival:
    at: float
    number: int
    prompt: float = field(compare=False)
    output: float = field(compare=False)
    first_sent_at: float = field(compare=False)
    retries: int = field(compare=False, default=0)
    tries: int = field(compare=False, default=1)


def run_load(
    load: Load, policy: Policy, seconds: float, clock: Clock, seed: int = 7
) -> CallerShares:
    """Run a load under a policy for the given seconds and return the outcomes of its callers."""
    site = SimulatedSite({}, [], random.Random(seed))
    arrivals = _plan_arrivals(load, seconds, random.Random(seed))
    prompts = {arrival.number: arrival.prompt for arrival in arrivals}
    started_requests: dict[int, tuple[float, SimulatedRequest]] = {}
    rejections = 0
    start = clock.now()
    _update_replicas(load, site, policy, 0.0, seconds)
    while arrivals:
        arrival = heapq.heappop(arrivals)
        clock.wait_until(start + arrival.at)
        _update_replicas(load, site, policy, arrival.at, seconds)
        for engine in site.engines.values():
            engine.advance(arrival.at)
        demand = Demand(
            arrival.prompt, arrival.output, OBJECTIVE_S, age_s=arrival.at - arrival.first_sent_at
        )
        choice = policy.choose(site, demand, arrival.number)
        if isinstance(choice, str) and (left_s := load.find_pushback(choice, arrival.at, seconds)):
            rejections += 1
            policy.record_rejection(choice, left_s)
            if arrival.tries < MAX_TRIES:
                at, tries = arrival.at + REJECTION_DELAY_S, arrival.tries + 1
                heapq.heappush(arrivals, replace(arrival, at=at, tries=tries))
                continue
            choice = REJECTED_RETRY_AFTER_S
        if isinstance(choice, str):
            engine = site.engines[choice]
            at = max(arrival.at, engine.clock)
            request = engine.submit(at, arrival.prompt, arrival.output)
            started_requests[arrival.number] = (arrival.first_sent_at, request)
            policy.record_sent(request)
        elif (retry := _plan_retry(load, arrival, choice)) is not None:
            heapq.heappush(arrivals, retry)
    for engine in site.engines.values():
        engine.advance(seconds + FINISH_TIME_S)
    return replace(_summarize(prompts, started_requests), rejections=rejections)


def _plan_arrivals(load: Load, seconds: float, rng: random.Random) -> list[_Arrival]:
    arrivals, at = [], 0.0
    while (at := at + rng.expovariate(load.compute_rate(at, seconds))) < seconds:
        prompt = min(MAX_PROMPT_TOKENS, rng.lognormvariate(LOG_MEDIAN_PROMPT_TOKENS, 0.8))
        output = min(MAX_OUTPUT_TOKENS, rng.lognormvariate(LOG_MEDIAN_OUTPUT_TOKENS, 0.7))
        arrivals.append(_Arrival(at, len(arrivals), prompt, output, first_sent_at=at))
    return arrivals


def _plan_retry(load: Load, arrival: _Arrival, retry_after_s: float) -> _Arrival | None:
    is_eager = arrival.number % 100 < 100 * load.eager_share
    if is_eager and arrival.retries < MAX_EAGER_RETRIES:
        return replace(arrival, at=arrival.at + EAGER_RETRY_DELAY_S, retries=arrival.retries + 1)
    if load.retries_once and not arrival.retries:
        return replace(arrival, at=arrival.at + retry_after_s, retries=1, tries=1)
    return None


def _update_replicas(
    load: Load, site: SimulatedSite, policy: Policy, at: float, seconds: float
) -> None:
    """Add the replicas due by a time of the run and update which ones accept new requests."""
    count = load.replicas + (load.added_replicas if at >= seconds / 3 else 0)
    for number in range(len(site.engines), count):
        profile = PROFILE
        if number < load.slow_replicas:
            profile = replace(
                PROFILE,
                step_s=PROFILE.step_s * SLOWDOWN_FACTOR,
                prompt_tokens_per_s=PROFILE.prompt_tokens_per_s / SLOWDOWN_FACTOR,
            )
        site.engines[f"i-{number}"] = SimulatedEngine(profile, clock=at)
    draining = int(at / load.drain_s) % count if load.drain_s else -1
    ready = [f"i-{number}" for number in range(count) if number != draining]
    if ready != site.ready:
        site.ready = ready
        policy.set_ready_replicas(ready)


def _summarize(
    prompts: dict[int, float], started_requests: dict[int, tuple[float, SimulatedRequest]]
) -> CallerShares:
    min_large_prompt = sorted(prompts.values())[int(len(prompts) * (1 - LARGE_SHARE))]
    waits = {
        number: request.first_event_at - first_sent_at
        for number, (first_sent_at, request) in started_requests.items()
        if request.first_event_at is not None
    }
    in_time = {number for number, wait_s in waits.items() if wait_s <= OBJECTIVE_S}
    large_callers = {number for number, prompt in prompts.items() if prompt >= min_large_prompt}
    total = len(prompts)
    return CallerShares(
        total,
        round(len(in_time) / total, 3),
        round((len(waits) - len(in_time)) / total, 3),
        round((total - len(waits)) / total, 3),
        round(len(in_time & large_callers) / len(large_callers), 3),
    )


def _make_record(replica: str, start: int) -> ReplicaRecord:
    return ReplicaRecord(
        replica,
        SERVICE.name,
        f"10.0.0.{replica.removeprefix('i-')}:80",
        "z",
        PROFILE.slots,
        ReplicaState.READY,
        models=(ServedModel(MODEL, 1),),
        layers=LayerSpan(0, PROFILE.layers, 1),
        born_ms=start,
    )
