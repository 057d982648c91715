"""Chooses the replica for a request, or refuses a request that cannot be served in time.

Admission control handles overload: more requests than the engines can begin within their objective,
from several entries that do not coordinate. A request that would begin too late is refused at once,
so that admitted requests meet their objective and the caller learns when to retry. Retried requests
that have already missed their objective only get capacity that the other requests leave unused.
"""

from __future__ import annotations

import logging
import random
import threading
import time
from collections.abc import Collection
from dataclasses import dataclass, replace

from hibiscustray.catalog import SEND_LEAD_S, EngineProfile, ServiceEntry
from hibiscustray.placement.load import (
    MAX_REJECTION_BACKOFF_S,
    NO_EXTERNAL_LOAD,
    STALE_RECORD_S,
    ExternalLoad,
    ReplicaLoad,
)
from hibiscustray.placement.prediction import predict_latency
from hibiscustray.placement.refusal import (
    NO_REPLICA_RETRY_AFTER_S,
    Refusal,
    RefusalFactory,
    RefusalReason,
)
from hibiscustray.placement.workload import Demand, InFlightRequest, LoadReport
from hibiscustray.replicas import (
    ReplicaDirectory,
    ReplicaNotices,
    ReplicaRecord,
    ReplicaState,
    is_in_first_half,
)

log = logging.getLogger(__name__)

ADMIT_ALL_UTILIZATION = 0.5
"""Share of used slots below which every request is admitted."""
ADMIT_LATE_UTILIZATION = 0.75
"""Share of used slots below which requests past their objective are admitted."""
OBJECTIVE_MARGIN = 0.3
"""Share of an objective reserved for connection setup, transfer and the prediction error. The p95
of that error is about 0.2 s for objectives of 0.4 s to 0.5 s in the loads of `bench placement`."""
MAX_PROMPT_FACTOR = 1.5
"""Multiple of the typical prompt to which a prompt is capped for admission. A long prompt is thus
admitted by its queueing time, and its own prefill time does not exclude it."""
COST_JITTER = 0.04
"""Relative jitter of costs, so that entries with the same information choose different replicas."""
OTHER_ZONE_COST_S = 0.002
OTHER_REGION_COST_S = 0.004
"""Latency cost of a replica in another availability zone or region, about two round trips."""
UTILIZATION_COST_S = 0.1
"""Cost of a full replica compared to an empty one, so that slots fill evenly."""
FAILURE_COST_S = 1.0
"""Latency that a failed attempt costs a caller; multiplied by a replica's failure rate."""
FIRST_WAVE_LEAD_S = SEND_LEAD_S + 0.4
"""Time before new weights are required at which the first wave of replicas stops getting requests.
Running requests have to end before the new weights are loaded."""
MIN_TOTAL_CONFIDENCE = 1.5
"""Minimum sum of confidence for averaging load reports; it takes more than one replica."""
DEFAULT_SLOTS = 8
INITIAL_PLAIN_DURATION_S = 0.05
"""Assumed duration of a call to a service without an engine until one has been measured."""
PLAIN_DURATION_SMOOTHING = 0.05
MAX_PLAIN_DURATION_AGE_S = 3.0
"""Time without a success after which the measured duration is dropped. If it exceeded all
deadlines, all requests would be refused and it would never be measured again."""


@dataclass(frozen=True)
class WeightsConstraint:
    """Versions of a model's weights that a request may run on.

    Replicas with a version below `required` are not chosen. Replicas with a version below `newest`
    may be chosen for `time_left_s` more seconds.
    """

    model: str = ""
    required: int = 0
    newest: int = 0
    time_left_s: float = float("inf")


ANY_WEIGHTS = WeightsConstraint()


