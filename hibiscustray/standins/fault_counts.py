"""Fault counts: what callers received, compared with the records of engines and services."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from hibiscustray.standins.callers import CallerResult
from hibiscustray.standins.engine import EngineRecord


@dataclass(frozen=True)
class FaultCounts:
    """Number of requests by outcome, and number of faults by kind.

    `cut` counts truncated responses. `mixed` counts responses that are incorrect, belong to another
    request, or were not generated with exactly one version of the weights. `run_twice` counts
    bookings that ran more than once, or that ran although they were reported as not run.
    """

    answered: int
    not_run: int
    unknown: int
    cut: int
    mixed: int
    run_twice: int

    @property
    def has_passed(self) -> bool:
        """Return whether requests were answered and no fault was counted."""
        return self.answered > 0 and not (self.unknown or self.cut or self.mixed or self.run_twice)


def count_faults(
    results: Iterable[CallerResult],
    records: Iterable[EngineRecord],
    runs: Iterable[Mapping[str, int]],
) -> FaultCounts:
    """Count outcomes and faults; `runs` has a mapping from reference to run count per service."""
    results = list(results)
    by_prompt: defaultdict[str, list[EngineRecord]] = defaultdict(list)
    for record in records:
        by_prompt[record.prompt].append(record)
    totals: Counter[str] = Counter()
    for service_runs in runs:
        totals.update(service_runs)
    outcomes = Counter(result.outcome for result in results)
    return FaultCounts(
        answered=outcomes["answered"],
        not_run=outcomes["not_run"],
        unknown=outcomes["unknown"],
        cut=sum(_is_truncated(result, by_prompt[result.reference]) for result in results),
        mixed=sum(_is_mixed(result, by_prompt[result.reference]) for result in results),
        run_twice=sum(1 for count in totals.values() if count > 1)
        + _count_not_run_errors(results, totals),
    )


def _is_truncated(result: CallerResult, records: list[EngineRecord]) -> bool:
    """Return whether a response was truncated, or no engine finished one of the same length."""
    if result.is_cut:
        return True
    is_chat = result.outcome == "answered" and result.tokens > 0
    return is_chat and not any(r.is_finished and r.tokens == result.tokens for r in records)


def _is_mixed(result: CallerResult, records: list[EngineRecord]) -> bool:
    """Return whether a response is wrong, or not of one version that an engine used for it."""
    if result.is_wrong or len(result.digests) > 1:
        return True
    is_chat = result.outcome == "answered" and result.tokens > 0
    return is_chat and not result.digests <= {record.digest for record in records}


def _count_not_run_errors(results: list[CallerResult], totals: Counter[str]) -> int:
    """Count bookings that were reported as not run although a service ran them."""
    return sum(1 for r in results if r.outcome == "not_run" and totals[r.reference] > 0)
