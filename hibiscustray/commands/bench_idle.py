"""Measures what an idle entry and agent take, from the kernel's own accounts."""

from __future__ import annotations

import time
from dataclasses import dataclass

import click
import msgspec

from hibiscustray.benchmarks.processes import read_cpu_s, read_rss_mib

PERCENT = 100.0


@dataclass(frozen=True)
class IdleReport:
    """Resident memory, and processor time as a share of one core."""

    entry_rss_mib: float
    agent_rss_mib: float
    entry_cpu_percent: float
    agent_cpu_percent: float
    seconds: float


def run_idle(entry_pid: int, agent_pid: int, seconds: float, is_json: bool) -> int:
    """Watch two running processes for some seconds and print what they took."""
    started = time.monotonic()
    before = (read_cpu_s(entry_pid), read_cpu_s(agent_pid))
    time.sleep(seconds)
    elapsed = time.monotonic() - started
    report = IdleReport(
        entry_rss_mib=read_rss_mib(entry_pid),
        agent_rss_mib=read_rss_mib(agent_pid),
        entry_cpu_percent=_to_percent(read_cpu_s(entry_pid) - before[0], elapsed),
        agent_cpu_percent=_to_percent(read_cpu_s(agent_pid) - before[1], elapsed),
        seconds=round(elapsed, 1),
    )
    if is_json:
        click.echo(msgspec.json.encode(report))
    else:
        for name, value in msgspec.to_builtins(report).items():
            click.echo(f"{name:<20} {value:>10}")
    return 0


def _to_percent(cpu_s: float, elapsed_s: float) -> float:
    return round(PERCENT * cpu_s / elapsed_s, 2)
