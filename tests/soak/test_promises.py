"""Each promise that a soak checks: broken here on purpose, it is noticed."""

from __future__ import annotations

import dataclasses

import pytest

from hibiscustray.soak.promises import (
    Answered,
    Asked,
    Promises,
    TroubleLog,
    make_body,
    make_event,
)

ASKED = Asked("r1", "book", 0, "/book/1", b"seat", "key", sent_at=10.0, deadline_s=2.5)
WHOLE = make_body("r1", b"seat", 0)
GOOD = Answered(ASKED, 200, True, WHOLE, True, 10.1)


@pytest.fixture
def troubles() -> TroubleLog:
    return TroubleLog()


@pytest.fixture
def promises(troubles) -> Promises:
    promises = Promises(troubles, 0.0)
    promises.note_asked(ASKED)
    return promises


def run(promises: Promises, asked: Asked = ASKED, at: float = 10.05, replica: int = 0) -> None:
    promises.note_run(asked.id, asked.path, asked.body, replica, at)


def rules(promises: Promises) -> list[str]:
    return [violation.rule for violation in promises.violations]


def test_a_request_that_runs_once_and_is_answered_keeps_all_promises(promises):
    run(promises)
    promises.note_answered(GOOD)
    assert rules(promises) == []
    assert promises.checks["MIXED"] == promises.checks["TWICE"] == promises.checks["ENDED"] == 1


def test_a_booking_that_runs_twice(promises):
    run(promises)
    run(promises)
    assert rules(promises) == ["TWICE"]


def test_a_lookup_may_run_twice(promises):
    look = dataclasses.replace(ASKED, id="r2", kind="look")
    promises.note_asked(look)
    run(promises, look)
    run(promises, look)
    assert rules(promises) == []


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refusal_of_a_booking_that_has_run_or_runs_later(promises, status):
    refused = dataclasses.replace(GOOD, status=status, is_sealed=False, body=b"")
    run(promises)
    promises.note_answered(refused)
    later = dataclasses.replace(ASKED, id="r2")
    promises.note_asked(later)
    promises.note_answered(dataclasses.replace(refused, asked=later))
    run(promises, later)
    assert rules(promises) == ["REFUSED", "REFUSED"]


@pytest.mark.parametrize("status", [502, 504, 0])
def test_a_failure_promises_nothing(promises, status):
    run(promises)
    promises.note_answered(dataclasses.replace(GOOD, status=status, is_sealed=False, body=b""))
    assert rules(promises) == []


@pytest.mark.parametrize(
    "changes",
    [
        {"is_sealed": False},
        {"body": WHOLE[:-3]},
        {"body": make_body("r9", b"seat", 0)},
        {"body": WHOLE + b"more"},
    ],
    ids=["no seal", "short", "another's", "extra"],
)
def test_a_success_that_is_not_the_replicas_whole_answer(promises, changes):
    run(promises)
    promises.note_answered(dataclasses.replace(GOOD, **changes))
    assert "MIXED" in rules(promises)


def test_a_success_without_a_run(promises):
    promises.note_answered(GOOD)
    assert rules(promises) == ["MIXED"]


def test_a_stream_with_an_event_out_of_order(promises):
    draft = dataclasses.replace(ASKED, id="r3", kind="draft", events=3)
    promises.note_asked(draft)
    run(promises, draft)
    body = b"".join(make_event("r3", number) for number in (1, 3, 2))
    promises.note_answered(dataclasses.replace(GOOD, asked=draft, body=body))
    assert "MIXED" in rules(promises)


def test_a_stream_that_is_seen_to_break_off(promises):
    draft = dataclasses.replace(ASKED, id="r3", kind="draft", events=3)
    promises.note_asked(draft)
    run(promises, draft)
    cut = dataclasses.replace(GOOD, asked=draft, body=make_event("r3", 1), is_ended=False)
    promises.note_answered(cut)
    assert rules(promises) == []


@pytest.mark.parametrize(
    "changes", [{"id": "r8"}, {"path": "/book/2"}, {"body": b"other"}], ids=str
)
def test_a_run_that_no_caller_asked_for(promises, changes):
    run(promises, dataclasses.replace(ASKED, **changes))
    assert rules(promises) == ["UNASKED"]


def test_an_answer_long_after_the_deadline(promises, troubles):
    run(promises)
    late = dataclasses.replace(GOOD, ended_at=14.0)
    promises.note_answered(late)
    assert rules(promises) == ["ENDED"]
    troubles.add(0, 11.0, 12.0)
    promises.note_answered(late)
    assert rules(promises) == ["ENDED"], "an entry that was paused may be late"


def test_a_key_that_is_let_in_after_it_was_taken_away(promises, troubles):
    promises.note_revoked("key", 5.0)
    run(promises)
    promises.note_answered(GOOD)
    assert rules(promises) == ["CONFIG"]
    early = dataclasses.replace(ASKED, id="r2", sent_at=7.0)
    promises.note_asked(early)
    run(promises, early)
    promises.note_answered(
        dataclasses.replace(GOOD, asked=early, body=make_body("r2", b"seat", 0), ended_at=7.1)
    )
    assert rules(promises) == ["CONFIG"], "the entry has three seconds"
    troubles.add(None, 4.0, 6.0)
    promises.note_answered(GOOD)
    assert rules(promises) == ["CONFIG"], "the store was in trouble"


def test_a_replica_that_gets_requests_long_after_it_has_left(promises):
    promises.note_drained(4, 5.0)
    run(promises, replica=4)
    assert rules(promises) == ["DRAIN"]
    promises.note_drained(4, None)
    other = dataclasses.replace(ASKED, id="r2")
    promises.note_asked(other)
    run(promises, other, replica=4)
    assert rules(promises) == ["DRAIN"]
