"""The command `bench configuration`: measures how configuration changes reach a fleet."""

from __future__ import annotations

from dataclasses import dataclass

import click
import msgspec

from hibiscustray.benchmarks.configuration import ConfigurationReport, ConfigurationRun


@dataclass(frozen=True)
class ConfigurationOptions:
    """Options of the command."""

    nodes: int
    changes: int
    faults: str
    seed: int
    is_json: bool


def run_bench_configuration(options: ConfigurationOptions) -> int:
    """Run the benchmark, print the report and return 1 on a fault or a late change."""
    run = ConfigurationRun(options.nodes, options.changes, options.faults, options.seed)
    report = run.measure()
    _print_report(report, options.is_json)
    return 0 if report.has_passed() else 1


def _print_report(report: ConfigurationReport, is_json: bool) -> None:
    if is_json:
        click.echo(msgspec.json.encode(report))
        return
    for name, value in msgspec.to_builtins(report).items():
        click.echo(f"{name:<28} {value}")
