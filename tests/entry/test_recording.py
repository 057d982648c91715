"""Each request is recorded exactly once, however its response ends."""

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


class RecordWithMetrics:
    """A request record with the metrics that it writes."""

    def __init__(self):
        self.metrics = Metrics("entry")
        self.ends = 0
        recorder = ServiceLevelRecorder(Configuration(), self.metrics)
        self.record = RequestRecord(recorder, self.metrics, self.record_end)
        self.record.team, self.record.service = "hosts", "booking"

    def record_end(self):
        self.ends += 1

    def outcomes(self):
        labels = {"team": "hosts", "service": "booking"}
        counts = {n: self.metrics.read("requests_total", labels | {"outcome": n}) for n in OUTCOMES}
        assert sum(counts.values()) == self.ends
        return [name for name, count in counts.items() for _ in range(int(count))]


def make_body(recorded, items):
    def produce():
        for item in items:
            if isinstance(item, Exception):
                raise item
            yield item

    response = recorded.record.track(produce())
    return RecordedBody(
        (item for item in response if isinstance(item, bytes)), response, recorded.record
    )


def test_body_closed_before_first_part_is_abandoned():
    recorded = RecordWithMetrics()
    make_body(recorded, [b"a", End(1, "")]).close()
    assert recorded.outcomes() == ["abandoned"]


def test_body_closed_before_its_end_is_abandoned():
    recorded = RecordWithMetrics()
    body = make_body(recorded, [b"a", b"b", End(2, "")])
    next(iter(body))
    body.close()
    assert recorded.outcomes() == ["abandoned"]


def test_complete_body_is_answered_once():
    recorded = RecordWithMetrics()
    body = make_body(recorded, [b"a", End(1, "")])
    assert list(body) == [b"a"]
    body.close()
    assert recorded.outcomes() == ["answered"]


@pytest.mark.parametrize(
    ("error", "outcome"),
    [
        (NoReplica("none"), "not_run"),
        (OutcomeUnknown("truncated"), "unknown"),
        (CallerLeft("left"), "abandoned"),
        (ValueError("broken"), "unknown"),
    ],
)
def test_failure_is_counted_with_its_outcome_before_close(error, outcome):
    recorded = RecordWithMetrics()
    recorded.record.fail(describe_problem(error, "r1"))
    make_body(recorded, []).close()
    assert recorded.outcomes() == [outcome]
