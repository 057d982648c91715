"""Running soaks against the stand-ins of the platform."""

from __future__ import annotations

import random

import click

from hibiscustray.platform import standins
from hibiscustray.soak import FAILED_SEEDS, SoakOptions, run_soak

SOAK_S = 40.0
"""Length of one soak; its faults last up to 5 s, and the last 8 s are quiet."""
S_PER_MINUTE = 60.0


def run_soaks(
    seed: int | None, minutes: float, processes: int, callers: int, replay: int | None, known: bool
) -> int:
    """Run soaks one after another; return the number of those that broke a promise."""
    if known:
        plans = [(case.seed, case.length_s) for case in FAILED_SEEDS]
    elif replay is not None:
        plans = [(replay, min(SOAK_S, minutes * S_PER_MINUTE))]
    else:
        first = seed if seed is not None else random.randrange(1_000_000_000)
        count = max(1, round(minutes * S_PER_MINUTE / SOAK_S))
        plans = [(first + n, min(SOAK_S, minutes * S_PER_MINUTE)) for n in range(count)]
    failed = 0
    for number, length_s in plans:
        options = SoakOptions(number, length_s, entries=processes, callers=callers)
        report = run_soak(options, standins)
        click.echo(report.render())
        failed += bool(report.violations)
    return failed
