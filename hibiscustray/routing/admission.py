"""Admission at an entry: a queue per service that is fair between teams and keeps deadlines."""

from __future__ import annotations

import threading
import time
from dataclasses import dataclass, field

from hibiscustray.deployments import Service
from hibiscustray.exceptions import DeadlineExceeded, NoReplica, Overloaded
from hibiscustray.requests import CallerRequest
from hibiscustray.routing.choice import ReplicaChooser
from hibiscustray.routing.fairness import FairQueue, find_fair_level
from hibiscustray.routing.policies import Adaptive, FirstCome, Policy

RECHECK_S = 0.1
NO_REPLICA_WAIT_S = 5.0
RETRY_AFTER_S = 1.0
ACTIVE_KEPT_S = 30.0
RESERVE_SHARE = 0.25
WAITING_THREADS_SHARE = 0.3
RUNNING_THREADS_SHARE = 0.6
FREE_WAITING_SHARE = 0.5
HOLD_SMOOTHING = 0.05
DEFAULT_HOLD_S = 0.5
EVERYONE = ""


@dataclass(frozen=True)
class GateRules:
    """What a gate does; without fairness all teams share one queue in order of arrival."""

    is_fair: bool
    refuses_early: bool
    max_running: int
    max_waiting: int


@dataclass
class Waiter:
    """A request in the queue."""

    team: str
    granted: threading.Event = field(default_factory=threading.Event)


class Permit:
    """The right to have one request outstanding, given back at its end."""

    def __init__(self, gate: ServiceGate | None, team: str, is_under_share: bool) -> None:
        self._gate = gate
        self._team = team
        self._started_at = time.monotonic()
        self.is_under_share = is_under_share

    def adjust_priority(self, priority: int) -> int:
        """Return the priority at the engine: a team under its share goes before the others."""
        return max(0, priority - 1) if self.is_under_share else priority

    def __enter__(self) -> Permit:
        return self

    def __exit__(self, *_: object) -> None:
        if self._gate is not None:
            self._gate.leave(self._team, time.monotonic() - self._started_at)


