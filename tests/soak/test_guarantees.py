"""Each guarantee that a soak checks: a deliberate violation is reported under its rule."""

from __future__ import annotations

import dataclasses

import pytest

from hibiscustray.catalog import SEND_LEAD_S
from hibiscustray.soak.disturbances import DisturbanceLog
from hibiscustray.soak.guarantees import CONTACT_S, GuaranteeChecker
from hibiscustray.soak.reading import ResponseEnd
from hibiscustray.soak.records import (
    MAX_VERSION_AGE_S,
    SoakOutcome,
    SoakRequest,
    make_body,
    make_event,
)
from hibiscustray.soak.runs import WATCH_INTERVAL_S

REQUEST = SoakRequest("r1", "book", 0, "/book/1", b"seat", "key", sent_at=10.0, deadline_s=2.5)
COMPLETE_BODY = make_body("r1", b"seat", 0)
SUCCESS = SoakOutcome(REQUEST, 200, True, COMPLETE_BODY, ResponseEnd.CERTAIN, 10.1)


@pytest.fixture
def disturbances() -> DisturbanceLog:
    return DisturbanceLog()


@pytest.fixture
def checker(disturbances) -> GuaranteeChecker:
    checker = GuaranteeChecker(disturbances, 0.0)
    checker.record_request(REQUEST)
    return checker


def record_run(
    checker: GuaranteeChecker,
    request: SoakRequest = REQUEST,
    at: float = 10.05,
    replica: int = 0,
    version: int | None = None,
) -> None:
    checker.record_run(request.id, request.path, request.body, replica, at, version)


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
        SUCCESS, request=draft, body=make_event("r3", 1), end=ResponseEnd.CUT
    )
    checker.record_outcome(truncated)
    assert get_violated_rules(checker) == []


@pytest.mark.parametrize("end", ResponseEnd)
@pytest.mark.parametrize("is_sent", [False, True], ids=["sent whole", "sent short"])
def test_a_short_body_must_not_look_whole_unless_a_replica_closed_there(checker, end, is_sent):
    record_run(checker)
    body = COMPLETE_BODY[:-3]
    if is_sent:
        checker.record_closed("r1", body)
    checker.record_outcome(dataclasses.replace(SUCCESS, body=body, end=end))
    is_violation = end is ResponseEnd.CERTAIN or (end is ResponseEnd.CLOSED and not is_sent)
    assert get_violated_rules(checker) == ["MIXED"] * is_violation


@pytest.mark.parametrize(
    ("cut", "is_violation"), [(0, False), (3, True)], ids=["between events", "within an event"]
)
def test_a_stream_that_its_connection_ends_must_end_between_events(checker, cut, is_violation):
    draft = dataclasses.replace(REQUEST, id="r3", kind="draft", event_count=3)
    checker.record_request(draft)
    record_run(checker, draft)
    body = make_body("r3", b"", 2)[: -cut or None]
    checker.record_closed("r3", body)
    checker.record_outcome(
        dataclasses.replace(SUCCESS, request=draft, body=body, end=ResponseEnd.CLOSED)
    )
    assert get_violated_rules(checker) == ["MIXED"] * is_violation


@pytest.mark.parametrize("body", [COMPLETE_BODY[:-5], COMPLETE_BODY + b"more", b""])
def test_a_body_that_its_connection_ends_must_be_all_that_the_replica_sent(checker, body):
    record_run(checker)
    checker.record_closed("r1", COMPLETE_BODY[:-3])
    checker.record_outcome(dataclasses.replace(SUCCESS, body=body, end=ResponseEnd.CLOSED))
    assert "MIXED" in get_violated_rules(checker)


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


@pytest.mark.parametrize(("read_at", "is_violation"), [(13.4, False), (13.6, True)])
def test_a_request_that_waited_in_a_queue_reached_its_replica_when_it_was_read(
    checker, read_at, is_violation
):
    checker.record_drain(4, 10.0)
    request = dataclasses.replace(REQUEST, id="r2", sent_at=13.0)
    checker.record_request(request)
    checker.record_run(request.id, request.path, request.body, 4, 15.0, None, read_at)
    assert get_violated_rules(checker) == ["DRAIN"] * is_violation


@pytest.fixture
def stream(checker) -> SoakRequest:
    """Return a recorded stream; versions 2 and 3 are set as the target at 18.5 s and 28.5 s."""
    stream = dataclasses.replace(REQUEST, id="r3", kind="draft", path="/draft/1", event_count=3)
    checker.record_request(stream)
    checker.record_target_version(2, 18.5)
    checker.record_target_version(3, 28.5)
    return stream


@pytest.mark.parametrize(
    ("version", "at", "is_violation"),
    [
        (1, 24.9, False),
        (1, 25.1, True),
        (2, 25.1, False),
        (3, 31.0, False),
        (1, 31.0, True),
        (2, 34.9, False),
        (2, 35.1, True),
        (3, 35.1, False),
    ],
)
def test_a_stream_on_weights_outdated_past_the_bound_is_a_violation(
    checker, stream, version, at, is_violation
):
    record_run(checker, stream, at, version=version)
    assert get_violated_rules(checker) == ["VERSION"] * is_violation
    assert checker.checks["VERSION"] == (at > 25.0)


def test_a_version_dated_by_the_end_of_a_pause_would_be_noticed():
    assert MAX_VERSION_AGE_S > SEND_LEAD_S + CONTACT_S + WATCH_INTERVAL_S


@pytest.mark.parametrize(("paused_until", "is_violation"), [(22.9, False), (21.9, True)])
def test_a_pause_excuses_outdated_weights_for_3_s_and_does_not_extend_the_bound(
    checker, disturbances, stream, paused_until, is_violation
):
    disturbances.add(0, 18.4, paused_until, is_of_process=True)
    record_run(checker, stream, 25.1, version=1)
    assert get_violated_rules(checker) == ["VERSION"] * is_violation


@pytest.mark.parametrize("target", [0, None], ids=["store link", "store"])
@pytest.mark.parametrize(
    ("begin", "end", "at", "is_violation"),
    [
        (19.5, 20.0, 26.4, False),
        (19.5, 20.0, 26.6, True),
        (17.5, 19.0, 25.4, False),
        (17.5, 19.0, 25.6, True),
        (17.5, 18.4, 25.1, True),
    ],
)
def test_the_bound_begins_anew_after_a_disturbance_of_the_store_or_its_link(
    checker, disturbances, stream, target, begin, end, at, is_violation
):
    disturbances.add(target, begin, end)
    record_run(checker, stream, at, version=1)
    assert get_violated_rules(checker) == ["VERSION"] * is_violation


def test_disturbances_of_another_entry_or_replica_do_not_excuse_outdated_weights(
    checker, disturbances, stream
):
    disturbances.add(1, 24.0, 25.0)
    checker.replica_links.add(1, 24.0, 25.0)
    record_run(checker, stream, 25.1, version=1)
    assert get_violated_rules(checker) == ["VERSION"]


def test_a_silence_of_the_replica_does_not_excuse_outdated_weights(checker, stream):
    checker.quiet.quiet.add(0, 24.0, 25.1)
    record_run(checker, stream, 25.1, version=1)
    assert get_violated_rules(checker) == ["VERSION"]


def test_a_link_to_a_replica_may_have_held_a_stream_back(checker, stream):
    checker.replica_links.add(0, 21.0, 25.0)
    record_run(checker, stream, 25.1, version=1)
    assert get_violated_rules(checker) == []
    record_run(checker, stream, 28.1, version=1)
    assert get_violated_rules(checker) == ["VERSION"]
