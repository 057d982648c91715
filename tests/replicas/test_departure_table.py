"""What a row means after its replica's departure: a late write, a live replica or a new start.

Each cell plays one way in which an entry learns of a departure, and what comes later.
"""

from __future__ import annotations

import json
import time
from dataclasses import replace

import pytest

from hibiscustray.exceptions import RecordInvalid, UpstreamUnreachable
from hibiscustray.feeds import ReplicaListener, decode_relay_row
from hibiscustray.feeds.changes import Change, ReplicaListed, ReplicaUnlisted, RowRejected
from hibiscustray.platform.records import decode_replica
from hibiscustray.replicas import (
    HealthReport,
    PresenceVerifier,
    ReplicaDirectory,
    ReplicaNotice,
    ReplicaNotices,
)
from hibiscustray.replicas import directory as directory_module
from hibiscustray.telemetry import Metrics

SERVED_WITHIN_S = 0.5
"""Time within which a live replica that is listed again gets requests."""
SEQUENCE = 7
SEQUENCES = {"higher": SEQUENCE + 1, "equal": SEQUENCE, "lower": SEQUENCE - 1}
ROW = {
    "service": "booking",
    "addr": "127.0.0.1:9",
    "zone": "z1",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "warmupLeftMs": 0,
    "sequence": SEQUENCE,
    "born": 1_000,
}
LEAVING = HealthReport(200, ReplicaNotice(is_draining=True), "i-1")
SERVING = HealthReport(200, ReplicaNotice(), "i-1")


def decode(**changes) -> Change:
    """Return the change of a row of the replica list; a field that is None is left out."""
    row = {name: value for name, value in (ROW | changes).items() if value is not None}
    try:
        return ReplicaListed(decode_replica("i-1", json.dumps(row).encode()))
    except RecordInvalid as error:
        return RowRejected("i-1", str(error))


