"""The choice of a replica for a request, or the refusal of one that cannot be served in time.

The load that this answers: more requests than the engines can begin within their objective, from
several entries that do not talk to each other. A request that would begin too late is refused at
once, so that those that are let in stay in time and the caller learns when to come back. Returned
requests that have missed their objective use only room that the others leave.
"""

from __future__ import annotations

import logging
import random
import threading
import time
from collections.abc import Collection
from dataclasses import dataclass, replace
from enum import Enum

from hibiscustray.catalog import EngineProfile, ServiceEntry
from hibiscustray.placement.load import NO_OTHERS, OUTDATED_S, OthersLoad, ReplicaLoad
from hibiscustray.placement.prediction import predict_latency
from hibiscustray.placement.workload import Demand, InFlightRequest, LoadReport
from hibiscustray.replicas import ReplicaDirectory, ReplicaRecord

log = logging.getLogger(__name__)

ALWAYS_SHARE = 0.5
"""Share of the slots below which every request is let in."""
LATE_SHARE = 0.75
"""Share of the slots that requests past their objective may fill."""
OBJECTIVE_MARGIN = 0.3
"""Part of an objective kept for connection, transfer and the error of the prediction, whose p95 is
some 0.2 s for objectives of 0.4 s to 0.5 s: the played loads of `bench placement`."""
OWN_READ_FACTOR = 1.5
"""A long prompt is let in by its queueing time; its own reading counts up to this many times a
typical prompt, so that large requests are not shut out."""
JITTER = 0.04
"""Spread of predictions, so that entries with equal knowledge do not choose alike."""
OTHER_ZONE_S = 0.002
OTHER_REGION_S = 0.004
"""Cost in time of leaving the availability zone or the region, about two network round trips."""
FILL_COST_S = 0.1
"""Time by which a full replica counts as worse than an empty one, so that slots fill evenly."""
FAILURE_COST_S = 1.0
"""Time that a failed attempt costs a caller; weighs a replica's share of failures."""
REST_LEAD_S = 2.2
"""Time before the bound of new weights from which the first wave of replicas gets no requests: the
ones that run there take up to two seconds to end, and a load begins when they have."""
USUAL_LEAST_TRUST = 1.5
"""Sum of the trust in readings from which their mean counts as usual: more than one replica."""
DEFAULT_SLOTS = 8
PLAIN_WORK_S = 0.05
"""Time of a plain call until the first is measured."""
PLAIN_SMOOTHING = 0.05
RETRY_LEAST_S = 0.2
RETRY_MOST_S = 2.0
NO_REPLICA_RETRY_S = 0.5


class RefusalReason(Enum):
    """Why a request was refused without an attempt."""

    NO_REPLICA = "no-replica"
    FULL = "full"
    HOPELESS = "hopeless"


@dataclass(frozen=True)
class WeightsConstraint:
    """Which weights a request may run on.

    Replicas that hold less than `required` are not chosen. Those that hold less than `newest` may
    be for `time_left_s` more seconds.
    """

    model: str = ""
    required: int = 0
    newest: int = 0
    time_left_s: float = float("inf")


ANY_WEIGHTS = WeightsConstraint()


@dataclass(frozen=True)
class Refusal:
    """No replica can begin a request in time; room is expected after `retry_after_s`."""

    reason: RefusalReason
    retry_after_s: float
    predicted_s: float = 0.0
    candidates: int = 0


@dataclass(frozen=True)
class Placement:
    """The replica chosen for a request, with what decided it.

    `version` is the one of its weights for the request's model, 0 if none is known.
    """

    replica: ReplicaRecord
    in_flight: InFlightRequest
    outstanding: float
    reading_age_s: float
    candidates: int
    version: int = 0


@dataclass(frozen=True)
class _Option:
    """One replica with its predicted times and load, in seconds and requests."""

    replica: ReplicaRecord
    load: ReplicaLoad
    first_s: float
    queue_s: float
    cost_s: float
    outstanding: float
    slots: int

    @property
    def fill(self) -> float:
        """Return the share of the slots that is taken."""
        return self.outstanding / self.slots


