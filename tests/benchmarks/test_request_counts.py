"""Counts of a run use the records of engines and services as well as the callers' records."""

from __future__ import annotations

from hibiscustray.benchmarks.load import (
    ANSWERED,
    HUNG,
    NOT_RUN,
    Arrival,
    CallRecord,
    Mix,
    plan_arrivals,
)
from hibiscustray.benchmarks.request_counts import RunRecords, count_run
from hibiscustray.standins.engine import EngineRecord


def make_call(outcome: str, request_id: str, completed_s: float = 1.0, **fields) -> CallRecord:
    """Return the record of a call whose deadline is two seconds."""
    arrival = Arrival(0.0, "team-0", "plain", request_id, 0, 16, False)
    return CallRecord(arrival, outcome, request_id, 0.0, completed_s, completed_s, 2.0, **fields)


def test_counts_compare_callers_with_engines_and_services():
    calls = [
        make_call(ANSWERED, "in-time"),
        make_call(ANSWERED, "late", 3.0),
        make_call(ANSWERED, "wrong", is_wrong=True),
        make_call(NOT_RUN, "refused"),
        make_call(NOT_RUN, "queued-only"),
        make_call(NOT_RUN, "ran-on-engine"),
        make_call(NOT_RUN, "ran-on-service"),
        make_call(HUNG, "hung"),
    ]
    records = RunRecords(
        engine=(
            EngineRecord("ran-on-engine", "a", "p", "d", 5, False),
            EngineRecord("queued-only", "a", "p", "d", 0, False),
        ),
        service_runs=(("once", 1), ("on-two", 1), ("on-two", 1), ("twice", 2)),
        service_request_ids=frozenset({"ran-on-service"}),
    )
    counts = count_run(calls, records)
    assert (counts.ok_in_deadline, counts.late, counts.not_run) == (2, 1, 4)
    assert (counts.false_not_run, counts.run_twice, counts.wrong_answer) == (2, 2, 1)
    assert counts.hung == 1


def test_burst_of_one_team_leaves_other_teams_arrivals_unchanged():
    normal = plan_arrivals(7, 20.0, {"a": 5.0, "b": 5.0}, Mix(), 2)
    burst = plan_arrivals(7, 20.0, {"a": 50.0, "b": 5.0}, Mix(), 2)
    assert [a for a in normal if a.team == "b"] == [a for a in burst if a.team == "b"]
    assert sum(a.team == "a" for a in burst) > 5 * sum(a.team == "a" for a in normal)
