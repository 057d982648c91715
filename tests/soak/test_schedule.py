"""The schedule of a soak: drawn from a seed, in series that overlap."""

from __future__ import annotations

import pytest

from hibiscustray.soak import SignalEntry, draw_schedule

LENGTH_S = 40.0


def test_a_seed_gives_the_same_schedule_each_time():
    assert draw_schedule(5, LENGTH_S, 3, 6) == draw_schedule(5, LENGTH_S, 3, 6)
    assert draw_schedule(5, LENGTH_S, 3, 6) != draw_schedule(6, LENGTH_S, 3, 6)


@pytest.mark.parametrize("seed", range(20))
def test_faults_come_in_order_and_leave_the_end_quiet(seed):
    steps = draw_schedule(seed, LENGTH_S, 3, 6)
    assert [s.at_s for s in steps] == sorted(s.at_s for s in steps)
    assert all(s.at_s + getattr(s, "for_s", 0.0) <= LENGTH_S - 7.0 for s in steps)


def test_all_kinds_of_faults_come_and_overlap():
    steps = [s for seed in range(30) for s in draw_schedule(seed, LENGTH_S, 3, 6)]
    assert {type(s).__name__ for s in steps} == {
        "SignalEntry",
        "DisturbLink",
        "DisturbStore",
        "DisturbReplica",
        "Operate",
    }
    assert {s.how for s in steps if isinstance(s, SignalEntry)} == {"stop", "kill", "pause"}
    lasting = [s for s in draw_schedule(3, LENGTH_S, 3, 6) if hasattr(s, "for_s")]
    assert any(
        first.at_s < second.at_s < first.at_s + first.for_s
        for first in lasting
        for second in lasting
    )