class ServiceGate:
    """The queue of one service: bounded requests outstanding, the rest in turn by team.

    A team at or over its share of the capacity leaves a reserve free, so that a request of a
    team under its share finds a place at once.
    """

    def __init__(self, service: Service, chooser: ReplicaChooser, rules: GateRules) -> None:
        self._service = service
        self._chooser = chooser
        self._rules = rules
        self._queue: FairQueue[Waiter] = FairQueue()
        self._running: dict[str, int] = {}
        self._active: dict[str, tuple[float, float]] = {}
        self._hold_s = DEFAULT_HOLD_S
        self._lock = threading.Lock()

    def enter(self, request: CallerRequest) -> Permit:
        """Wait for a place; raise `Overloaded` or `DeadlineExceeded`, sure that nothing ran."""
        team = request.team if self._rules.is_fair else EVERYONE
        waiter = Waiter(team)
        with self._lock:
            self._note_active(team, request.weight)
            capacity = self._read_capacity()
            if not self._may_run(team, capacity) or self._queue.count(team):
                self._refuse_if_hopeless(request, team, capacity)
            self._queue.push(team, request.weight, request.estimate.cost, waiter)
            self._grant(capacity)
        self._await(request, waiter)
        return Permit(self, team, self._is_under_share(team))

    def leave(self, team: str, held_s: float) -> None:
        """Give a place back."""
        with self._lock:
            self._running[team] -= 1
            self._hold_s += HOLD_SMOOTHING * (held_s - self._hold_s)
            self._grant(self._read_capacity())

    def _await(self, request: CallerRequest, waiter: Waiter) -> None:
        service_s = self._estimate_service_s(request)
        hopeless_at = time.monotonic() + NO_REPLICA_WAIT_S
        while not waiter.granted.is_set():
            spare_s = request.time_left() - service_s
            if spare_s > 0:
                waiter.granted.wait(min(spare_s, RECHECK_S))
            with self._lock:
                if waiter.granted.is_set():
                    return
                if spare_s <= 0 and self._queue.remove(waiter.team, waiter):
                    raise self._make_late_refusal(service_s)
                capacity = self._read_capacity()
                if self._chooser.is_served(self._service):
                    hopeless_at = time.monotonic() + NO_REPLICA_WAIT_S
                elif time.monotonic() > hopeless_at and self._queue.remove(waiter.team, waiter):
                    raise NoReplica(f"no replica serves {self._service.name}", RETRY_AFTER_S)
                self._grant(capacity)

    def _make_late_refusal(self, service_s: float) -> Exception:
        if self._rules.refuses_early:
            return Overloaded("the queue left too little time to answer", self._hold_s)
        return DeadlineExceeded("the deadline passed in the queue")

    def _refuse_if_hopeless(self, request: CallerRequest, team: str, capacity: int) -> None:
        if not self._rules.refuses_early:
            return
        share = request.weight / max(request.weight, self._sum_weights())
        waiting = self._queue.count(team)
        free = self._rules.max_waiting - len(self._queue)
        if waiting >= max(1.0, self._rules.max_waiting * share, FREE_WAITING_SHARE * free):
            raise Overloaded(f"team {team} has {waiting} requests waiting", self._hold_s)
        rate = max(1, capacity) * self._backlogged_share(team, request.weight) / self._hold_s
        wait_s = (waiting + 1) / rate
        if wait_s + self._estimate_service_s(request) > request.time_left():
            raise Overloaded(f"the wait is {wait_s:.1f} s, too long for the deadline", wait_s)

    def _backlogged_share(self, team: str, weight: float) -> float:
        total = self._queue.total_weight() + (0.0 if self._queue.count(team) else weight)
        return weight / total

    def _estimate_service_s(self, request: CallerRequest) -> float:
        if not self._rules.refuses_early:
            return 0.0
        unit_s = self._chooser.read_unit(self._service)
        return unit_s * request.estimate.output_tokens if unit_s else 0.0

    def _grant(self, capacity: int) -> None:
        """Let waiting requests run while there is room."""
        while len(self._queue):
            waiter = self._queue.pop(lambda team: self._may_run(team, capacity))
            if waiter is None:
                return
            self._running[waiter.team] = self._running.get(waiter.team, 0) + 1
            waiter.granted.set()

    def _may_run(self, team: str, capacity: int) -> bool:
        total = sum(self._running.values())
        if not self._rules.is_fair:
            return total < capacity
        reserve = self._read_reserve(capacity)
        if self._has_share_left(team, capacity - reserve):
            return total < capacity
        return total < capacity - reserve

    def _read_reserve(self, capacity: int) -> int:
        """Return the places kept for active teams that have nothing waiting, none without such."""
        if len(self._active) <= 1 or all(self._queue.count(team) for team in self._active):
            return 0
        return max(1, round(RESERVE_SHARE * capacity))

    def _has_share_left(self, team: str, capacity: int) -> bool:
        demands = [
            (self._running.get(name, 0) + self._queue.count(name), weight)
            for name, (_, weight) in self._active.items()
        ]
        _, weight = self._active[team]
        level = find_fair_level(demands, capacity)
        return self._running.get(team, 0) < max(1.0, level * weight)

    def _is_under_share(self, team: str) -> bool:
        with self._lock:
            capacity = self._read_capacity()
            spare = capacity - self._read_reserve(capacity)
            return self._rules.is_fair and self._has_share_left(team, spare)

    def _note_active(self, team: str, weight: float) -> None:
        now = time.monotonic()
        self._active[team] = (now, weight)
        for name, (seen_at, _) in list(self._active.items()):
            is_idle = not self._running.get(name) and not self._queue.count(name)
            if is_idle and now - seen_at > ACTIVE_KEPT_S:
                del self._active[name]

    def _sum_weights(self) -> float:
        return sum(weight for _, weight in self._active.values())

    def _read_capacity(self) -> int:
        capacity = self._chooser.read_capacity(self._service)
        return max(1, min(capacity, self._rules.max_running))


class AdmissionController:
    """The gates of all services at one entry, by policy."""

    def __init__(self, policy: Policy, chooser: ReplicaChooser, threads: int) -> None:
        self._chooser = chooser
        self._rules = make_rules(policy, threads)
        self._gates: dict[str, ServiceGate] = {}
        self._lock = threading.Lock()

    def enter(self, request: CallerRequest, service: Service) -> Permit:
        """Wait for a place for a request; raise `Overloaded` or `DeadlineExceeded`."""
        if self._rules is None:
            return Permit(None, request.team, False)
        with self._lock:
            if service.name not in self._gates:
                self._gates[service.name] = ServiceGate(service, self._chooser, self._rules)
            gate = self._gates[service.name]
        return gate.enter(request)


def make_rules(policy: Policy, threads: int) -> GateRules | None:
    """Return the rules of a policy's gates, None for a policy without a queue."""
    max_running = max(1, int(threads * RUNNING_THREADS_SHARE))
    max_waiting = max(1, int(threads * WAITING_THREADS_SHARE))
    match policy:
        case Adaptive():
            return GateRules(True, True, max_running, max_waiting)
        case FirstCome():
            return GateRules(False, False, max_running, max_waiting)
    return None
