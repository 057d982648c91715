"""Extrapolation and counts of violations in the configuration benchmark."""

from __future__ import annotations

import msgspec
import pytest
from click.testing import CliRunner

from hibiscustray.__main__ import cli
from hibiscustray.benchmarks import configuration
from hibiscustray.benchmarks.configuration import NodeCost, extrapolate_cost
from hibiscustray.benchmarks.configuration_orders import RecordingEngine
from hibiscustray.exceptions import FencingRejected
from hibiscustray.protocols import LoadWeightsOrder


def make_cost(nodes: int, value: float) -> NodeCost:
    """Return a cost in which every figure has the same value."""
    return NodeCost(nodes, value, value, value, value, value)


def test_constant_and_logarithmic_costs_are_extrapolated():
    constant = tuple(make_cost(nodes, 7.0) for nodes in (50, 100, 200))
    assert extrapolate_cost(constant, 1110).bytes_per_second == 7.0
    rising = tuple(make_cost(2**power, 10.0 * power) for power in (3, 4, 5))
    assert extrapolate_cost(rising, 1024).cpu_percent == 100.0


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_engine_counts_accepted_stale_orders(checks_fencing):
    engine = RecordingEngine(checks_fencing)
    engine.load_weights(LoadWeightsOrder("b", "", 2, "agent", 2))
    try:
        engine.load_weights(LoadWeightsOrder("a", "", 1, "agent", 1))
    except FencingRejected:
        assert checks_fencing
    assert engine.stale_orders_taken == (0 if checks_fencing else 1)


@pytest.mark.parametrize("faults", ["none", "race"])
def test_command_reports_no_violation_in_small_fleet(monkeypatch, faults):
    monkeypatch.setattr(configuration, "COST_WINDOW_S", 0.2)
    arguments = ["bench", "configuration", "--nodes", "4", "--changes", "2", "--json"]
    result = CliRunner().invoke(cli, [*arguments, "--faults", faults])
    report = msgspec.json.decode(result.stdout)
    assert [report[k] for k in ("reverted", "lost", "applied_unaccepted")] == [0, 0, 0]
    assert report["accepted"] == 2
    assert report["denied"] == (14 if faults == "race" else 0)
    assert [size["nodes"] for size in report["sizes"]] == [1, 2, 4]
