"""The command `bench idle`: memory and CPU time of an idle entry and agent, from the kernel."""

from __future__ import annotations

import time
from dataclasses import dataclass

import click
import msgspec

from hibiscustray.benchmarks.processes import read_cpu_s, read_rss_mib

PERCENT = 100.0


@dataclass(frozen=True)
class IdleReport:
    """Resident memory, and CPU time in percent of one core, over a measuring time in seconds."""

    entry_rss_mib: float
    agent_rss_mib: float
    entry_cpu_percent: float
    agent_cpu_percent: float
    seconds: float


def run_bench_idle(entry_pid: int, agent_pid: int, seconds: float, is_json: bool) -> int:
    """Measure two running processes for some seconds, print the report and return 0."""
    started_at = time.monotonic()
    cpu_before_s = (read_cpu_s(entry_pid), read_cpu_s(agent_pid))
    time.sleep(seconds)
    elapsed_s = time.monotonic() - started_at
    report = IdleReport(
        entry_rss_mib=read_rss_mib(entry_pid),
        agent_rss_mib=read_rss_mib(agent_pid),
        entry_cpu_percent=_to_percent(read_cpu_s(entry_pid) - cpu_before_s[0], elapsed_s),
        agent_cpu_percent=_to_percent(read_cpu_s(agent_pid) - cpu_before_s[1], elapsed_s),
        seconds=round(elapsed_s, 1),
    )
    if is_json:
        click.echo(msgspec.json.encode(report))
    else:
        for name, value in msgspec.to_builtins(report).items():
            click.echo(f"{name:<20} {value:>10}")
    return 0


def _to_percent(cpu_s: float, elapsed_s: float) -> float:
    return round(PERCENT * cpu_s / elapsed_s, 2)