class List:
    """The replica list as one entry reads it, and a replica that answers health checks."""

    def __init__(self) -> None:
        metrics = Metrics("edge-1")
        self.answer: HealthReport | None = SERVING
        self.checks: list[float] = []
        self.notices = ReplicaNotices(metrics)
        self.directory = ReplicaDirectory(has_verifier=True)
        self.listener = ReplicaListener(self.directory)
        self.verifier = PresenceVerifier(self.directory, self.notices, self._check, metrics)
        self.verifier.start()

    def _check(self, record) -> HealthReport:
        self.checks.append(time.monotonic())
        if self.answer is None:
            raise UpstreamUnreachable("refused")
        return self.answer

    def read(self, change: Change) -> None:
        """Read the change of one row."""
        self.listener.apply(change, 0.0)

    def read_anew(self, *changes: Change) -> None:
        """Read the whole list."""
        self.listener.replace(changes, 0.0)

    def is_served(self) -> bool:
        """Return whether requests are sent to the replica."""
        ready = self.directory.list_ready("booking")
        return any(not self.notices.is_draining(record.boot) for record in ready)

    def is_served_within(self, seconds: float) -> bool:
        """Return whether requests are sent to the replica before some seconds have passed."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            if self.is_served():
                return True
            time.sleep(0.005)
        return False

    def wait_for_check(self) -> None:
        """Wait until the replica has been asked, if it has to be, and a little longer."""
        ends_at = time.monotonic() + 0.3
        while self.directory.list_unverified() and time.monotonic() < ends_at:
            time.sleep(0.005)


@pytest.fixture
def listed():
    built = List()
    built.read_anew(decode())
    assert built.is_served()
    yield built
    built.verifier.stop()


def drain_by_row(listed: List) -> None:
    listed.read(decode(state="draining", sequence=SEQUENCE))


def remove_by_row(listed: List) -> None:
    listed.read(ReplicaUnlisted("i-1"))


def remove_by_reading_anew(listed: List) -> None:
    listed.read_anew()


def drain_by_response(listed: List) -> None:
    boot = listed.directory.get("i-1").boot
    listed.notices.record(boot, ReplicaNotice(is_draining=True), time.monotonic())


DEPARTURES = {
    "row draining": drain_by_row,
    "row gone": remove_by_row,
    "list read anew": remove_by_reading_anew,
    "Server-Leaving": drain_by_response,
}


def read_late_row(listed: List, sequence: int | None) -> None:
    listed.read(decode(sequence=sequence))


def read_late_row_twice(listed: List, sequence: int | None) -> None:
    read_late_row(listed, sequence)
    listed.wait_for_check()
    assert not listed.is_served()
    listed.read(ReplicaUnlisted("i-1"))
    read_late_row(listed, sequence)


def read_list_anew(listed: List, sequence: int | None) -> None:
    listed.read_anew(decode(sequence=sequence))


def restore_store(listed: List, sequence: int | None) -> None:
    listed.listener.record_outage()
    listed.listener.record_restore()
    listed.listener.record_recovery()
    listed.read_anew(decode(sequence=sequence))


def end_outage(listed: List, sequence: int | None) -> None:
    listed.listener.record_outage()
    listed.listener.record_recovery()
    listed.read(decode(sequence=sequence))


def read_row_with_fields_missing(listed: List, sequence: int | None) -> None:
    listed.read(decode(sequence=sequence, born=None, version=None, warmupLeftMs=None))


LATE = {
    "late row": read_late_row,
    "late row twice": read_late_row_twice,
    "list read anew": read_list_anew,
    "restored store": restore_store,
    "outage with a grace period": end_outage,
    "row with fields missing": read_row_with_fields_missing,
}


# Guards against requests at a replica that has left, as an old row of it is read again (DRAIN).
@pytest.mark.parametrize("sequence", SEQUENCES)
@pytest.mark.parametrize("later", LATE)
@pytest.mark.parametrize("departure", DEPARTURES)
def test_replica_that_has_left_gets_no_requests_after(listed, departure, later, sequence):
    DEPARTURES[departure](listed)
    listed.answer = LEAVING
    assert not listed.is_served()
    LATE[later](listed, SEQUENCES[sequence])
    assert not listed.is_served()
    listed.wait_for_check()
    assert not listed.is_served_within(0.05)


# Guards against a departure that is forgotten with a row that names no replica.
@pytest.mark.parametrize("later", LATE)
@pytest.mark.parametrize("departure", DEPARTURES)
@pytest.mark.parametrize("answer", ["leaving", "serving"])
def test_row_without_a_sequence_brings_no_requests_after(listed, departure, later, answer):
    DEPARTURES[departure](listed)
    listed.answer = SERVING if answer == "serving" else LEAVING
    LATE[later](listed, None)
    assert not listed.is_served_within(0.05)
    assert not listed.checks


# Guards against a start that another writer's row makes up, or hides.
@pytest.mark.parametrize("departure", DEPARTURES)
def test_row_of_a_new_start_without_a_sequence_brings_no_requests(listed, departure):
    DEPARTURES[departure](listed)
    listed.read(decode(born=2_000, sequence=None))
    assert not listed.is_served_within(0.05)
    listed.read(decode(born=2_000, sequence=1))
    assert listed.is_served()


# Guards against live replicas that stay without requests, as their rows had expired.
@pytest.mark.parametrize("sequence", SEQUENCES)
@pytest.mark.parametrize("later", [name for name in LATE if "missing" not in name])
@pytest.mark.parametrize("departure", ["row gone", "list read anew"])
def test_live_replica_that_is_listed_again_gets_requests_after(listed, departure, later, sequence):
    DEPARTURES[departure](listed)
    if later == "late row twice":
        read_late_row(listed, SEQUENCES[sequence])
        assert listed.is_served_within(SERVED_WITHIN_S)
        remove_by_row(listed)
        later = "late row"
    LATE[later](listed, SEQUENCES[sequence])
    assert listed.is_served_within(SERVED_WITHIN_S)


# Guards against the opposite: a start that has said it is draining never takes that back.
@pytest.mark.parametrize("sequence", SEQUENCES)
@pytest.mark.parametrize("departure", ["row draining", "Server-Leaving"])
def test_start_that_is_draining_gets_no_requests_though_its_health_is_good(
    listed, departure, sequence
):
    DEPARTURES[departure](listed)
    remove_by_row(listed)
    read_late_row(listed, SEQUENCES[sequence])
    listed.wait_for_check()
    assert not listed.is_served_within(0.05)


# Guards against a new start that stays without requests, or loses them to a late row of the old.
@pytest.mark.parametrize("is_late_first", [True, False])
@pytest.mark.parametrize("sequence", SEQUENCES)
@pytest.mark.parametrize("departure", DEPARTURES)
def test_new_start_gets_requests_beside_a_late_row_of_the_old_one(
    listed, departure, sequence, is_late_first
):
    DEPARTURES[departure](listed)
    listed.answer = LEAVING
    if is_late_first:
        read_late_row(listed, SEQUENCES[sequence])
    new = decode(born=2_000, sequence=1, addr="127.0.0.1:10")
    listed.read(new)
    assert listed.is_served()
    read_late_row(listed, SEQUENCES[sequence])
    listed.read_anew(decode(sequence=SEQUENCES[sequence]))
    listed.wait_for_check()
    assert [r.address for r in listed.directory.list_ready("booking")] == ["127.0.0.1:10"]
    assert listed.is_served()


# Guards against a late row of the old start after the new one has left as well.
@pytest.mark.parametrize("departure", ["row draining", "row gone", "list read anew"])
def test_row_of_an_earlier_start_is_ignored_once_the_new_one_has_left(listed, departure):
    listed.read(decode(born=2_000, sequence=1))
    if departure == "row draining":
        listed.read(decode(born=2_000, sequence=2, state="draining"))
    else:
        DEPARTURES[departure](listed)
    read_late_row(listed, SEQUENCE + 1)
    listed.wait_for_check()
    assert not listed.is_served() and not listed.checks


# Guards against a removal within the grace period after an outage that is forgotten with it.
@pytest.mark.parametrize("sequence", SEQUENCES)
@pytest.mark.parametrize("is_leaving", [True, False])
@pytest.mark.parametrize("removal", ["row gone", "list read anew"])
def test_removal_after_an_outage_holds_beyond_the_grace_period(
    listed, monkeypatch, removal, is_leaving, sequence
):
    now = [time.monotonic()]
    monkeypatch.setattr(directory_module.time, "monotonic", lambda: now[0])
    listed.answer = LEAVING if is_leaving else SERVING
    listed.listener.record_outage()
    listed.listener.record_recovery()
    DEPARTURES[removal](listed)
    now[0] += directory_module.RELISTING_GRACE_S + 0.1
    assert not listed.is_served()
    monkeypatch.undo()
    read_late_row(listed, SEQUENCES[sequence])
    assert listed.is_served_within(0.3 if is_leaving else SERVED_WITHIN_S) is not is_leaving


# Guards against a late row within the grace period, which would end the deferral of a removal.
@pytest.mark.parametrize("sequence", SEQUENCES)
@pytest.mark.parametrize("removal", ["row gone", "list read anew"])
def test_late_row_within_the_grace_period_does_not_keep_a_replica_that_has_left(
    listed, removal, sequence
):
    listed.answer = LEAVING
    listed.listener.record_outage()
    listed.listener.record_recovery()
    DEPARTURES[removal](listed)
    read_late_row(listed, SEQUENCES[sequence])
    listed.wait_for_check()
    assert not listed.is_served()


NOT_SERVING = {
    "draining with a good status": LEAVING,
    "draining with a failure": replace(LEAVING, status=503),
    "failing": replace(SERVING, status=503),
    "not found": replace(SERVING, status=404),
    "no status": replace(SERVING, status=0),
    "another replica": replace(SERVING, replica_id="i-2"),
    "another replica, rejected": HealthReport(421, ReplicaNotice(), "i-2", is_misdirected=True),
    "another replica that leaves": replace(LEAVING, replica_id="i-2"),
    "no answer": None,
}


# Guards against answers that are taken for those of a live replica.
@pytest.mark.parametrize("name", NOT_SERVING)
def test_replica_is_not_served_whose_health_check_is_answered_by(listed, name):
    remove_by_row(listed)
    listed.answer = NOT_SERVING[name]
    read_late_row(listed, SEQUENCE + 1)
    assert not listed.is_served_within(0.3)
    assert listed.checks


# Guards against a full replica that is kept out because one check was rejected.
@pytest.mark.parametrize("first", [None, replace(SERVING, status=503)])
def test_replica_is_asked_again_until_it_says_that_it_serves(listed, first):
    remove_by_row(listed)
    listed.answer = first
    read_late_row(listed, SEQUENCE + 1)
    time.sleep(0.35)
    assert 2 <= len(listed.checks) <= 4
    listed.answer = SERVING
    assert listed.is_served_within(1.0)


# Guards against checks that go on for rows that are gone.
def test_replica_is_not_asked_any_more_once_its_row_is_gone(listed):
    remove_by_row(listed)
    listed.answer = None
    read_late_row(listed, SEQUENCE + 1)
    time.sleep(0.05)
    remove_by_row(listed)
    time.sleep(0.05)
    asked = len(listed.checks)
    time.sleep(0.5)
    assert len(listed.checks) == asked


# Guards against checks at a replica that wants nothing from this entry for some time (BUDGET).
def test_replica_that_pushes_back_is_not_asked_before_its_time(listed):
    boot = listed.directory.get("i-1").boot
    listed.notices.record(boot, ReplicaNotice(pushback_s=0.4), time.monotonic())
    remove_by_row(listed)
    listed_at = time.monotonic()
    read_late_row(listed, SEQUENCE + 1)
    assert listed.is_served_within(1.0)
    assert len(listed.checks) == 1 and listed.checks[0] - listed_at >= 0.3


# Guards against an answer from before a second departure, which says nothing of the time after it.
def test_answer_to_a_check_of_an_earlier_row_is_dropped(listed):
    answered = []

    def answer_late(record) -> HealthReport:
        if not answered:
            answered.append(record)
            listed.read(ReplicaUnlisted("i-1"))
            listed.read(decode(sequence=SEQUENCE + 2))
            return SERVING
        return LEAVING

    remove_by_row(listed)
    listed.verifier._check = answer_late
    read_late_row(listed, SEQUENCE + 1)
    assert not listed.is_served_within(0.3)


# Guards against a departure that is taken from a table that does not list replicas.
@pytest.mark.parametrize("value", [json.dumps(ROW).encode(), b"", None])
def test_relay_table_neither_lists_nor_removes_replicas(value):
    try:
        change = decode_relay_row("i-1", value)
    except RecordInvalid:
        return
    assert not isinstance(change, ReplicaListed | ReplicaUnlisted)
