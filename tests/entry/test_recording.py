"""Each request is counted once, however its answer ends."""

from __future__ import annotations

import pytest

from hibiscustray.deployments import Configuration
from hibiscustray.entry.problems import describe_problem
from hibiscustray.entry.recording import RecordedBody, RequestRecord
from hibiscustray.exceptions import CallerLeft, NoReplica, OutcomeUnknown
from hibiscustray.peers import End
from hibiscustray.reports import ServiceLevelRecorder
from hibiscustray.telemetry import Metrics

OUTCOMES = ("answered", "abandoned", "not_run", "unknown")


class Counted:
    """A record with the counts that it made."""

    def __init__(self):
        self.metrics = Metrics("entry")
        self.ends = 0
        recorder = ServiceLevelRecorder(Configuration(), self.metrics)
        self.record = RequestRecord(recorder, self.metrics, self.record_end)
        self.record.team, self.record.service = "hosts", "booking"

    def record_end(self):
        self.ends += 1

    def outcomes(self):
        who = {"team": "hosts", "service": "booking"}
        counts = {n: self.metrics.read("requests_total", who | {"outcome": n}) for n in OUTCOMES}
        assert sum(counts.values()) == self.ends
        return [name for name, count in counts.items() for _ in range(int(count))]


def make_body(counted, items):
    def produce():
        for item in items:
            if isinstance(item, Exception):
                raise item
            yield item

    answer = counted.record.track(produce())
    return RecordedBody(
        (item for item in answer if isinstance(item, bytes)), answer, counted.record
    )


def test_body_never_started_is_abandoned():
    counted = Counted()
    make_body(counted, [b"a", End(1, "")]).close()
    assert counted.outcomes() == ["abandoned"]


def test_body_left_midway_is_abandoned():
    counted = Counted()
    body = make_body(counted, [b"a", b"b", End(2, "")])
    next(iter(body))
    body.close()
    assert counted.outcomes() == ["abandoned"]


def test_whole_body_is_answered_once():
    counted = Counted()
    body = make_body(counted, [b"a", End(1, "")])
    assert list(body) == [b"a"]
    body.close()
    assert counted.outcomes() == ["answered"]


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (NoReplica("none"), "not_run"),
        (OutcomeUnknown("cut"), "unknown"),
        (CallerLeft("left"), "abandoned"),
        (ValueError("broken"), "unknown"),
    ],
)
def test_failure_is_counted_by_its_outcome_before_the_close(error, outcome):
    counted = Counted()
    counted.record.fail(describe_problem(error, "r1"))
    make_body(counted, []).close()
    assert counted.outcomes() == [outcome]
