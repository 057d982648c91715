"""Callers' outcomes under the entries' placement and under baselines, in simulated time."""

from __future__ import annotations

import pytest

from hibiscustray.benchmarks.names import PLACEMENT_LOADS
from hibiscustray.benchmarks.placement import LOADS, POLICIES, CallerShares, Load, run_load
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