class Placer:
    """Places the requests of one entry; all methods may be called by any thread."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        availability_zone: str,
        regions: dict[str, str],
        seed: str,
    ) -> None:
        self._directory = directory
        self._zone = availability_zone
        self._regions = regions
        self._random = random.Random(seed)
        self._loads: dict[tuple[str, int], ReplicaLoad] = {}
        self._plain_work_s: dict[str, float] = {}
        self._lock = threading.Lock()

    def place(
        self,
        service: ServiceEntry,
        demand: Demand,
        weights: WeightsConstraint = ANY_WEIGHTS,
        excluded: Collection[str] = (),
    ) -> Placement | Refusal:
        """Choose the replica that begins a request soonest, or refuse the request."""
        now = time.monotonic()
        with self._lock:
            options = self._list_options(service, demand, weights, excluded, now)
            if not options:
                return Refusal(RefusalReason.NO_REPLICA, NO_REPLICA_RETRY_S)
            best = min(options, key=lambda option: option.cost_s)
            reason = _find_reason(best, demand, service.engine)
            if reason is not None:
                return self._refuse(reason, best, demand, options)
            in_flight = InFlightRequest(best.replica.id, demand, now, best.first_s)
            best.load.in_flight_requests.append(in_flight)
            version = self._find_version(best.replica, weights.model)
        return Placement(
            best.replica,
            in_flight,
            best.outstanding,
            best.load.reading_age(now),
            len(options),
            version,
        )

    def record_load(self, replica: ReplicaRecord, reading: LoadReport) -> None:
        """Take in what a replica says of its load."""
        with self._lock:
            self._load(replica).record_load(reading, time.monotonic())

    def note_version(self, replica: ReplicaRecord, version: int) -> None:
        """Take in the version of the weights that a replica answered with."""
        with self._lock:
            self._load(replica).version = version

    def record_response_start(self, placed: Placement) -> None:
        """Note that a replica's answer has begun."""
        with self._lock:
            self._load(placed.replica).record_response_start(placed.in_flight, time.monotonic())

    def finish(self, placed: Placement, service: ServiceEntry) -> None:
        """Note an answer that was whole."""
        now = time.monotonic()
        with self._lock:
            load = self._load(placed.replica)
            load.note_success(now)
            self._end(load, placed.in_flight)
            if service.engine is None:
                known = self._plain_work_s.get(service.name, PLAIN_WORK_S)
                taken = now - placed.in_flight.started_at
                self._plain_work_s[service.name] = known + PLAIN_SMOOTHING * (taken - known)

    def fail(self, placed: Placement, is_silent: bool = False) -> None:
        """Note an attempt that failed, with no word from the replica if `is_silent`."""
        now = time.monotonic()
        with self._lock:
            load = self._load(placed.replica)
            load.note_unreachable(now) if is_silent else load.note_failure(now)
            self._end(load, placed.in_flight)

    def give_back(self, placed: Placement) -> None:
        """Note an attempt that ended by no fault of the replica."""
        with self._lock:
            self._end(self._load(placed.replica), placed.in_flight)

    def refused_by(self, placed: Placement) -> None:
        """Note that a replica refused a request."""
        now = time.monotonic()
        with self._lock:
            load = self._load(placed.replica)
            load.note_busy(now)
            self._end(load, placed.in_flight)

    def note_outdated(self, placed: Placement) -> None:
        """Note that another replica, or other weights, are at the address of the one chosen."""
        now = time.monotonic()
        with self._lock:
            load = self._load(placed.replica)
            is_news = load.note_outdated(placed.replica, now)
            self._end(load, placed.in_flight)
        if is_news:
            log.info(
                "replica not as listed",
                extra={
                    "replica": placed.replica.id,
                    "address": placed.replica.address,
                    "versions": [model.version for model in placed.replica.models],
                    "left_alone_s": OUTDATED_S,
                },
            )

    def _list_options(
        self,
        service: ServiceEntry,
        demand: Demand,
        weights: WeightsConstraint,
        excluded: Collection[str],
        now: float,
    ) -> list[_Option]:
        replicas = [
            replica
            for replica in self._directory.list_ready(service.name)
            if replica.id not in excluded and self._can_serve(replica, service, weights.model)
        ]
        model = weights.model
        current = [r for r in replicas if self._find_version(r, model) >= weights.required]
        usable = [r for r in current if self._is_usable(r, now)]
        if weights.time_left_s < REST_LEAD_S:
            usable = [r for r in usable if not self._is_resting(r, weights)] or usable
        usual = self._find_usual(usable, now)
        return [self._rate(replica, service, demand, now, usual) for replica in usable]

    def _find_usual(self, replicas: list[ReplicaRecord], now: float) -> OthersLoad:
        """Return the mean of what replicas said of others' requests, the newer the heavier.

        With many entries each hears of a replica seldom; that one was not heard of does not mean
        that others leave it alone.
        """
        loads = [self._load(replica) for replica in replicas]
        weights = [load.trust(now) for load in loads]
        total = sum(weights)
        if total < USUAL_LEAST_TRUST:
            return NO_OTHERS
        pairs = list(zip(weights, loads, strict=True))
        return OthersLoad(
            sum(weight * load.others.requests for weight, load in pairs) / total,
            sum(weight * load.others.waiting for weight, load in pairs) / total,
        )

    def _is_usable(self, replica: ReplicaRecord, now: float) -> bool:
        load = self._load(replica)
        return not load.is_paused(now) and not load.is_outdated(replica, now)

    def _is_resting(self, replica: ReplicaRecord, weights: WeightsConstraint) -> bool:
        """Tell whether a replica of the first wave lets its requests end before a swap.

        The wave depends on addresses alone, so that all entries leave the same replicas alone.
        """
        is_old = self._find_version(replica, weights.model) < weights.newest
        number = replica.host.rpartition(".")[2]
        return is_old and number.isdigit() and int(number) % 2 == 0

    def _can_serve(self, replica: ReplicaRecord, service: ServiceEntry, model: str) -> bool:
        if service.engine is None or not model:
            return True
        holds = replica.find_version(model) > 0 or self._load(replica).version > 0
        return holds and replica.holds_layers(service.engine.layers)

    def _find_version(self, replica: ReplicaRecord, model: str) -> int:
        return max(replica.find_version(model), self._load(replica).version)

    def _rate(
        self,
        replica: ReplicaRecord,
        service: ServiceEntry,
        demand: Demand,
        now: float,
        usual: OthersLoad,
    ) -> _Option:
        load = self._load(replica)
        outstanding = load.count(now, usual)
        slots = max(1, load.slots or replica.slots or DEFAULT_SLOTS)
        profile = service.engine
        if profile is None:
            queue_s = self._plain_wait(service, outstanding, slots)
            first_s = queue_s + self._plain_work_s.get(service.name, PLAIN_WORK_S)
        else:
            unread = load.unread_tokens(now, profile.typical_prompt_tokens, usual)
            estimate = predict_latency(profile, outstanding, unread, demand, load.pace)
            shortened = replace(
                demand,
                prompt_tokens=min(
                    demand.prompt_tokens, OWN_READ_FACTOR * profile.typical_prompt_tokens
                ),
            )
            first_s = estimate.first_event_s
            judged = predict_latency(profile, outstanding, unread, shortened, load.pace)
            queue_s = judged.first_event_s
        cost_s = first_s * self._random.uniform(1 - JITTER, 1 + JITTER)
        cost_s += load.failure_share(now) * FAILURE_COST_S + replica.warmup_left_s
        cost_s += self._distance(replica) + FILL_COST_S * outstanding / slots
        return _Option(replica, load, first_s, queue_s, cost_s, outstanding, slots)

    def _plain_wait(self, service: ServiceEntry, outstanding: float, slots: int) -> float:
        work_s = self._plain_work_s.get(service.name, PLAIN_WORK_S)
        queued_s = max(0.0, outstanding + 1 - slots) * work_s / slots
        return queued_s + work_s * outstanding / slots / 2

    def _distance(self, replica: ReplicaRecord) -> float:
        if replica.availability_zone == self._zone:
            return 0.0
        own, other = self._regions.get(self._zone), self._regions.get(replica.availability_zone)
        return OTHER_ZONE_S if own == other else OTHER_REGION_S

    def _refuse(
        self, reason: RefusalReason, best: _Option, demand: Demand, options: list[_Option]
    ) -> Refusal:
        excess_s = best.queue_s - demand.objective_s * (1 - OBJECTIVE_MARGIN)
        retry_s = min(RETRY_MOST_S, max(RETRY_LEAST_S, excess_s))
        # Callers refused together come back spread out, not together.
        retry_s *= self._random.uniform(1.0, 2.0)
        return Refusal(reason, retry_s, best.first_s, len(options))

    def _load(self, replica: ReplicaRecord) -> ReplicaLoad:
        key = (replica.id, replica.born_ms)
        load = self._loads.get(key)
        if load is None:
            stale = [k for k in self._loads if self._directory.get(k[0]) is None]
            for old in stale:
                if not self._loads[old].in_flight_requests:
                    del self._loads[old]
            load = self._loads[key] = ReplicaLoad()
        return load

    @staticmethod
    def _end(load: ReplicaLoad, in_flight: InFlightRequest) -> None:
        if in_flight in load.in_flight_requests:
            load.in_flight_requests.remove(in_flight)


def _find_reason(
    best: _Option, demand: Demand, profile: EngineProfile | None
) -> RefusalReason | None:
    """Return why a request is refused rather than sent to its best replica."""
    if best.first_s >= demand.time_left_s:
        return RefusalReason.HOPELESS
    if best.fill < ALWAYS_SHARE:
        return None
    left_s = demand.objective_s * (1 - OBJECTIVE_MARGIN) - demand.age_s
    if best.queue_s <= left_s:
        return None
    is_late = demand.age_s > demand.objective_s * (0.5 - OBJECTIVE_MARGIN)
    if is_late and best.fill < LATE_SHARE:
        return None
    return RefusalReason.FULL
