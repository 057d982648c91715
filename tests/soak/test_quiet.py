"""The guarantee of requests at quiet replicas: deliberate violations, and what excuses an entry."""

from __future__ import annotations

import dataclasses

import pytest

from hibiscustray.soak.disturbances import DisturbanceLog
from hibiscustray.soak.guarantees import GuaranteeChecker
from hibiscustray.soak.reading import ResponseEnd
from hibiscustray.soak.records import SoakOutcome, SoakRequest, make_event

REQUEST = SoakRequest("r1", "look", 0, "/book/look/1", b"", "key", sent_at=10.0, deadline_s=2.5)
FAILED = SoakOutcome(REQUEST, 502, False, b"", ResponseEnd.CERTAIN, 11.2)
STREAM = dataclasses.replace(REQUEST, id="r2", kind="draft", path="/draft/1", event_count=8)
TRUNCATED = SoakOutcome(STREAM, 200, True, make_event("r2", 1), ResponseEnd.CUT, 11.2)


@pytest.fixture
def entries() -> DisturbanceLog:
    return DisturbanceLog()


@pytest.fixture
def checker(entries) -> GuaranteeChecker:
    """Return a checker with two replicas for each kind; replica 1 is quiet from 9.8 s to 11.5 s."""
    checker = GuaranteeChecker(entries, 0.0)
    checker.quiet.replicas = dict.fromkeys(("book", "look", "draft"), (0, 1))
    checker.quiet.quiet.add(1, 9.8, 11.5)
    return checker


def judge(checker: GuaranteeChecker, outcome: SoakOutcome, *run_replicas: int) -> list[str]:
    """Return the rules of violations after a request ran at replicas and ended."""
    request = outcome.request
    checker.record_request(request)
    for replica in run_replicas:
        checker.record_run(request.id, request.path, request.body, replica, request.sent_at + 0.1)
    checker.record_outcome(outcome)
    checker.finish(20.0)
    return [violation.rule for violation in checker.violations]


@pytest.mark.parametrize(
    "outcome",
    [
        FAILED,
        dataclasses.replace(FAILED, status=504),
        dataclasses.replace(FAILED, status=0),
        dataclasses.replace(FAILED, request=dataclasses.replace(REQUEST, kind="book")),
        dataclasses.replace(TRUNCATED, status=502, is_sealed=False),
        TRUNCATED,
    ],
    ids=["502", "504", "closed", "booking", "stream before its head", "stream after an event"],
)
def test_a_request_ended_before_its_deadline_beside_a_quiet_replica_is_a_violation(
    checker, outcome
):
    assert judge(checker, outcome, *((1,) if outcome == TRUNCATED else ())) == ["QUIET"]
    assert checker.checks["QUIET"] == 1


@pytest.mark.parametrize(
    "changes",
    [{"ended_at": 12.45}, {"status": 503}, {"status": 429}, {"is_sealed": True}],
    ids=["deadline", "refused", "too many", "the replica's own"],
)
def test_a_request_that_was_answered_or_waited_for_is_no_violation(checker, changes):
    assert judge(checker, dataclasses.replace(FAILED, **changes)) == []
    assert checker.checks["QUIET"] == 1


def test_a_request_that_met_no_quiet_replica_is_not_checked(checker):
    later = dataclasses.replace(REQUEST, sent_at=11.6)
    assert judge(checker, dataclasses.replace(FAILED, request=later, ended_at=12.0)) == []
    assert checker.checks["QUIET"] == 0


@pytest.mark.parametrize("log", ["links", "ends"])
@pytest.mark.parametrize(("begin", "end", "is_violation"), [(9.0, 9.4, True), (9.0, 9.6, False)])
def test_a_cut_or_ended_replica_of_the_service_excuses(checker, log, begin, end, is_violation):
    logs = {"links": checker.replica_links, "ends": checker.quiet.ends}
    logs[log].add(0, begin, end)
    logs[log].add(2, begin, 11.0)
    assert judge(checker, FAILED) == ["QUIET"] * is_violation


@pytest.mark.parametrize(("replica", "is_violation"), [(0, False), (1, True)])
def test_a_wrong_response_excuses_only_if_the_request_ran_at_that_replica(
    checker, replica, is_violation
):
    checker.quiet.faults.add(0, 9.0, 12.0)
    assert judge(checker, FAILED, replica) == ["QUIET"] * is_violation


def test_a_paused_or_killed_entry_is_excused_and_a_disturbed_store_is_not(checker, entries):
    entries.add(None, 9.0, 12.0)
    entries.add(1, 9.0, 12.0, is_of_process=True)
    assert judge(checker, FAILED) == ["QUIET"]
    entries.add(0, 9.0, 10.5, is_of_process=True)
    assert judge(checker, dataclasses.replace(FAILED, ended_at=11.3)) == ["QUIET"]


@pytest.mark.parametrize(
    ("stop_at", "status", "is_violation"),
    [(9.0, 502, True), (9.0, 0, True), (7.2, 502, True), (7.2, 0, False), (3.9, 502, False)],
    ids=["early", "early closed", "late", "late closed", "beyond grace"],
)
@pytest.mark.parametrize("kind", ["look", "draft"])
def test_an_entry_that_is_stopping_still_waits_for_what_it_has_read(
    checker, entries, stop_at, status, is_violation, kind
):
    entries.add(0, stop_at, 13.0, is_of_process=True, is_graceful=True)
    request = dataclasses.replace(REQUEST, kind=kind)
    outcome = dataclasses.replace(FAILED, request=request, status=status)
    assert judge(checker, outcome) == ["QUIET"] * is_violation


def test_an_entry_that_is_asked_to_stop_again_has_been_stopping_since_the_first_time(
    checker, entries
):
    for stop_at in (8.5, 7.2):
        entries.add(0, stop_at, 13.0, is_of_process=True, is_graceful=True)
    assert judge(checker, dataclasses.replace(FAILED, status=0)) == []


@pytest.mark.parametrize(
    ("outcome", "is_violation"),
    [
        (dataclasses.replace(TRUNCATED, status=502, is_sealed=False), False),
        (TRUNCATED, True),
        (FAILED, True),
    ],
    ids=["stream before its head", "stream after an event", "no stream"],
)
def test_only_a_stream_that_must_not_begin_on_outdated_weights_may_end(
    checker, outcome, is_violation
):
    checker.record_target_version(2, 4.5)
    assert judge(checker, outcome, *((0,) if outcome == TRUNCATED else ())) == (
        ["QUIET"] * is_violation
    )


def test_a_request_that_a_quiet_replica_reads_late_is_no_violation_of_its_drain(checker):
    checker.record_drain(1, 7.0)
    checker.record_request(REQUEST)
    checker.record_run(REQUEST.id, REQUEST.path, REQUEST.body, 1, 11.55)
    assert checker.violations == []
    checker.record_run(REQUEST.id, REQUEST.path, REQUEST.body, 1, 12.5)
    assert [violation.rule for violation in checker.violations] == ["DRAIN"]
