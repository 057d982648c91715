"""The schedule of a soak: generated from a seed, with series of faults that overlap."""

from __future__ import annotations

import pytest

from hibiscustray.soak import (
    EarlyEnds,
    EntryFault,
    HarmfulRequest,
    OperatorAction,
    ReplicaFault,
    ReplicaLimit,
    ReplicaPushback,
    StoreFault,
    generate_schedule,
)
from hibiscustray.soak.records import MAX_VERSION_AGE_S

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
        "EarlyEnds",
        "EntryFault",
        "HarmfulRequest",
        "LinkFault",
        "StoreFault",
        "ReplicaFault",
        "OperatorAction",
        "ReplicaLimit",
        "ReplicaPushback",
    }
    assert {s.kind for s in steps if isinstance(s, EntryFault)} == {"stop", "kill", "pause"}
    faults = [s for s in generate_schedule(3, LENGTH_S, 3, 6) if hasattr(s, "duration_s")]
    assert any(
        first.at_s < second.at_s < first.at_s + first.duration_s
        for first in faults
        for second in faults
    )


def test_each_soak_has_harmful_requests_from_its_beginning_and_each_kind_occurs():
    kinds = set()
    for seed in range(20):
        steps = generate_schedule(seed, LENGTH_S, 3, 6)
        plain = generate_schedule(seed, LENGTH_S, 3, 6, without={"harm"})
        harmful = [s for s in steps if isinstance(s, HarmfulRequest)]
        assert set(steps) - set(plain) == set(harmful)
        assert [s.at_s for s in harmful] in ([0.0], [0.0, 0.0])
        kinds |= {s.kind for s in harmful}
    assert kinds == {"book", "look", "draft", "part"}


def test_limits_last_longer_than_entries_may_take_and_do_not_change_the_other_steps_of_a_seed():
    for seed in range(20):
        steps = generate_schedule(seed, LENGTH_S, 3, 6)
        plain = generate_schedule(seed, LENGTH_S, 3, 6, without={"limit"})
        limits = [s for s in steps if isinstance(s, ReplicaLimit)]
        assert set(steps) - set(plain) == set(limits)
        assert all(6.0 <= s.duration_s <= 14.0 for s in limits)


def test_pushbacks_do_not_change_the_other_steps_of_a_seed_and_come_alone_and_together():
    counts, values = set(), set()
    for seed in range(20):
        steps = generate_schedule(seed, LENGTH_S, 3, 6)
        plain = generate_schedule(seed, LENGTH_S, 3, 6, without={"pushback"})
        added = set(steps) - set(plain)
        assert set(plain) < set(steps)
        assert {getattr(s, "kind", "pushback") for s in added} <= {"pushback", "leave"}
        pushbacks = [s for s in steps if isinstance(s, ReplicaPushback)]
        counts |= {sum(s.at_s == other.at_s for other in pushbacks) for s in pushbacks}
        values |= {s.value for s in pushbacks}
    assert {1, 6} <= counts
    assert {"0", "soon", "4"} <= values


def test_early_ends_do_not_change_the_other_steps_of_a_seed_and_overlap_with_them():
    counts, shared = set(), 0
    for seed in range(20):
        steps = generate_schedule(seed, LENGTH_S, 3, 6)
        plain = generate_schedule(seed, LENGTH_S, 3, 6, without={"early"})
        early = [s for s in steps if isinstance(s, EarlyEnds)]
        assert set(steps) - set(plain) == set(early)
        counts |= {sum(s.at_s == other.at_s for other in early) for s in early}
        shared += sum(
            s.at_s < other.at_s < s.at_s + s.duration_s
            for s in early
            for other in plain
            if getattr(other, "replica", None) == s.replica
        )
    assert {1, 6} <= counts
    assert shared > 20


def test_quiet_replicas_do_not_change_the_other_steps_of_a_seed():
    for seed in range(10):
        steps = generate_schedule(seed, LENGTH_S, 3, 6)
        plain = generate_schedule(seed, LENGTH_S, 3, 6, without={"quiet"})
        assert set(plain) < set(steps)
        added = set(steps) - set(plain)
        assert {getattr(s, "kind", "") or s.action for s in added} == {"quiet", "configure"}


def test_replicas_are_quiet_for_1_to_2_s_alone_together_in_series_and_beside_configurations():
    shared = {"alone": 0, "together": 0, "in series": 0, "configured": 0}
    for seed in range(20):
        steps = generate_schedule(seed, LENGTH_S, 3, 6)
        quiet = [s for s in steps if isinstance(s, ReplicaFault) and s.kind == "quiet"]
        configured = [s.at_s for s in steps if isinstance(s, OperatorAction)]
        assert all(1.0 <= s.duration_s <= 2.0 for s in quiet)
        for replica in range(6):
            own = [s for s in quiet if s.replica == replica]
            assert all(a.at_s + a.duration_s < b.at_s for a, b in zip(own, own[1:], strict=False))
        for step in quiet:
            others = [s.at_s - step.at_s for s in quiet if s is not step]
            shared["together"] += 0.0 in others
            shared["in series"] += any(0.0 < gap < step.duration_s for gap in others)
            shared["alone"] += all(abs(gap) > 2.0 for gap in others)
            shared["configured"] += any(0.0 < at - step.at_s < step.duration_s for at in configured)
    assert all(count > 20 for count in shared.values()), shared


def test_replicas_that_begin_late_do_not_change_the_other_steps_of_a_seed():
    for without in ((), ("quiet",)):
        for seed in range(20):
            steps = generate_schedule(seed, LENGTH_S, 3, 6, without)
            plain = generate_schedule(seed, LENGTH_S, 3, 6, {*without, "late"})
            added = [s for s in steps if s not in plain]
            assert len(plain) + len(added) == len(steps)
            assert {getattr(s, "kind", "") or s.action for s in added} <= {
                "hold",
                "queue",
                "backlog",
                "name",
            }


def test_replicas_begin_late_around_bounds_of_versions_and_no_silences_join():
    kinds = set()
    for seed in range(30):
        steps = generate_schedule(seed, LENGTH_S, 3, 6)
        late = [s for s in steps if getattr(s, "kind", "") in ("hold", "queue", "backlog")]
        since = [s.at_s for s in steps if getattr(s, "action", "") == "name"]
        since += [s.at_s + s.duration_s for s in steps if isinstance(s, StoreFault)]
        kinds |= {s.kind for s in late}
        for step in late:
            end_s = step.at_s + step.duration_s
            assert any(0.0 <= end_s - s - MAX_VERSION_AGE_S <= 0.6 + 1e-9 for s in since)
        silent = [s for s in steps if getattr(s, "kind", "") in ("hold", "quiet")]
        assert all(1.0 <= s.duration_s <= 2.0 for s in silent)
        for replica in range(6):
            own = [s for s in silent if s.replica == replica]
            assert all(a.at_s + a.duration_s < b.at_s for a, b in zip(own, own[1:], strict=False))
    assert kinds == {"hold", "queue", "backlog"}


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
