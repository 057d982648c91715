"""Admission refuses early, and a burst of one team leaves capacity for the others."""

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
from hibiscustray.routing.admission import (
    AdmissionController,
    AdmissionQueue,
    AdmissionRules,
    make_rules,
)
from hibiscustray.routing.policies import Adaptive, FirstCome, RoundRobin

SERVICE = Service("guide-llm")


class FixedChooser:
    """A chooser for a service of fixed capacity and time per token."""

    def __init__(self, capacity: int, time_per_token_s: float | None = None) -> None:
        self.capacity = capacity
        self.time_per_token_s = time_per_token_s

    def compute_capacity(self, service: Service) -> int:
        return self.capacity

    def has_replica(self, service: Service) -> bool:
        return self.capacity > 0

    def get_time_per_token(self, service: Service) -> float | None:
        return self.time_per_token_s


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


def make_queue(
    capacity: int, time_per_token_s: float | None = None, waiting: int = 8
) -> AdmissionQueue:
    """Return an admission queue that is fair and refuses early."""
    rules = AdmissionRules(is_fair=True, refuses_early=True, max_running=64, max_waiting=waiting)
    return AdmissionQueue(SERVICE, FixedChooser(capacity, time_per_token_s), rules)


def test_burst_leaves_reserve_for_team_below_its_share():
    queue = make_queue(8)
    queue.admit(make_request("quiet")).__exit__()
    with ThreadPoolExecutor(12) as pool:
        burst = [pool.submit(queue.admit, make_request("burst", 1.0)) for _ in range(12)]
        errors = [future.exception() for future in burst]
    refused = [error for error in errors if error is not None]
    assert len(refused) > 4
    assert all(isinstance(error, Overloaded) for error in refused)
    assert queue.admit(make_request("quiet", 0.2)).is_under_share


def test_single_active_team_gets_whole_capacity():
    queue = make_queue(8)
    permits = [queue.admit(make_request("only")) for _ in range(8)]
    assert len(permits) == 8
    with pytest.raises(Overloaded):
        queue.admit(make_request("only", 0.01))


def test_request_that_cannot_finish_in_time_is_refused_at_once():
    queue = make_queue(1, time_per_token_s=0.1)
    queue.admit(make_request("a"))
    with pytest.raises(Overloaded) as raised:
        queue.admit(make_request("a", seconds=1.0, tokens=20))
    assert raised.value.retry_after_s > 0


def test_full_queue_refuses_only_the_team_that_fills_it():
    queue = make_queue(1, waiting=6)
    first = queue.admit(make_request("quiet"))
    with ThreadPoolExecutor(9) as pool:
        burst = [pool.submit(queue.admit, make_request("burst", 8.0)) for _ in range(8)]
        refused = next(as_completed(burst)).exception()
        quiet = pool.submit(queue.admit, make_request("quiet", 8.0))
        first.__exit__()
        for future in as_completed([*burst, quiet]):
            if future.exception() is None:
                future.result().__exit__()
    assert isinstance(refused, Overloaded)
    assert quiet.exception() is None


def test_first_come_refuses_only_at_the_deadline():
    controller = AdmissionController(FirstCome(24), FixedChooser(1), 64)
    controller.admit(make_request("a"), SERVICE)
    with pytest.raises(DeadlineExceeded):
        controller.admit(make_request("b", 0.05), SERVICE)


def test_policy_without_queue_admits_everything():
    controller = AdmissionController(RoundRobin(), FixedChooser(1), 64)
    permits = [controller.admit(make_request("a", 0.01), SERVICE) for _ in range(10)]
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
def test_every_request_is_admitted_within_capacity_or_refused(capacity, requests):
    queue = make_queue(capacity)
    running, peak, lock = 0, 0, threading.Lock()

    def run(team: str, seconds: float) -> str:
        nonlocal running, peak
        try:
            with queue.admit(make_request(team, seconds)):
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
    assert sum(queue._running.values()) == 0
    assert len(queue._queue) == 0


def test_service_without_replica_refuses_long_before_deadline(monkeypatch):
    monkeypatch.setattr(admission, "NO_REPLICA_WAIT_S", 0.05)
    queue = make_queue(0)
    queue.admit(make_request("only"))
    request = make_request("only", seconds=3600.0)
    with pytest.raises(NoReplica):
        queue.admit(request)
    assert request.time_left() > 1800.0
