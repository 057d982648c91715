"""The command `bench placement`: compares placement with baseline policies."""

from __future__ import annotations

import click
import msgspec

from hibiscustray.benchmarks.placement import LOADS, POLICIES, MonotonicClock, run_load

COLUMNS = ("callers", "in_time", "late", "refused", "large_in_time")


def run_bench_placement(names: tuple[str, ...], seconds: float, seed: int, is_json: bool) -> int:
    """Run the named loads, or all, under each policy and print the callers' shares by result."""
    if not is_json:
        click.echo(f"{'load':<14}{'policy':<16}" + "".join(f"{name:>15}" for name in COLUMNS))
    for load in LOADS:
        if names and load.name not in names:
            continue
        for policy, make_policy in POLICIES.items():
            shares = run_load(load, make_policy(load), seconds, MonotonicClock(), seed)
            row = msgspec.to_builtins(shares)
            if is_json:
                click.echo(msgspec.json.encode({"load": load.name, "policy": policy} | row))
                continue
            cells = "".join(f"{row[name]:>15}" for name in COLUMNS)
            click.echo(f"{load.name:<14}{policy:<16}{cells}")
    return 0
