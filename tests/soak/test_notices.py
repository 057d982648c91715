"""The guarantees on what replicas ask of an entry: deliberate violations, and what excuses one."""

from __future__ import annotations

import dataclasses

import pytest

from hibiscustray.platform import standins
from hibiscustray.soak import ReplicaFault, ReplicaPushback, SoakOptions, run_soak
from hibiscustray.soak.disturbances import DisturbanceLog
from hibiscustray.soak.guarantees import GuaranteeChecker
from hibiscustray.soak.reading import ResponseEnd
from hibiscustray.soak.records import SoakOutcome, SoakRequest, make_body
from hibiscustray.soak.replicas import SoakReplica

REQUEST = SoakRequest("r", "look", 0, "/book/look/1", b"", "key", 0.0, 2.5)
REPLICA = 2


@pytest.fixture
def entries() -> DisturbanceLog:
    return DisturbanceLog()


@pytest.fixture
def checker(entries) -> GuaranteeChecker:
    return GuaranteeChecker(entries, 0.0)


def arrive(checker, *times: float, entry: int = 0, replica: int = REPLICA) -> None:
    """Record requests that reach a replica just after they were sent."""
    for at in times:
        request = dataclasses.replace(REQUEST, id=f"{entry}-{at}", entry=entry, sent_at=at)
        checker.record_request(request)
        checker.record_arrival(request.id, replica, at)


def push_back(checker, at: float, seconds: float, entry: int = 0) -> None:
    """Record a request that a replica turns away."""
    arrive(checker, at, entry=entry)
    checker.record_pushback(f"{entry}-{at}", REPLICA, seconds, at)


def judge(checker) -> list[str]:
    checker.finish(60.0)
    return [violation.rule for violation in checker.violations]


# Pushbacks


@pytest.mark.parametrize(("count", "is_violation"), [(2, False), (3, True)])
def test_more_than_two_requests_in_the_time_of_a_pushback_are_a_violation(
    checker, count, is_violation
):
    push_back(checker, 20.0, 3.0)
    arrive(checker, *(20.6 + 0.1 * n for n in range(count)))
    assert judge(checker) == ["PUSHBACK"] * is_violation


def test_requests_just_after_the_answer_and_after_its_time_do_not_count(checker):
    push_back(checker, 20.0, 3.0)
    arrive(checker, *(20.01 + 0.04 * n for n in range(12)), *(23.01 + 0.1 * n for n in range(9)))
    assert judge(checker) == []


def test_requests_of_another_entry_and_at_another_replica_do_not_count(checker):
    push_back(checker, 20.0, 3.0)
    arrive(checker, *(20.6 + 0.1 * n for n in range(9)), entry=1)
    arrive(checker, *(20.65 + 0.1 * n for n in range(9)), replica=3)
    assert judge(checker) == []


@pytest.mark.parametrize(("store_only", "is_violation"), [(True, True), (False, False)])
def test_only_a_disturbed_process_is_excused(checker, entries, store_only, is_violation):
    push_back(checker, 20.0, 3.0)
    entries.add(0, 20.5, 21.0, is_of_process=not store_only)
    arrive(checker, *(21.2 + 0.1 * n for n in range(3)))
    assert judge(checker) == ["PUSHBACK"] * is_violation


def test_next_start_of_the_replica_ends_a_pushback(checker):
    push_back(checker, 20.0, 9.0)
    checker.record_start(REPLICA, 21.0)
    arrive(checker, *(21.2 + 0.1 * n for n in range(9)))
    assert judge(checker) == []


@pytest.mark.parametrize("log", ["replica_links", "quiet"])
def test_answer_that_was_held_back_does_not_count(checker, log):
    held = checker.replica_links if log == "replica_links" else checker.quiet.quiet
    held.add(REPLICA, 20.2, 21.0)
    push_back(checker, 20.0, 9.0)
    arrive(checker, *(25.0 + 0.1 * n for n in range(9)))
    assert judge(checker) == []


def test_requests_that_a_quiet_replica_read_late_do_not_count(checker):
    push_back(checker, 20.0, 3.0)
    checker.quiet.quiet.add(REPLICA, 20.7, 22.0)
    arrive(checker, *(22.1 + 0.01 * n for n in range(5)))
    assert judge(checker) == []


# Replicas that say that they leave


def leave(checker, at: float, status: int = 200) -> None:
    """Record a request to which a replica responds that it leaves, and its outcome."""
    arrive(checker, at)
    request = dataclasses.replace(REQUEST, id=f"0-{at}", sent_at=at)
    checker.record_run(request.id, request.path, request.body, REPLICA, at)
    checker.record_leaving(request.id, REPLICA)
    body = make_body(request.id, b"", 0)
    end = ResponseEnd.CERTAIN if status == 200 else ResponseEnd.CUT
    checker.record_outcome(SoakOutcome(request, status, True, body, end, at + 0.1))


@pytest.mark.parametrize(("sent_at", "is_violation"), [(22.05, False), (22.15, True)])
def test_request_sent_later_than_the_drain_time_to_a_replica_that_leaves_is_a_violation(
    checker, sent_at, is_violation
):
    leave(checker, 20.0)
    arrive(checker, sent_at)
    assert judge(checker) == ["DRAIN"] * is_violation


def test_answer_that_was_not_passed_on_tells_nothing(checker):
    leave(checker, 20.0, status=0)
    arrive(checker, 25.0)
    assert judge(checker) == []


def test_next_start_of_a_replica_that_left_gets_requests(checker):
    leave(checker, 20.0)
    checker.record_start(REPLICA, 21.0)
    arrive(checker, 25.0)
    assert judge(checker) == []


def test_entry_that_was_paused_since_is_excused_for_a_replica_that_leaves(checker, entries):
    leave(checker, 20.0)
    entries.add(0, 21.0, 22.0, is_of_process=True)
    arrive(checker, 25.0)
    assert judge(checker) == []


# Real entries

OPTIONS = SoakOptions(11, 9.0, entries=2, replicas=4, callers=8)
SCHEDULE = (
    ReplicaPushback(0.5, 4.0, 0, "2.5"),
    ReplicaPushback(0.8, 4.0, 1, "4"),
    ReplicaFault(1.0, 4.0, 2, "leave"),
    ReplicaFault(1.5, 1.5, 3, "quiet"),
)


def test_real_entries_send_nothing_to_replicas_that_push_back_or_leave():
    report = run_soak(OPTIONS, standins, SCHEDULE)
    assert report.violations == ()
    assert report.checks["PUSHBACK"] >= 4
    assert report.checks["DRAIN"] >= 1


def test_entries_that_cannot_read_a_pushback_are_reported(monkeypatch):
    reject = standins.reject
    monkeypatch.setattr(standins, "reject", lambda status=503, **headers: reject(status))
    report = run_soak(OPTIONS, standins, SCHEDULE[:2])
    assert {violation.rule for violation in report.violations} == {"PUSHBACK"}


def test_entries_that_cannot_read_that_a_replica_leaves_are_reported(monkeypatch):
    monkeypatch.setattr(SoakReplica, "_headers", {})
    report = run_soak(OPTIONS, standins, SCHEDULE[2:3])
    assert {violation.rule for violation in report.violations} == {"DRAIN"}
