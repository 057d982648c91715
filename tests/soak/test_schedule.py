"""The schedule of a soak: generated from a seed, with series of faults that overlap."""

from __future__ import annotations

import pytest

from hibiscustray.soak import EntryFault, OperatorAction, generate_schedule

LENGTH_S = 40.0


def test_a_seed_always_gives_the_same_schedule():
    assert generate_schedule(5, LENGTH_S, 3, 6) == generate_schedule(5, LENGTH_S, 3, 6)
    assert generate_schedule(5, LENGTH_S, 3, 6) != generate_schedule(6, LENGTH_S, 3, 6)


@pytest.mark.parametrize("seed", range(20))
def test_steps_are_sorted_and_faults_end_before_the_quiet_time(seed):
    steps = generate_schedule(seed, LENGTH_S, 3, 6)
    assert [s.at_s for s in steps] == sorted(s.at_s for s in steps)
    assert all(s.at_s + getattr(s, "duration_s", 0.0) <= LENGTH_S - 7.0 for s in steps)


def test_all_kinds_of_steps_occur_and_faults_overlap():
    steps = [s for seed in range(30) for s in generate_schedule(seed, LENGTH_S, 3, 6)]
    assert {type(s).__name__ for s in steps} == {
        "EntryFault",
        "LinkFault",
        "StoreFault",
        "ReplicaFault",
        "OperatorAction",
    }
    assert {s.kind for s in steps if isinstance(s, EntryFault)} == {"stop", "kill", "pause"}
    faults = [s for s in generate_schedule(3, LENGTH_S, 3, 6) if hasattr(s, "duration_s")]
    assert any(
        first.at_s < second.at_s < first.at_s + first.duration_s
        for first in faults
        for second in faults
    )


def test_target_versions_are_often_set_while_an_entry_is_paused():
    counts = []
    for seed in range(30):
        steps = generate_schedule(seed, LENGTH_S, 3, 6)
        pauses = [s for s in steps if isinstance(s, EntryFault) and s.kind == "pause"]
        names = [s for s in steps if isinstance(s, OperatorAction) and s.action == "name"]
        counts.append(
            sum(any(p.at_s < n.at_s < p.at_s + p.duration_s for p in pauses) for n in names)
        )
    assert sum(counts) >= 2 * len(counts)
