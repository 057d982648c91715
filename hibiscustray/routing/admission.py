"""Admission control at an entry: one queue per service, fair between teams and deadline-aware."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field

from hibiscustray.deployments import Service
from hibiscustray.exceptions import DeadlineExceeded, NoReplica, Overloaded
from hibiscustray.requests import CallerRequest
from hibiscustray.routing.choice import ReplicaChooser
from hibiscustray.routing.fairness import FairQueue, compute_fair_level
from hibiscustray.routing.policies import Adaptive, FirstCome, Policy

RECHECK_INTERVAL_S = 0.1
"""Interval at which a queued request checks its deadline and the capacity."""

NO_REPLICA_WAIT_S = 5.0
"""Time without any replica of the service after which a queued request is refused."""

RETRY_AFTER_S = 1.0

ACTIVE_TEAM_TTL_S = 30.0
"""Time since its last request for which an idle team still counts as active."""

RESERVE_SHARE = 0.25
"""Share of the capacity that is reserved for active teams without queued requests."""

WAITING_THREADS_SHARE = 0.3
RUNNING_THREADS_SHARE = 0.6
"""Shares of the server threads for queued and running requests; the rest serve refusals."""

MAX_FREE_QUEUE_SHARE = 0.5
"""Share of the free queue places that a team may use, even beyond its weighted share."""

RUN_TIME_SMOOTHING = 0.05
"""Weight of the latest sample in the moving average of run times."""

DEFAULT_RUN_TIME_S = 0.5
SHARED_TEAM = ""
"""The team under which all requests queue when admission is not fair."""


@dataclass(frozen=True)
class AdmissionRules:
    """The rules of an admission queue.

    Unless `is_fair`, all teams share one queue in order of arrival. With `refuses_early`, a
    request that would miss its deadline is refused before the deadline passes.
    """

    is_fair: bool
    refuses_early: bool
    max_running: int
    max_waiting: int


@dataclass
class QueuedRequest:
    """A queued request; `granted` is set once it may run."""

    team: str
    granted: threading.Event = field(default_factory=threading.Event)


class Permit:
    """A context manager for the right to have one request outstanding, released on exit."""

    def __init__(self, queue: AdmissionQueue | None, team: str, is_under_share: bool) -> None:
        self._admission_queue = queue
        self._team = team
        self._started_at = time.monotonic()
        self.is_under_share = is_under_share

    def adjust_priority(self, priority: int) -> int:
        """Return the priority for the engine, raised by one step for a team below its share."""
        return max(0, priority - 1) if self.is_under_share else priority

    def __enter__(self) -> Permit:
        return self

    def __exit__(self, *_: object) -> None:
        if self._admission_queue is not None:
            self._admission_queue.release(self._team, time.monotonic() - self._started_at)


class AdmissionQueue:
    """Bounds the outstanding requests of one service and queues the others, fairly by team.

    A team at or above its share of the capacity cannot use the reserve, so that a request of a
    team below its share is admitted at once.
    """

    def __init__(self, service: Service, chooser: ReplicaChooser, rules: AdmissionRules) -> None:
        self._service = service
        self._chooser = chooser
        self._rules = rules
        self._queue: FairQueue[QueuedRequest] = FairQueue()
        self._running: dict[str, int] = {}
        self._active: dict[str, tuple[float, float]] = {}
        self._mean_run_time_s = DEFAULT_RUN_TIME_S
        self._lock = threading.Lock()

    def admit(self, request: CallerRequest) -> Permit:
        """Wait for a permit.

        Raises `Overloaded`, `DeadlineExceeded` or `NoReplica`; the request has not run then.
        """
        team = request.team if self._rules.is_fair else SHARED_TEAM
        queued = QueuedRequest(team)
        with self._lock:
            self._record_active_team(team, request.weight)
            capacity = self._compute_capacity()
            if not self._may_run(team, capacity) or self._queue.count(team):
                self._refuse_if_unservable(request, team, capacity)
            self._queue.push(team, request.weight, request.estimate.cost, queued)
            self._grant_permits(capacity)
        self._wait_for_permit(request, queued)
        return Permit(self, team, self._is_under_share(team))

    def release(self, team: str, run_time_s: float) -> None:
        """Release a permit and admit the next queued requests."""
        with self._lock:
            self._running[team] -= 1
            self._mean_run_time_s += RUN_TIME_SMOOTHING * (run_time_s - self._mean_run_time_s)
            self._grant_permits(self._compute_capacity())

    def _wait_for_permit(self, request: CallerRequest, queued: QueuedRequest) -> None:
        """Wait until the permit is granted; refuse once too little time is left to respond."""
        service_time_s = self._estimate_service_time(request)
        refuse_at = time.monotonic() + NO_REPLICA_WAIT_S
        while not queued.granted.is_set():
            spare_s = request.time_left() - service_time_s
            if spare_s > 0:
                queued.granted.wait(min(spare_s, RECHECK_INTERVAL_S))
            with self._lock:
                if queued.granted.is_set():
                    return
                if spare_s <= 0 and self._queue.remove(queued.team, queued):
                    raise self._make_late_refusal(service_time_s)
                capacity = self._compute_capacity()
                if self._chooser.has_replica(self._service):
                    refuse_at = time.monotonic() + NO_REPLICA_WAIT_S
                elif time.monotonic() > refuse_at and self._queue.remove(queued.team, queued):
                    raise NoReplica(f"no replica serves {self._service.name}", RETRY_AFTER_S)
                self._grant_permits(capacity)

    def _make_late_refusal(self, service_time_s: float) -> Exception:
        if self._rules.refuses_early:
            return Overloaded(
                "too little time is left to respond after queueing", self._mean_run_time_s
            )
        return DeadlineExceeded("the deadline passed while the request was queued")

    def _refuse_if_unservable(self, request: CallerRequest, team: str, capacity: int) -> None:
        """Refuse if the team's part of the queue is full or the wait would exceed the deadline."""
        if not self._rules.refuses_early:
            return
        share = request.weight / max(request.weight, self._sum_weights())
        waiting = self._queue.count(team)
        free = self._rules.max_waiting - len(self._queue)
        if waiting >= max(1.0, self._rules.max_waiting * share, MAX_FREE_QUEUE_SHARE * free):
            raise Overloaded(
                f"team {team} already has {waiting} queued requests", self._mean_run_time_s
            )
        rate = (
            max(1, capacity)
            * self._compute_backlogged_share(team, request.weight)
            / self._mean_run_time_s
        )
        wait_s = (waiting + 1) / rate
        if wait_s + self._estimate_service_time(request) > request.time_left():
            raise Overloaded(f"the queue wait of {wait_s:.1f} s would exceed the deadline", wait_s)

    def _compute_backlogged_share(self, team: str, weight: float) -> float:
        total = self._queue.total_weight() + (0.0 if self._queue.count(team) else weight)
        return weight / total

    def _estimate_service_time(self, request: CallerRequest) -> float:
        if not self._rules.refuses_early:
            return 0.0
        time_per_token_s = self._chooser.get_time_per_token(self._service)
        return time_per_token_s * request.estimate.output_tokens if time_per_token_s else 0.0

    def _grant_permits(self, capacity: int) -> None:
        """Grant permits to queued requests while capacity is left."""
        while len(self._queue):
            queued = self._queue.pop(lambda team: self._may_run(team, capacity))
            if queued is None:
                return
            self._running[queued.team] = self._running.get(queued.team, 0) + 1
            queued.granted.set()

    def _may_run(self, team: str, capacity: int) -> bool:
        """Return whether a team may start a request; the reserve is for teams below their share."""
        total = sum(self._running.values())
        if not self._rules.is_fair:
            return total < capacity
        reserve = self._compute_reserve(capacity)
        if self._has_share_left(team, capacity - reserve):
            return total < capacity
        return total < capacity - reserve

    def _compute_reserve(self, capacity: int) -> int:
        """Return the capacity reserved for active teams that have no queued requests, if any."""
        if len(self._active) <= 1 or all(self._queue.count(team) for team in self._active):
            return 0
        return max(1, round(RESERVE_SHARE * capacity))

    def _has_share_left(self, team: str, capacity: int) -> bool:
        """Return whether a team runs fewer requests than its max-min fair share of a capacity."""
        demands = [
            (self._running.get(name, 0) + self._queue.count(name), weight)
            for name, (_, weight) in self._active.items()
        ]
        _, weight = self._active[team]
        level = compute_fair_level(demands, capacity)
        return self._running.get(team, 0) < max(1.0, level * weight)

    def _is_under_share(self, team: str) -> bool:
        with self._lock:
            capacity = self._compute_capacity()
            spare = capacity - self._compute_reserve(capacity)
            return self._rules.is_fair and self._has_share_left(team, spare)

    def _record_active_team(self, team: str, weight: float) -> None:
        now = time.monotonic()
        self._active[team] = (now, weight)
        for name, (seen_at, _) in list(self._active.items()):
            is_idle = not self._running.get(name) and not self._queue.count(name)
            if is_idle and now - seen_at > ACTIVE_TEAM_TTL_S:
                del self._active[name]

    def _sum_weights(self) -> float:
        return sum(weight for _, weight in self._active.values())

    def _compute_capacity(self) -> int:
        capacity = self._chooser.compute_capacity(self._service)
        return max(1, min(capacity, self._rules.max_running))


