"""What one entry knows of one replica's load, speed and failures."""

from __future__ import annotations

from dataclasses import dataclass

from hibiscustray.placement.workload import InFlightRequest, LoadReport
from hibiscustray.replicas import ReplicaRecord

FAILURE_SMOOTHING = 0.15
FAILURE_HALF_LIFE_S = 4.0
"""Time in which the memory of failures halves while nothing is sent."""
PACE_SMOOTHING = 0.1
PACE_LEAST = 0.7
PACE_MOST = 8.0
"""Bounds of the measured pace, so that one odd answer does not decide."""
PAUSE_FIRST_S = 0.25
PAUSE_MOST_S = 2.0
"""Pauses after refused connections and silence, doubled while they go on."""
BUSY_PAUSE_FIRST_S = 0.06
BUSY_PAUSE_MOST_S = 0.5
"""Pauses after refusals by a replica, doubled while they go on: from one pass of an engine that is
full to the time that a load of weights takes."""
OUTDATED_S = 3.0
"""Time in which the platform drops the entry of a replica that has ended: three heartbeats."""
READING_KEPT_S = 1.0
"""Age at which a replica's word of others' requests counts as much as what is usual elsewhere."""


@dataclass(frozen=True)
class OthersLoad:
    """Requests of other entries at a replica, and those of them that wait there."""

    requests: float = 0.0
    waiting: float = 0.0


NO_OTHERS = OthersLoad()


class ReplicaLoad:
    """The load of one replica: own requests exactly, others' as of its last answer."""

    def __init__(self) -> None:
        self.in_flight_requests: list[InFlightRequest] = []
        self._others = 0.0
        self._others_waiting = 0.0
        self._read_at = float("-inf")
        self.slots = 0
        self._failure = 0.0
        self._failure_at = 0.0
        self.pace = 1.0
        self._paused_until = float("-inf")
        self._pause_s = PAUSE_FIRST_S
        self._busy_pause_s = BUSY_PAUSE_FIRST_S
        self.version = 0
        self._outdated: ReplicaRecord | None = None
        self._outdated_until = float("-inf")

    def count(self, now: float, usual: OthersLoad = NO_OTHERS) -> float:
        """Return the requests estimated to be at the replica, given what is usual elsewhere."""
        return len(self.in_flight_requests) + self._estimate(now, self._others, usual.requests)

    def count_waiting(self, now: float, usual: OthersLoad = NO_OTHERS) -> float:
        """Return the requests of others estimated to wait there."""
        return self._estimate(now, self._others_waiting, usual.waiting)

    def unread_tokens(
        self, now: float, typical_tokens: float, usual: OthersLoad = NO_OTHERS
    ) -> float:
        """Return the prompt tokens estimated to be queued at the replica."""
        own = sum(
            f.demand.prompt_tokens for f in self.in_flight_requests if f.response_started_at is None
        )
        return own + self.count_waiting(now, usual) * typical_tokens

    def reading_age(self, now: float) -> float:
        """Return the seconds since the replica last told its load."""
        return now - self._read_at

    def record_load(self, reading: LoadReport, now: float) -> None:
        """Take in what the replica says of its load."""
        total = reading.running + reading.waiting
        own_waiting = sum(f.response_started_at is None for f in self.in_flight_requests)
        self._others = max(0.0, total - len(self.in_flight_requests))
        self._others_waiting = max(0.0, min(self._others, reading.waiting - own_waiting))
        self._read_at = now
        self.slots = reading.slots

    def record_response_start(self, in_flight: InFlightRequest, now: float) -> None:
        """Note that an answer has begun, and how long it took against the prediction."""
        if in_flight.response_started_at is not None:
            return
        self._busy_pause_s = BUSY_PAUSE_FIRST_S
        in_flight.response_started_at = now
        ratio = (now - in_flight.started_at) / max(in_flight.predicted_s, 1e-3)
        blended = self.pace * (1 + PACE_SMOOTHING * (min(ratio, PACE_MOST) - 1))
        self.pace = min(PACE_MOST, max(PACE_LEAST, blended))

    def note_success(self, now: float) -> None:
        """Note an answer that was whole."""
        self._failure = self.failure_share(now) * (1 - FAILURE_SMOOTHING)
        self._failure_at = now
        self._pause_s = PAUSE_FIRST_S

    def note_failure(self, now: float) -> None:
        """Note an attempt that failed."""
        share = self.failure_share(now)
        self._failure = share + FAILURE_SMOOTHING * (1 - share)
        self._failure_at = now

    def note_unreachable(self, now: float) -> None:
        """Note that the replica was silent or took no connection; leave it alone for a while."""
        self.note_failure(now)
        self._paused_until = now + self._pause_s
        self._pause_s = min(PAUSE_MOST_S, 2 * self._pause_s)

    def note_busy(self, now: float) -> None:
        """Note that the replica refused a request; leave it alone for a while."""
        self._paused_until = max(self._paused_until, now + self._busy_pause_s)
        self._busy_pause_s = min(BUSY_PAUSE_MOST_S, 2 * self._busy_pause_s)

    def is_paused(self, now: float) -> bool:
        """Tell whether the replica is left alone now."""
        return now < self._paused_until

    def note_outdated(self, record: ReplicaRecord, now: float) -> bool:
        """Note that an entry does not describe what is at its address; tell if it is news."""
        is_news = not self.is_outdated(record, now)
        self._outdated = record
        self._outdated_until = now + OUTDATED_S
        return is_news

    def is_outdated(self, record: ReplicaRecord, now: float) -> bool:
        """Tell whether an entry was found untrue of late and has not changed since."""
        known = self._outdated
        return (
            known is not None
            and now < self._outdated_until
            and (known.address, known.models, known.layers)
            == (record.address, record.models, record.layers)
        )

    def failure_share(self, now: float) -> float:
        """Return the share of attempts that failed of late, from 0 to 1."""
        age = max(0.0, now - self._failure_at)
        return self._failure * 0.5 ** (age / FAILURE_HALF_LIFE_S)

    @property
    def others(self) -> OthersLoad:
        """Return what the replica last said of others' requests."""
        return OthersLoad(self._others, self._others_waiting)

    def trust(self, now: float) -> float:
        """Return how far the last reading is still believed, from 0 to 1."""
        age = max(0.0, now - self._read_at)
        return 0.5 ** (age / READING_KEPT_S)

    def _estimate(self, now: float, read: float, usual: float) -> float:
        """Return a reading as far as it is still believed, else what is usual."""
        trust = self.trust(now)
        return read * trust + usual * (1 - trust)
