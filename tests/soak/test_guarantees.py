"""Each guarantee that a soak checks: a deliberate violation is reported under its rule."""

from __future__ import annotations

import dataclasses

import pytest

from hibiscustray.soak.guarantees import (
    DisturbanceLog,
    GuaranteeChecker,
    SoakOutcome,
    SoakRequest,
    make_body,
    make_event,
)

REQUEST = SoakRequest("r1", "book", 0, "/book/1", b"seat", "key", sent_at=10.0, deadline_s=2.5)
COMPLETE_BODY = make_body("r1", b"seat", 0)
SUCCESS = SoakOutcome(REQUEST, 200, True, COMPLETE_BODY, True, 10.1)


@pytest.fixture
def disturbances() -> DisturbanceLog:
    return DisturbanceLog()


@pytest.fixture
def checker(disturbances) -> GuaranteeChecker:
    checker = GuaranteeChecker(disturbances, 0.0)
    checker.record_request(REQUEST)
    return checker


def record_run(
    checker: GuaranteeChecker, request: SoakRequest = REQUEST, at: float = 10.05, replica: int = 0
) -> None:
    checker.record_run(request.id, request.path, request.body, replica, at)


def get_violated_rules(checker: GuaranteeChecker) -> list[str]:
    return [violation.rule for violation in checker.violations]


def test_a_request_that_runs_once_and_gets_its_response_violates_nothing(checker):
    record_run(checker)
    checker.record_outcome(SUCCESS)
    assert get_violated_rules(checker) == []
    assert checker.checks["MIXED"] == checker.checks["TWICE"] == checker.checks["ENDED"] == 1


def test_a_booking_that_runs_twice_is_a_violation(checker):
    record_run(checker)
    record_run(checker)
    assert get_violated_rules(checker) == ["TWICE"]


def test_a_lookup_may_run_twice(checker):
    lookup = dataclasses.replace(REQUEST, id="r2", kind="look")
    checker.record_request(lookup)
    record_run(checker, lookup)
    record_run(checker, lookup)
    assert get_violated_rules(checker) == []


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refused_booking_that_has_run_or_runs_later_is_a_violation(checker, status):
    refused = dataclasses.replace(SUCCESS, status=status, is_sealed=False, body=b"")
    record_run(checker)
    checker.record_outcome(refused)
    later = dataclasses.replace(REQUEST, id="r2")
    checker.record_request(later)
    checker.record_outcome(dataclasses.replace(refused, request=later))
    record_run(checker, later)
    assert get_violated_rules(checker) == ["REFUSED", "REFUSED"]


@pytest.mark.parametrize("status", [502, 504, 0])
def test_a_failed_booking_may_have_run(checker, status):
    record_run(checker)
    checker.record_outcome(dataclasses.replace(SUCCESS, status=status, is_sealed=False, body=b""))
    assert get_violated_rules(checker) == []


@pytest.mark.parametrize(
    "changes",
    [
        {"is_sealed": False},
        {"body": COMPLETE_BODY[:-3]},
        {"body": make_body("r9", b"seat", 0)},
        {"body": COMPLETE_BODY + b"more"},
    ],
    ids=["no seal", "truncated", "other request", "extra"],
)
def test_a_success_without_the_complete_response_of_the_replica_is_a_violation(checker, changes):
    record_run(checker)
    checker.record_outcome(dataclasses.replace(SUCCESS, **changes))
    assert "MIXED" in get_violated_rules(checker)


def test_a_success_without_a_run_is_a_violation(checker):
    checker.record_outcome(SUCCESS)
    assert get_violated_rules(checker) == ["MIXED"]


def test_a_stream_with_events_out_of_order_is_a_violation(checker):
    draft = dataclasses.replace(REQUEST, id="r3", kind="draft", event_count=3)
    checker.record_request(draft)
    record_run(checker, draft)
    body = b"".join(make_event("r3", number) for number in (1, 3, 2))
    checker.record_outcome(dataclasses.replace(SUCCESS, request=draft, body=body))
    assert "MIXED" in get_violated_rules(checker)


def test_a_stream_that_the_caller_sees_truncated_is_no_violation(checker):
    draft = dataclasses.replace(REQUEST, id="r3", kind="draft", event_count=3)
    checker.record_request(draft)
    record_run(checker, draft)
    truncated = dataclasses.replace(
        SUCCESS, request=draft, body=make_event("r3", 1), is_ended=False
    )
    checker.record_outcome(truncated)
    assert get_violated_rules(checker) == []


@pytest.mark.parametrize(
    "changes", [{"id": "r8"}, {"path": "/book/2"}, {"body": b"other"}], ids=str
)
def test_a_run_without_a_matching_request_is_a_violation(checker, changes):
    record_run(checker, dataclasses.replace(REQUEST, **changes))
    assert get_violated_rules(checker) == ["UNASKED"]


def test_a_response_long_after_the_deadline_is_a_violation_unless_disturbed(checker, disturbances):
    record_run(checker)
    late = dataclasses.replace(SUCCESS, ended_at=14.0)
    checker.record_outcome(late)
    assert get_violated_rules(checker) == ["ENDED"]
    disturbances.add(0, 11.0, 12.0)
    checker.record_outcome(late)
    assert get_violated_rules(checker) == ["ENDED"], "an entry that was disturbed may be late"


def test_a_revoked_key_that_is_admitted_is_a_violation_after_the_bound(checker, disturbances):
    checker.record_revocation("key", 5.0)
    record_run(checker)
    checker.record_outcome(SUCCESS)
    assert get_violated_rules(checker) == ["CONFIG"]
    early = dataclasses.replace(REQUEST, id="r2", sent_at=7.0)
    checker.record_request(early)
    record_run(checker, early)
    checker.record_outcome(
        dataclasses.replace(SUCCESS, request=early, body=make_body("r2", b"seat", 0), ended_at=7.1)
    )
    assert get_violated_rules(checker) == ["CONFIG"], "an entry has 3 s to apply a configuration"
    disturbances.add(None, 4.0, 6.0)
    checker.record_outcome(SUCCESS)
    assert get_violated_rules(checker) == ["CONFIG"], "the store was disturbed"


def test_a_request_to_a_replica_long_after_its_drain_began_is_a_violation(checker):
    checker.record_drain(4, 5.0)
    record_run(checker, replica=4)
    assert get_violated_rules(checker) == ["DRAIN"]
    checker.record_drain(4, None)
    other = dataclasses.replace(REQUEST, id="r2")
    checker.record_request(other)
    record_run(checker, other, replica=4)
    assert get_violated_rules(checker) == ["DRAIN"]
