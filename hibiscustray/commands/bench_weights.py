"""The command `bench weights`: measures how fast a version reaches its replicas."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import click
import msgspec

from hibiscustray.benchmarks.fleet import FleetShape
from hibiscustray.benchmarks.plot import save_plot
from hibiscustray.benchmarks.weights import WeightsReport, WeightsRun


@dataclass(frozen=True)
class WeightsOptions:
    """Options of the command."""

    replicas: int
    zones: int
    regions: int
    model_mib: int
    objective: str
    faults: str
    seed: int
    is_json: bool
    plot: Path | None


def run_bench_weights(options: WeightsOptions) -> int:
    """Run the benchmark and print the report.

    Returns 1 unless all surviving replicas serve the complete and verified version.
    """
    shape = FleetShape(
        options.replicas,
        max(options.zones, options.regions),
        options.regions,
        options.model_mib,
        options.objective,
        options.seed,
    )
    run = WeightsRun(shape, options.faults)
    report = run.measure()
    _print_report(report, options.is_json)
    if options.plot is not None:
        save_plot(options.plot, run.samples, report)
    return 0 if report.has_passed() else 1


def _print_report(report: WeightsReport, is_json: bool) -> None:
    if is_json:
        click.echo(msgspec.json.encode(report))
        return
    for name, value in msgspec.to_builtins(report).items():
        click.echo(f"{name:<30} {value}")
