"""The loads that placing and refusing answer, in simulated time: what their callers get."""

from __future__ import annotations

import pytest

from hibiscustray.benchmarks.names import PLACEMENT_LOADS
from hibiscustray.benchmarks.placement import LOADS, POLICIES, CallerShares, Load, run_load
from hibiscustray.placement import placer as placer_module

SECONDS = 12.0
PLAIN = [name for name in POLICIES if name != "hibiscustray"]


class SimulatedClock:
    """Jumps to each time that is waited for."""

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


def play_all(name: str, clock: SimulatedClock) -> tuple[CallerShares, list[CallerShares]]:
    load = find_load(name)
    ours = run_load(load, POLICIES["hibiscustray"](load), SECONDS, clock)
    return ours, [run_load(load, POLICIES[policy](load), SECONDS, clock) for policy in PLAIN]


def test_every_load_has_its_name_on_the_command_line():
    assert tuple(load.name for load in LOADS) == PLACEMENT_LOADS


@pytest.mark.parametrize("name", ["burst", "many-entries", "repeaters"])
def test_beyond_capacity_more_callers_are_served_in_time(clock, name):
    ours, plain = play_all(name, clock)
    for other in plain:
        assert ours.in_time > other.in_time + 0.1
        assert ours.late < other.late
    assert ours.large_in_time > ours.in_time / 2, "large requests are not shut out"


@pytest.mark.parametrize("name", ["slow-replica", "scale-out", "release"])
def test_changes_of_the_replicas_cost_few_callers_their_time(clock, name):
    ours, plain = play_all(name, clock)
    for other in plain:
        assert ours.in_time >= other.in_time - 0.02
    assert ours.in_time > 0.85


def test_all_policies_see_the_same_callers(clock):
    ours, plain = play_all("burst", clock)
    assert {ours.callers} == {other.callers for other in plain}
