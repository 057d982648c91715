"""The load, speed and failure rate of one replica, as estimated by one entry."""

from __future__ import annotations

from dataclasses import dataclass

from hibiscustray.placement.workload import InFlightRequest, LoadReport
from hibiscustray.replicas import ReplicaRecord

FAILURE_SMOOTHING = 0.15
FAILURE_HALF_LIFE_S = 4.0
"""Time in which the failure rate halves while nothing is sent."""
SLOWDOWN_SMOOTHING = 0.1
MIN_SLOWDOWN = 0.7
MAX_SLOWDOWN = 8.0
"""Bounds of the measured slowdown, so that one outlier does not dominate it."""
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
"""Backoff after a refused connection or a silent request; doubles with each consecutive one."""
INITIAL_REJECTION_BACKOFF_S = 0.06
MAX_REJECTION_BACKOFF_S = 0.5
"""Backoff after a rejection by a replica; doubles with each consecutive one. The bounds are one
pass of a full engine and the time that loading weights takes."""
STALE_RECORD_S = 3.0
"""Time for which a stale record is not used. The platform removes the record of a stopped replica
within this time, which is three heartbeats."""
REPORT_HALF_LIFE_S = 1.0
"""Age at which a replica's load report and the average of the other replicas count equally."""


@dataclass(frozen=True)
class ExternalLoad:
    """Requests that other entries have at a replica, and how many of them are waiting."""

    requests: float = 0.0
    waiting: float = 0.0


NO_EXTERNAL_LOAD = ExternalLoad()


