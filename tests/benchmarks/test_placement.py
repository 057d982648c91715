"""Callers' outcomes under the entries' placement and under baselines, in simulated time."""

from __future__ import annotations

import pytest

from hibiscustray.benchmarks.names import PLACEMENT_LOADS
from hibiscustray.benchmarks.placement import (
    LOADS,
    POLICIES,
    CallerShares,
    EntryPolicy,
    Load,
    run_load,
)
from hibiscustray.placement import placer as placer_module

SECONDS = 12.0
BASELINES = [name for name in POLICIES if name != "hibiscustray"]


class SimulatedClock:
    """Advances to each time that a caller waits for."""

    def __init__(self) -> None:
        self.at = 1000.0

    def now(self) -> float:
        return self.at

    def wait_until(self, at: float) -> None:
        self.at = max(self.at, at)


@pytest.fixture
def clock(monkeypatch) -> SimulatedClock:
    clock = SimulatedClock()
    monkeypatch.setattr(placer_module.time, "monotonic", lambda: clock.at)
    return clock


def find_load(name: str) -> Load:
    return next(load for load in LOADS if load.name == name)


def run_all(name: str, clock: SimulatedClock) -> tuple[CallerShares, list[CallerShares]]:
    load = find_load(name)
    entry_shares = run_load(load, POLICIES["hibiscustray"](load), SECONDS, clock)
    return entry_shares, [
        run_load(load, POLICIES[policy](load), SECONDS, clock) for policy in BASELINES
    ]


def test_every_load_is_named_on_the_command_line():
    assert tuple(load.name for load in LOADS) == PLACEMENT_LOADS


@pytest.mark.parametrize("name", ["burst", "many-entries", "repeaters"])
def test_overload_serves_more_callers_in_time_than_baselines(clock, name):
    entry_shares, baselines = run_all(name, clock)
    for baseline in baselines:
        assert entry_shares.in_time > baseline.in_time + 0.1
        assert entry_shares.late < baseline.late
    assert entry_shares.large_in_time > entry_shares.in_time / 2, "large requests are starved"


@pytest.mark.parametrize("name", ["slow-replica", "scale-out", "release"])
def test_replica_changes_delay_few_callers(clock, name):
    entry_shares, baselines = run_all(name, clock)
    for baseline in baselines:
        assert entry_shares.in_time >= baseline.in_time - 0.02
    assert entry_shares.in_time > 0.85


def test_all_policies_get_the_same_callers(clock):
    entry_shares, baselines = run_all("burst", clock)
    assert {entry_shares.callers} == {baseline.callers for baseline in baselines}


@pytest.mark.parametrize("name", ["pushback", "pushback-of-all"])
def test_pushbacks_that_are_kept_serve_more_callers_and_meet_next_to_no_rejections(clock, name):
    load = find_load(name)
    kept = run_load(load, EntryPolicy(1), SECONDS, clock)
    unread = run_load(load, EntryPolicy(1, reads_pushbacks=False), SECONDS, clock)
    assert kept.rejections <= 2 * load.pushback_replicas < unread.rejections
    assert kept.in_time >= unread.in_time
    assert kept.refused <= unread.refused


def test_fewer_callers_are_refused_twice_after_the_pushbacks_of_all_replicas_than_without(clock):
    load = find_load("pushback-of-all")
    refused = [
        sum(
            run_load(load, EntryPolicy(3, reads_pushbacks), SECONDS, clock, seed).refused
            for seed in range(8)
        )
        for reads_pushbacks in (True, False)
    ]
    assert refused[0] < refused[1]