@dataclass(frozen=True)
class Placement:
    """The replica chosen for a request, and the load data that the choice is based on.

    `version` is the version of the replica's weights for the requested model, 0 if unknown, and
    `required_version` the oldest one that the request may begin on, 0 for any. `is_counted` is set
    if the request has been counted against a limit that the replica has named.
    """

    replica: ReplicaRecord
    in_flight: InFlightRequest
    outstanding: float
    load_report_age_s: float
    candidates: int
    version: int = 0
    required_version: int = 0
    is_counted: bool = False


@dataclass(frozen=True)
class _Candidate:
    """A replica that a request may go to, with predicted latency in seconds and load in requests.

    `admission_s` is the latency that admission compares with the objective: the time to the first
    event with the prompt capped by `MAX_PROMPT_FACTOR`, or the queueing time without an engine.
    """

    replica: ReplicaRecord
    load: ReplicaLoad
    first_event_s: float
    admission_s: float
    cost_s: float
    outstanding: float
    slots: int

    @property
    def utilization(self) -> float:
        """Return the share of slots in use; above 1 if requests are queued."""
        return self.outstanding / self.slots


class Placer:
    """Chooses replicas for the requests of one entry; thread-safe."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        notices: ReplicaNotices,
        availability_zone: str,
        regions: dict[str, str],
        seed: str,
    ) -> None:
        self._directory = directory
        self._notices = notices
        self._zone = availability_zone
        self._regions = regions
        self._random = random.Random(seed)
        self._refusals = RefusalFactory(self._random)
        self._loads: dict[tuple[str, int], ReplicaLoad] = {}
        # Smoothed duration, and the time of the last success.
        self._plain_durations_s: dict[str, tuple[float, float]] = {}
        self._lock = threading.Lock()

    def place(
        self,
        service: ServiceEntry,
        demand: Demand,
        weights: WeightsConstraint = ANY_WEIGHTS,
        excluded: Collection[str] = (),
    ) -> Placement | Refusal:
        """Choose the replica with the lowest cost for a request, or refuse the request."""
        now = time.monotonic()
        with self._lock:
            usable = self._list_usable(service, weights, excluded, now)
            if not usable:
                return self._find_pushback_refusal(service, weights, now) or Refusal(
                    RefusalReason.NO_REPLICA, NO_REPLICA_RETRY_AFTER_S
                )
            waits_s = {replica.boot: self._notices.find_wait(replica.boot) for replica in usable}
            open_replicas = [replica for replica in usable if waits_s[replica.boot] <= 0]
            if not open_replicas:
                returns_s = self._find_returns(service, weights, now).values()
                wait_s = min(*waits_s.values(), *(s for s in returns_s if s > 0))
                return self._refusals.refuse_limited(wait_s, len(usable))
            average = self._average_external_load(usable, now)
            candidates = [self._score(r, service, demand, now, average) for r in open_replicas]
            best = min(candidates, key=lambda candidate: candidate.cost_s)
            reason = _find_refusal_reason(best, demand, service.engine)
            if reason is not None:
                overrun_s = best.admission_s - demand.objective_s * (1 - OBJECTIVE_MARGIN)
                return self._refusals.refuse_overload(
                    reason, overrun_s, best.first_event_s, len(candidates)
                )
            is_counted = self._notices.is_limited(best.replica.boot)
            if is_counted and not self._notices.take(best.replica.boot):
                # Another request, chosen before the limit was known, was sent in between.
                wait_s = self._notices.find_wait(best.replica.boot)
                return self._refusals.refuse_limited(wait_s, len(candidates))
            in_flight = InFlightRequest(best.replica.id, demand, now, best.first_event_s)
            best.load.in_flight_requests.append(in_flight)
            version = self._find_version(best.replica, weights.model)
        return Placement(
            best.replica,
            in_flight,
            best.outstanding,
            best.load.report_age(now),
            len(candidates),
            version,
            weights.required,
            is_counted,
        )

    def find_pushback_refusal(
        self, service: ServiceEntry, weights: WeightsConstraint = ANY_WEIGHTS
    ) -> Refusal | None:
        """Return a refusal with the time of the first return if all replicas push back."""
        with self._lock:
            return self._find_pushback_refusal(service, weights, time.monotonic())

    def record_load(self, replica: ReplicaRecord, report: LoadReport) -> None:
        """Record the load that a replica reported."""
        with self._lock:
            self._get_load(replica).record_load(report, time.monotonic())

    def record_version(self, replica: ReplicaRecord, version: int) -> None:
        """Record the version of the weights that a replica responded with."""
        with self._lock:
            self._get_load(replica).version = version

    def record_response_start(self, placement: Placement) -> None:
        """Record that a replica's response has begun."""
        with self._lock:
            self._get_load(placement.replica).record_response_start(
                placement.in_flight, time.monotonic()
            )

    def is_draining(self, placement: Placement) -> bool:
        """Return whether the replica of a placement is about to stop as planned."""
        record = self._directory.get(placement.replica.id)
        is_listed = record is not None and record.state is ReplicaState.DRAINING
        return is_listed or self._notices.is_draining(placement.replica.boot)

    def record_success(self, placement: Placement, service: ServiceEntry) -> None:
        """Record a complete response."""
        now = time.monotonic()
        with self._lock:
            load = self._get_load(placement.replica)
            load.record_success(now)
            self._remove(load, placement.in_flight)
            if service.engine is None and not placement.in_flight.was_silent:
                previous_s = self._find_plain_duration(service, now)
                elapsed_s = now - placement.in_flight.started_at
                smoothed_s = previous_s + PLAIN_DURATION_SMOOTHING * (elapsed_s - previous_s)
                self._plain_durations_s[service.name] = (smoothed_s, now)

    def record_failure(self, placement: Placement, is_silent: bool = False) -> None:
        """Record a failed attempt; `is_silent` if the replica is unreachable."""
        now = time.monotonic()
        with self._lock:
            load = self._get_load(placement.replica)
            load.record_unreachable(now) if is_silent else load.record_failure(now)
            self._remove(load, placement.in_flight)

    def record_silence(self, placement: Placement) -> None:
        """Record that the replica sends nothing for a request; counts once until it goes on."""
        with self._lock:
            if not placement.in_flight.is_silent:
                placement.in_flight.is_silent = placement.in_flight.was_silent = True
                self._get_load(placement.replica).record_silence(time.monotonic())

    def end_silence(self, placement: Placement) -> None:
        """Record that the replica goes on with a request for which it was silent."""
        with self._lock:
            placement.in_flight.is_silent = False
            self._get_load(placement.replica).end_silence()

    def release(self, placement: Placement) -> None:
        """Record an attempt that ended through no fault of the replica."""
        with self._lock:
            self._remove(self._get_load(placement.replica), placement.in_flight)

    def record_rejection(self, placement: Placement) -> None:
        """Record that a replica rejected a request.

        It is left alone for a backoff, unless it has named a longer time itself.
        """
        now = time.monotonic()
        with self._lock:
            load = self._get_load(placement.replica)
            if self._notices.find_pushback(placement.replica.boot) < MAX_REJECTION_BACKOFF_S:
                load.record_rejection(now)
            self._remove(load, placement.in_flight)

    def mark_stale(self, placement: Placement) -> None:
        """Record that the chosen replica's address serves another replica or other weights."""
        now = time.monotonic()
        with self._lock:
            load = self._get_load(placement.replica)
            is_new = load.mark_stale(placement.replica, now)
            self._remove(load, placement.in_flight)
        if is_new:
            log.info(
                "replica does not match its record",
                extra={
                    "replica": placement.replica.id,
                    "address": placement.replica.address,
                    "versions": [model.version for model in placement.replica.models],
                    "left_alone_s": STALE_RECORD_S,
                },
            )

    def _list_usable(
        self,
        service: ServiceEntry,
        weights: WeightsConstraint,
        excluded: Collection[str],
        now: float,
    ) -> list[ReplicaRecord]:
        model = weights.model
        replicas = [r for r in self._list_serving(service, model) if r.id not in excluded]
        current = [r for r in replicas if self._find_version(r, model) >= weights.required]
        usable = [r for r in current if self._is_usable(r, now)]
        # A request behind a silent one may wait on the same congested link.
        usable = [r for r in usable if not self._get_load(r).is_silent] or usable
        if weights.time_left_s < FIRST_WAVE_LEAD_S:
            usable = [r for r in usable if not self._is_in_first_swap_wave(r, weights)] or usable
        return usable

    def _list_serving(self, service: ServiceEntry, model: str) -> list[ReplicaRecord]:
        """Return the replicas with any weights of a model."""
        return [
            replica
            for replica in self._directory.list_ready(service.name)
            if not self._notices.is_draining(replica.boot)
            and self._can_serve(replica, service, model)
        ]

    def _find_pushback_refusal(
        self, service: ServiceEntry, weights: WeightsConstraint, now: float
    ) -> Refusal | None:
        """Return a refusal if a replica pushes back and no other one may be sent to now.

        Replicas at which a request has been tried count, as its caller may come back to them.
        """
        serving = self._list_serving(service, weights.model)
        current = [r for r in serving if self._find_version(r, weights.model) >= weights.required]
        returns_s = self._find_returns(service, weights, now)
        is_pushed_back = any(self._notices.find_pushback(r.boot) > 0 for r in current)
        if not is_pushed_back or not returns_s or min(returns_s.values()) <= 0:
            return None
        return self._refusals.refuse_pushed_back(returns_s, len(current) < len(serving))

    def _find_returns(
        self, service: ServiceEntry, weights: WeightsConstraint, now: float
    ) -> dict[str, float]:
        """Return the seconds until each start of a replica with the required weights is back."""
        returns_s = {}
        for replica in self._list_serving(service, weights.model):
            load = self._get_load(replica)
            is_current = self._find_version(replica, weights.model) >= weights.required
            if is_current and not load.is_stale(replica, now):
                pushback_s = self._notices.find_pushback(replica.boot)
                limit_s = self._notices.find_wait(replica.boot)
                returns_s[replica.boot] = max(pushback_s, limit_s, load.find_backoff(now))
        return returns_s

    def _average_external_load(self, replicas: list[ReplicaRecord], now: float) -> ExternalLoad:
        """Return the mean external load that replicas reported, weighted by confidence.

        With many entries, each entry rarely gets a report from a given replica. A replica without a
        recent report is therefore assumed to have average load, not none.
        """
        loads = [self._get_load(replica) for replica in replicas]
        weights = [load.confidence(now) for load in loads]
        total = sum(weights)
        if total < MIN_TOTAL_CONFIDENCE:
            return NO_EXTERNAL_LOAD
        pairs = list(zip(weights, loads, strict=True))
        return ExternalLoad(
            sum(weight * load.external_load.requests for weight, load in pairs) / total,
            sum(weight * load.external_load.waiting for weight, load in pairs) / total,
        )

    def _is_usable(self, replica: ReplicaRecord, now: float) -> bool:
        load = self._get_load(replica)
        if self._notices.find_pushback(replica.boot) > 0:
            return False
        return not load.is_backing_off(now) and not load.is_stale(replica, now)

    def _is_in_first_swap_wave(self, replica: ReplicaRecord, weights: WeightsConstraint) -> bool:
        """Return whether a replica swaps in the first wave, which gets no requests before it."""
        is_outdated = self._find_version(replica, weights.model) < weights.newest
        return is_outdated and is_in_first_half(replica.host)

    def _can_serve(self, replica: ReplicaRecord, service: ServiceEntry, model: str) -> bool:
        if service.engine is None or not model:
            return True
        has_model = replica.find_version(model) > 0 or self._get_load(replica).version > 0
        return has_model and replica.has_all_layers(service.engine.layers)

    def _find_version(self, replica: ReplicaRecord, model: str) -> int:
        return max(replica.find_version(model), self._get_load(replica).version)

    def _score(
        self,
        replica: ReplicaRecord,
        service: ServiceEntry,
        demand: Demand,
        now: float,
        average: ExternalLoad,
    ) -> _Candidate:
        load = self._get_load(replica)
        outstanding = load.estimate_requests(now, average)
        slots = max(1, load.slots or replica.slots or DEFAULT_SLOTS)
        profile = service.engine
        if profile is None:
            duration_s = self._find_plain_duration(service, now)
            admission_s = _predict_plain_wait(duration_s, outstanding, slots)
            first_event_s = admission_s + duration_s
        else:
            queued_tokens = load.estimate_queued_tokens(now, profile.typical_prompt_tokens, average)
            estimate = predict_latency(profile, outstanding, queued_tokens, demand, load.slowdown)
            capped_demand = replace(
                demand,
                prompt_tokens=min(
                    demand.prompt_tokens, MAX_PROMPT_FACTOR * profile.typical_prompt_tokens
                ),
            )
            first_event_s = estimate.first_event_s
            capped_estimate = predict_latency(
                profile, outstanding, queued_tokens, capped_demand, load.slowdown
            )
            admission_s = capped_estimate.first_event_s
        cost_s = first_event_s * self._random.uniform(1 - COST_JITTER, 1 + COST_JITTER)
        cost_s += load.failure_rate(now) * FAILURE_COST_S + replica.warmup_left_s
        cost_s += self._distance_cost_s(replica) + UTILIZATION_COST_S * outstanding / slots
        return _Candidate(replica, load, first_event_s, admission_s, cost_s, outstanding, slots)

    def _find_plain_duration(self, service: ServiceEntry, now: float) -> float:
        duration_s, measured_at = self._plain_durations_s.get(
            service.name, (INITIAL_PLAIN_DURATION_S, now)
        )
        is_current = now - measured_at <= MAX_PLAIN_DURATION_AGE_S
        return duration_s if is_current else INITIAL_PLAIN_DURATION_S

    def _distance_cost_s(self, replica: ReplicaRecord) -> float:
        if replica.availability_zone == self._zone:
            return 0.0
        own, other = self._regions.get(self._zone), self._regions.get(replica.availability_zone)
        return OTHER_ZONE_COST_S if own == other else OTHER_REGION_COST_S

    def _get_load(self, replica: ReplicaRecord) -> ReplicaLoad:
        key = (replica.id, replica.born_ms)
        load = self._loads.get(key)
        if load is None:
            unlisted_keys = [k for k in self._loads if self._directory.get(k[0]) is None]
            for unlisted_key in unlisted_keys:
                if not self._loads[unlisted_key].in_flight_requests:
                    del self._loads[unlisted_key]
            load = self._loads[key] = ReplicaLoad()
        return load

    @staticmethod
    def _remove(load: ReplicaLoad, in_flight: InFlightRequest) -> None:
        if in_flight in load.in_flight_requests:
            load.in_flight_requests.remove(in_flight)


def _predict_plain_wait(duration_s: float, outstanding: float, slots: int) -> float:
    queued_s = max(0.0, outstanding + 1 - slots) * duration_s / slots
    return queued_s + duration_s * outstanding / slots / 2


def _find_refusal_reason(
    best: _Candidate, demand: Demand, profile: EngineProfile | None
) -> RefusalReason | None:
    """Return why a request is refused, or None if it is sent to the best replica."""
    if best.first_event_s >= demand.time_left_s:
        return RefusalReason.DEADLINE_TOO_SHORT
    if best.utilization < ADMIT_ALL_UTILIZATION:
        return None
    left_s = demand.objective_s * (1 - OBJECTIVE_MARGIN) - demand.age_s
    if best.admission_s <= left_s:
        return None
    is_late = demand.age_s > demand.objective_s * (0.5 - OBJECTIVE_MARGIN)
    if is_late and best.utilization < ADMIT_LATE_UTILIZATION:
        return None
    return RefusalReason.FULL