class ReplicaLoad:
    """The load of one replica: this entry's requests exactly, others as of the last response."""

    def __init__(self) -> None:
        self.in_flight_requests: list[InFlightRequest] = []
        self._external_requests = 0.0
        self._external_waiting = 0.0
        self._reported_at = float("-inf")
        self.slots = 0
        self._failure_rate = 0.0
        self._failure_rate_at = 0.0
        self.slowdown = 1.0
        self._backoff_until = float("-inf")
        self._backoff_s = INITIAL_BACKOFF_S
        self._rejection_backoff_s = INITIAL_REJECTION_BACKOFF_S
        self.version = 0
        self._stale_record: ReplicaRecord | None = None
        self._stale_until = float("-inf")

    @property
    def is_silent(self) -> bool:
        """Return whether the replica now sends nothing for one of this entry's requests."""
        return any(request.is_silent for request in self.in_flight_requests)

    def estimate_requests(self, now: float, average: ExternalLoad = NO_EXTERNAL_LOAD) -> float:
        """Return the estimated number of requests at the replica; `average` is the fleet's mean."""
        return len(self.in_flight_requests) + self._blend(
            now, self._external_requests, average.requests
        )

    def estimate_waiting(self, now: float, average: ExternalLoad = NO_EXTERNAL_LOAD) -> float:
        """Return the estimated number of waiting requests from other entries."""
        return self._blend(now, self._external_waiting, average.waiting)

    def estimate_queued_tokens(
        self, now: float, typical_tokens: float, average: ExternalLoad = NO_EXTERNAL_LOAD
    ) -> float:
        """Return the estimated number of prompt tokens queued at the replica."""
        own = sum(
            f.demand.prompt_tokens for f in self.in_flight_requests if f.response_started_at is None
        )
        return own + self.estimate_waiting(now, average) * typical_tokens

    def report_age(self, now: float) -> float:
        """Return the seconds since the replica last reported its load."""
        return now - self._reported_at

    def record_load(self, report: LoadReport, now: float) -> None:
        """Update the estimate of other entries' requests from a load report."""
        total = report.running + report.waiting
        own_waiting = sum(f.response_started_at is None for f in self.in_flight_requests)
        self._external_requests = max(0.0, total - len(self.in_flight_requests))
        self._external_waiting = max(
            0.0, min(self._external_requests, report.waiting - own_waiting)
        )
        self._reported_at = now
        self.slots = report.slots

    def record_response_start(self, in_flight: InFlightRequest, now: float) -> None:
        """Record the start of a response and update the slowdown against the prediction."""
        if in_flight.response_started_at is not None:
            return
        self._rejection_backoff_s = INITIAL_REJECTION_BACKOFF_S
        in_flight.response_started_at = now
        if in_flight.was_silent:
            # A silence says nothing about the speed before and after it.
            return
        ratio = (now - in_flight.started_at) / max(in_flight.predicted_s, 1e-3)
        blended = self.slowdown * (1 + SLOWDOWN_SMOOTHING * (min(ratio, MAX_SLOWDOWN) - 1))
        self.slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, blended))

    def record_success(self, now: float) -> None:
        """Record a complete response."""
        self._failure_rate = self.failure_rate(now) * (1 - FAILURE_SMOOTHING)
        self._failure_rate_at = now
        self._backoff_s = INITIAL_BACKOFF_S

    def record_failure(self, now: float) -> None:
        """Record a failed attempt."""
        rate = self.failure_rate(now)
        self._failure_rate = rate + FAILURE_SMOOTHING * (1 - rate)
        self._failure_rate_at = now

    def record_unreachable(self, now: float) -> None:
        """Record that the replica refused the connection, and back off."""
        self.record_failure(now)
        self._backoff_until = now + self._backoff_s
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)

    def record_silence(self, now: float) -> None:
        """Record that the replica sends nothing for a request, and back off."""
        self._backoff_until = max(self._backoff_until, now + self._backoff_s)
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)

    def end_silence(self) -> None:
        """Record that the replica goes on, and end the backoff."""
        self._backoff_until = float("-inf")
        self._backoff_s = INITIAL_BACKOFF_S

    def record_rejection(self, now: float) -> None:
        """Record that the replica rejected a request, and back off."""
        self._backoff_until = max(self._backoff_until, now + self._rejection_backoff_s)
        self._rejection_backoff_s = min(MAX_REJECTION_BACKOFF_S, 2 * self._rejection_backoff_s)

    def is_backing_off(self, now: float) -> bool:
        """Return whether the replica gets no requests because of a backoff."""
        return now < self._backoff_until

    def find_backoff(self, now: float) -> float:
        """Return the seconds until a backoff ends, 0 if there is none."""
        return max(0.0, self._backoff_until - now)

    def mark_stale(self, record: ReplicaRecord, now: float) -> bool:
        """Mark a record that does not match its replica; return whether it was not marked yet."""
        is_new = not self.is_stale(record, now)
        self._stale_record = record
        self._stale_until = now + STALE_RECORD_S
        return is_new

    def is_stale(self, record: ReplicaRecord, now: float) -> bool:
        """Return whether a record was recently marked as stale and has not changed since."""
        stale = self._stale_record
        return (
            stale is not None
            and now < self._stale_until
            and (stale.address, stale.models, stale.layers)
            == (record.address, record.models, record.layers)
        )

    def failure_rate(self, now: float) -> float:
        """Return the decayed share of attempts that failed, from 0 to 1."""
        age = max(0.0, now - self._failure_rate_at)
        return self._failure_rate * 0.5 ** (age / FAILURE_HALF_LIFE_S)

    @property
    def external_load(self) -> ExternalLoad:
        """Return the load of other entries according to the last report."""
        return ExternalLoad(self._external_requests, self._external_waiting)

    def confidence(self, now: float) -> float:
        """Return the weight of the last load report, which decays from 1 to 0 with its age."""
        age = max(0.0, now - self._reported_at)
        return 0.5 ** (age / REPORT_HALF_LIFE_S)

    def _blend(self, now: float, reported: float, average: float) -> float:
        """Return the mean of a reported value and the average, weighted by confidence."""
        confidence = self.confidence(now)
        return reported * confidence + average * (1 - confidence)
