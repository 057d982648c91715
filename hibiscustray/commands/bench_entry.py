"""The command `bench entry`: measures the latency that an entry and an agent add to a call."""

from __future__ import annotations

import click
import msgspec

from hibiscustray.benchmarks.entry_cost import measure_entry_cost


def run_bench_entry(rate: float, seconds: float, is_json: bool) -> int:
    """Measure and print the added latency and return 0."""
    cost = measure_entry_cost(rate, seconds)
    if is_json:
        click.echo(msgspec.json.encode(cost))
    else:
        for name, value in msgspec.to_builtins(cost).items():
            click.echo(f"{name:<16} {value}")
    return 0
