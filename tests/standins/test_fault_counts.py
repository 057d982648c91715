"""Tests that every kind of fault is counted, and that correct responses count as no fault."""

from __future__ import annotations

from dataclasses import replace

import pytest

from hibiscustray.standins.callers import CallerResult
from hibiscustray.standins.engine import EngineRecord
from hibiscustray.standins.fault_counts import count_faults

CHAT = CallerResult("prompt", "answered", 8, frozenset({"new"}))
RECORD = EngineRecord("r", "a", "prompt", "new", 8, True)
BOOKING = CallerResult("seat", "answered")


def test_complete_responses_count_as_no_fault():
    faults = count_faults([CHAT, BOOKING], [RECORD], [{"seat": 1}, {}])
    assert faults.has_passed
    assert faults.answered == 2


@pytest.mark.parametrize(
    ("results", "records", "runs", "name"),
    [
        ([BOOKING], [], [{"seat": 2}], "run_twice"),
        ([BOOKING], [], [{"seat": 1}, {"seat": 1}], "run_twice"),
        ([replace(BOOKING, outcome="not_run")], [], [{"seat": 1}], "run_twice"),
        ([CHAT], [replace(RECORD, tokens=5, is_finished=False)], [], "cut"),
        ([replace(CHAT, outcome="unknown", is_cut=True)], [RECORD], [], "cut"),
        ([replace(CHAT, digests=frozenset({"old", "new"}))], [RECORD], [], "mixed"),
        ([replace(CHAT, digests=frozenset({"other"}))], [RECORD], [], "mixed"),
        ([replace(CHAT, is_wrong=True)], [RECORD], [], "mixed"),
    ],
)
def test_each_fault_is_counted(results, records, runs, name):
    faults = count_faults(results, records, runs)
    assert getattr(faults, name) == 1
    assert not faults.has_passed
