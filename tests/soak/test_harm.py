"""The guarantee on requests that end replicas: deliberate violations, and what excuses an entry."""

from __future__ import annotations

import dataclasses
import http.client
import threading

import pytest

from hibiscustray.platform import standins
from hibiscustray.soak.callers import HarmfulCaller
from hibiscustray.soak.disturbances import DisturbanceLog
from hibiscustray.soak.guarantees import GuaranteeChecker
from hibiscustray.soak.reading import ResponseEnd
from hibiscustray.soak.records import SOUND_PROMPT, SoakOutcome, SoakRequest
from hibiscustray.soak.replicas import SoakReplica
from hibiscustray.soak.schedule import HARMFUL_KINDS, HarmfulRequest

HARMFUL = SoakRequest("r", "look", 0, "/book/look/h0", b"", "key", 0.0, 2.5, harm="harmful look")
ENDS = (10.0, 10.1, 10.2)
BOUND = 13.7


@pytest.fixture
def entries() -> DisturbanceLog:
    return DisturbanceLog()


@pytest.fixture
def checker(entries) -> GuaranteeChecker:
    return GuaranteeChecker(entries, 0.0)


def arrive(checker: GuaranteeChecker, *times: float, entry: int = 0, replica: int = 7) -> None:
    for at in times:
        request = dataclasses.replace(HARMFUL, id=f"r-{at}-{entry}", entry=entry, sent_at=at)
        checker.record_request(request)
        checker.record_arrival(request.id, replica, at)


def judge(checker: GuaranteeChecker, ends: tuple[float, ...] = ENDS) -> list[str]:
    """Return the rules of violations after replicas ended under the harmful request."""
    for replica, at in enumerate(ends):
        checker.record_end(replica, HARMFUL.harm, at - 0.1, at)
    checker.finish(40.0)
    return [violation.rule for violation in checker.violations]


@pytest.mark.parametrize("entry", [0, 1], ids=["one entry", "two entries"])
def test_a_fourth_late_arrival_is_a_violation_for_all_entries_together(checker, entry):
    arrive(checker, *ENDS, 14.0, 20.0, 30.0)
    arrive(checker, 39.0, entry=entry)
    assert judge(checker) == ["HARM"]
    assert checker.violations[0].at_s == 39.0


def test_three_late_arrivals_are_no_violation(checker):
    arrive(checker, *ENDS, *(BOUND - 0.05 * n for n in range(1, 20)), 14.0, 20.0, 30.0)
    assert judge(checker) == []


def test_arrivals_are_no_violation_until_three_replicas_have_ended(checker):
    arrive(checker, *range(14, 30))
    assert judge(checker, ENDS[:2]) == []


def test_harmful_requests_are_counted_each_for_itself(checker):
    arrive(checker, 14.0, 20.0, 30.0)
    other = dataclasses.replace(HARMFUL, id="other", harm="harmful book")
    checker.record_request(other)
    checker.record_arrival("other", 7, 31.0)
    assert judge(checker) == []


@pytest.mark.parametrize(
    ("end", "is_violation"), [(35.9, True), (36.1, False)], ids=["in touch", "out of touch"]
)
@pytest.mark.parametrize("log", ["process", "store", "link"])
def test_an_arrival_within_3_s_of_a_disturbance_is_excused(
    checker, entries, log, end, is_violation
):
    arrive(checker, 14.0, 20.0, 30.0, 39.0)
    match log:
        case "process":
            entries.add(0, 35.0, end, is_of_process=True)
        case "store":
            entries.add(None, 35.0, end)
        case "link":
            checker.replica_links.add(7, 35.0, end)
    entries.add(1, 35.0, 39.0)
    assert judge(checker) == ["HARM"] * is_violation


def test_a_quiet_replica_reads_late_what_had_reached_it_before(checker):
    arrive(checker, 14.0, 20.0, 30.0)
    checker.quiet.quiet.add(7, 13.6, 15.0)
    arrive(checker, 15.1)
    assert judge(checker) == []


def test_a_replica_that_ends_excuses_requests_that_it_had_from_its_connections_on(checker):
    checker.record_end(7, HARMFUL.harm, 10.0, 10.2)
    assert not checker.quiet.ends.is_undisturbed(7, 9.0, 10.1)


def finish(checker: GuaranteeChecker, served: int, status: int = 503, **changes) -> list[str]:
    """Return the rules of violations after 20 sound requests at the end."""
    arrive(checker, 1.0)
    for number in range(20):
        request = SoakRequest(f"s{number}", "look", 0, "/book/look/1", b"", "key", 37.0, 2.5)
        request = dataclasses.replace(request, **changes)
        checker.record_request(request)
        is_served = number < served
        outcome = SoakOutcome(
            request, 200 if is_served else status, is_served, b"", ResponseEnd.CERTAIN, 37.1
        )
        checker.record_outcome(outcome)
    checker.violations.clear()
    return judge(checker, ())


def test_sound_requests_that_are_not_served_beside_harmful_ones_are_a_violation(checker):
    assert finish(checker, 9) == ["HARM"]


@pytest.mark.parametrize(
    ("served", "status", "changes"),
    [(10, 503, {}), (0, 401, {}), (0, 503, {"sent_at": 35.0}), (0, 503, {"harm": "x"})],
    ids=["half are served", "revoked key", "earlier", "harmful themselves"],
)
def test_other_requests_that_are_not_served_are_no_violation(checker, served, status, changes):
    assert finish(checker, served, status, **changes) == []


def test_sound_requests_count_only_at_entries_that_were_calm(checker, entries):
    entries.add(0, 33.0, 34.5)
    assert finish(checker, 0) == []


@pytest.mark.parametrize("kind", HARMFUL_KINDS)
def test_repeats_are_the_same_request_and_their_companions_differ(kind):
    caller = HarmfulCaller(
        HarmfulRequest(0.0, kind, 3), "1", [], standins, None, lambda _: "key", threading.Event()
    )
    requests = [caller._make_request(0) for _ in range(40)]
    harmful = [r for r in requests if r.harm]
    sound = [r for r in requests if not r.harm]
    assert len(harmful) > 5 < len(sound)
    assert len({r.id for r in requests}) == 40
    if kind == "part":
        assert {r.prompt for r in harmful} == {"aa:40,c3:30,bb:60"}
        assert {r.prompt for r in sound} == {SOUND_PROMPT}
    else:
        repeats = {(r.path, r.key, r.body, r.prompt) for r in harmful}
        assert len(repeats) == 1
        assert not repeats & {(r.path, r.key, r.body, r.prompt) for r in sound}


def test_a_replica_that_begins_a_harmful_request_ends_with_its_connections_and_stays_listed():
    store = standins.StoreStandIn()
    checker = GuaranteeChecker(DisturbanceLog(), 0.0)
    replica = SoakReplica(0, "booking", standins, store, checker, 1)
    replica.on_end = lambda ended, *_: ended.end()
    replica.register()
    address = replica.proxy.address
    request = dataclasses.replace(HARMFUL, id="r1")
    checker.record_request(request)
    try:
        connection = http.client.HTTPConnection(address, timeout=3.0)
        connection.request("GET", request.path, headers={standins.ATTEMPT_ID: "r1"})
        with pytest.raises((OSError, http.client.HTTPException)):
            connection.getresponse()
        with pytest.raises(OSError):
            http.client.HTTPConnection(address, timeout=3.0).connect()
        assert store.handle_get("/v1/rows-get?table=servers")[1]["rows"]
        replica.restart(1)
        assert (replica.is_ended, replica.start_count) == (False, 2)
        assert replica.proxy.address != address
    finally:
        replica.close()
        store.close()
