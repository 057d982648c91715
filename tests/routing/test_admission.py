"""Admission: refusals are early and certain, and a burst leaves room for others."""

from __future__ import annotations

import threading
import time
from concurrent.futures import ThreadPoolExecutor, as_completed

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hibiscustray.deployments import Service
from hibiscustray.exceptions import DeadlineExceeded, NoReplica, NotRun, Overloaded
from hibiscustray.requests import CallerRequest, Estimate
from hibiscustray.routing import admission
from hibiscustray.routing.admission import AdmissionController, GateRules, ServiceGate, make_rules
from hibiscustray.routing.policies import Adaptive, FirstCome, RoundRobin

SERVICE = Service("guide-llm")


class FixedChooser:
    """A service of fixed capacity and speed."""

    def __init__(self, capacity: int, unit_s: float | None = None) -> None:
        self.capacity = capacity
        self.unit_s = unit_s

    def read_capacity(self, service: Service) -> int:
        return self.capacity

    def is_served(self, service: Service) -> bool:
        return self.capacity > 0

    def read_unit(self, service: Service) -> float | None:
        return self.unit_s


def make_request(team: str, seconds: float = 30.0, tokens: int = 10) -> CallerRequest:
    """Return a chat request of a team."""
    return CallerRequest(
        id="r",
        team=team,
        service=SERVICE.name,
        path="/",
        body=b"",
        deadline=time.monotonic() + seconds,
        is_idempotent=True,
        is_stream=False,
        estimate=Estimate(0, tokens),
    )


def make_gate(capacity: int, unit_s: float | None = None, waiting: int = 8) -> ServiceGate:
    """Return a fair gate."""
    rules = GateRules(is_fair=True, refuses_early=True, max_running=64, max_waiting=waiting)
    return ServiceGate(SERVICE, FixedChooser(capacity, unit_s), rules)


def test_a_rush_leaves_a_reserve_to_a_team_under_its_share():
    gate = make_gate(8)
    gate.enter(make_request("quiet")).__exit__()
    with ThreadPoolExecutor(12) as pool:
        rush = [pool.submit(gate.enter, make_request("rush", 1.0)) for _ in range(12)]
        errors = [future.exception() for future in rush]
    refused = [error for error in errors if error is not None]
    assert len(refused) > 4
    assert all(isinstance(error, Overloaded) for error in refused)
    assert gate.enter(make_request("quiet", 0.2)).is_under_share


def test_a_team_alone_gets_the_whole_capacity():
    gate = make_gate(8)
    permits = [gate.enter(make_request("only")) for _ in range(8)]
    assert len(permits) == 8
    with pytest.raises(Overloaded):
        gate.enter(make_request("only", 0.01))


def test_a_request_that_cannot_finish_in_time_is_refused_at_once():
    gate = make_gate(1, unit_s=0.1)
    gate.enter(make_request("a"))
    with pytest.raises(Overloaded) as raised:
        gate.enter(make_request("a", seconds=1.0, tokens=20))
    assert raised.value.retry_after > 0


def test_a_full_queue_refuses_the_team_that_fills_it_only():
    gate = make_gate(1, waiting=6)
    first = gate.enter(make_request("quiet"))
    with ThreadPoolExecutor(9) as pool:
        rush = [pool.submit(gate.enter, make_request("rush", 8.0)) for _ in range(8)]
        refused = next(as_completed(rush)).exception()
        quiet = pool.submit(gate.enter, make_request("quiet", 8.0))
        first.__exit__()
        for future in as_completed([*rush, quiet]):
            if future.exception() is None:
                future.result().__exit__()
    assert isinstance(refused, Overloaded)
    assert quiet.exception() is None


def test_first_come_refuses_only_at_the_deadline():
    admission = AdmissionController(FirstCome(24), FixedChooser(1), 64)
    admission.enter(make_request("a"), SERVICE)
    with pytest.raises(DeadlineExceeded):
        admission.enter(make_request("b", 0.05), SERVICE)


def test_a_policy_without_a_queue_admits_everything():
    admission = AdmissionController(RoundRobin(), FixedChooser(1), 64)
    permits = [admission.enter(make_request("a", 0.01), SERVICE) for _ in range(10)]
    assert len(permits) == 10


@given(threads=st.integers(1, 512))
def test_queue_and_running_requests_leave_threads_for_refusals(threads):
    rules = make_rules(Adaptive(24), threads)
    assert rules.max_running >= 1
    assert threads < 4 or rules.max_running + rules.max_waiting < threads


@given(
    capacity=st.integers(1, 4),
    requests=st.lists(
        st.tuples(st.sampled_from("abc"), st.floats(0.001, 0.03)), min_size=1, max_size=16
    ),
)
def test_every_request_is_either_permitted_or_refused_and_never_over_capacity(capacity, requests):
    gate = make_gate(capacity)
    running, peak, lock = 0, 0, threading.Lock()

    def run(team: str, seconds: float) -> str:
        nonlocal running, peak
        try:
            with gate.enter(make_request(team, seconds)):
                with lock:
                    running += 1
                    peak = max(peak, running)
                time.sleep(0.002)
                with lock:
                    running -= 1
                return "ran"
        except NotRun:
            return "refused"

    with ThreadPoolExecutor(16) as pool:
        outcomes = list(pool.map(lambda pair: run(*pair), requests))
    assert set(outcomes) <= {"ran", "refused"}
    assert peak <= capacity
    assert sum(gate._running.values()) == 0
    assert len(gate._queue) == 0


def test_those_who_wait_for_a_service_without_a_replica_are_refused_long_before_the_deadline(
    monkeypatch,
):
    monkeypatch.setattr(admission, "NO_REPLICA_WAIT_S", 0.05)
    gate = make_gate(0)
    gate.enter(make_request("only"))
    request = make_request("only", seconds=3600.0)
    with pytest.raises(NoReplica):
        gate.enter(request)
    assert request.time_left() > 1800.0
