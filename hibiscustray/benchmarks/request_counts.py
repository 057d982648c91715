"""Counts of a run: callers' records compared with the records of engines and services."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from hibiscustray.benchmarks.load import ANSWERED, HUNG, NOT_RUN, UNKNOWN, CallRecord
from hibiscustray.standins.engine import EngineRecord

MAX_LATENCY_US = 120_000_000
US_PER_S = 1e6
US_PER_MS = 1000.0


@dataclass(frozen=True)
class Percentiles:
    """Number of samples and percentiles of their latency in milliseconds."""

    count: int
    p50: float
    p95: float
    p99: float


@dataclass(frozen=True)
class TeamLatency:
    """Latencies of one team's answered chat requests; only streams have a first token."""

    first_token_ms: Percentiles
    answer_ms: Percentiles
    ok_in_deadline: int
    sent: int


@dataclass(frozen=True)
class RunRecords:
    """Records of the engines and services about one run."""

    engine: tuple[EngineRecord, ...]
    service_runs: tuple[tuple[str, int], ...]
    service_request_ids: frozenset[str]


@dataclass(frozen=True)
class Counts:
    """Counts of one run.

    Each call counts as exactly one of `ok_in_deadline`, `late`, `not_run`, `unknown` and `hung`.
    """

    sent: int
    ok_in_deadline: int
    late: int
    not_run: int
    unknown: int
    hung: int
    run_twice: int
    false_not_run: int
    wrong_answer: int
    cut: int


def count_run(calls: list[CallRecord], records: RunRecords) -> Counts:
    """Count outcomes, and violations by comparison with the records of engines and services."""
    outcomes = Counter(call.outcome for call in calls)
    in_deadline = sum(call.is_in_deadline for call in calls)
    run_ids = records.service_request_ids | {r.request_id for r in records.engine if r.tokens}
    return Counts(
        sent=len(calls),
        ok_in_deadline=in_deadline,
        late=outcomes[ANSWERED] - in_deadline,
        not_run=outcomes[NOT_RUN],
        unknown=outcomes[UNKNOWN],
        hung=outcomes[HUNG],
        run_twice=_count_run_twice(records.service_runs),
        false_not_run=sum(c.outcome == NOT_RUN and c.request_id in run_ids for c in calls),
        wrong_answer=sum(call.is_wrong for call in calls),
        cut=sum(call.is_truncated for call in calls),
    )


def summarize_teams(calls: Iterable[CallRecord]) -> dict[str, TeamLatency]:
    """Return the latencies of each team's chat calls."""
    by_team: dict[str, list[CallRecord]] = defaultdict(list)
    for call in calls:
        if call.arrival.kind != "booking":
            by_team[call.arrival.team].append(call)
    return {team: summarize_calls(by_team[team]) for team in sorted(by_team)}


def summarize_calls(calls: list[CallRecord]) -> TeamLatency:
    """Return the latencies of chat calls."""
    answered = [call for call in calls if call.outcome == ANSWERED]
    streams = [call for call in answered if call.arrival.kind == "stream"]
    return TeamLatency(
        first_token_ms=measure_percentiles(call.first_token_s for call in streams),
        answer_ms=measure_percentiles(call.completed_s for call in answered),
        ok_in_deadline=sum(call.is_in_deadline for call in calls),
        sent=len(calls),
    )


def measure_percentiles(seconds: Iterable[float]) -> Percentiles:
    """Return the percentiles in milliseconds of durations in seconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    for value in seconds:
        histogram.record_value(max(1, int(value * US_PER_S)))
    p50, p95, p99 = (
        round(histogram.get_value_at_percentile(percent) / US_PER_MS, 1) for percent in (50, 95, 99)
    )
    return Percentiles(histogram.get_total_count(), p50, p95, p99)


def _count_run_twice(service_runs: tuple[tuple[str, int], ...]) -> int:
    """Count the references that were run more than once, by one service or several together."""
    totals: Counter[str] = Counter()
    for reference, runs in service_runs:
        totals[reference] += runs
    return sum(1 for total in totals.values() if total > 1)