class AdmissionController:
    """The admission queues of all services at one entry; some policies have none."""

    def __init__(self, policy: Policy, chooser: ReplicaChooser, threads: int) -> None:
        self._chooser = chooser
        self._rules = make_rules(policy, threads)
        self._queues: dict[str, AdmissionQueue] = {}
        self._lock = threading.Lock()

    def admit(self, request: CallerRequest, service: Service) -> Permit:
        """Wait for a permit; raise `Overloaded`, `DeadlineExceeded` or `NoReplica`."""
        if self._rules is None:
            return Permit(None, request.team, False)
        with self._lock:
            if service.name not in self._queues:
                self._queues[service.name] = AdmissionQueue(service, self._chooser, self._rules)
            queue = self._queues[service.name]
        return queue.admit(request)


def make_rules(policy: Policy, threads: int) -> AdmissionRules | None:
    """Return the rules of a policy's admission queues, None for a policy without queues."""
    max_running = max(1, int(threads * RUNNING_THREADS_SHARE))
    max_waiting = max(1, int(threads * WAITING_THREADS_SHARE))
    match policy:
        case Adaptive():
            return AdmissionRules(True, True, max_running, max_waiting)
        case FirstCome():
            return AdmissionRules(False, False, max_running, max_waiting)
    return None
