"""The command `soak`: runs soaks on the platform's stand-ins."""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass

import click

from hibiscustray.platform import standins
from hibiscustray.soak import FAILED_SEEDS, SoakOptions, run_soak

MAX_SOAK_S = 40.0
"""Upper bound of the length of one soak; its faults last up to 5 s, the last 8 s have none."""
S_PER_MINUTE = 60.0


@dataclass(frozen=True)
class SoakSize:
    """The numbers of entry processes, replicas and callers of each soak."""

    processes: int
    replicas: int
    callers: int


def run_soaks(
    seed: int | None,
    minutes: float,
    size: SoakSize,
    replay: int | None,
    known: bool,
    without: Collection[str] = (),
) -> int:
    """Run soaks one after another; return the number of those that violated a guarantee."""
    length_s, left_out = min(MAX_SOAK_S, minutes * S_PER_MINUTE), frozenset(without)
    if known:
        plans = [(case.seed, case.length_s, case.without) for case in FAILED_SEEDS]
    elif replay is not None:
        plans = [(replay, length_s, left_out)]
    else:
        first_seed = seed if seed is not None else random.randrange(1_000_000_000)
        count = max(1, round(minutes * S_PER_MINUTE / MAX_SOAK_S))
        plans = [(first_seed + n, length_s, left_out) for n in range(count)]
    failed = 0
    for soak_seed, soak_length_s, groups in plans:
        options = SoakOptions(
            soak_seed, soak_length_s, size.processes, size.replicas, size.callers, groups
        )
        report = run_soak(options, standins)
        click.echo(report.render())
        failed += bool(report.violations)
    return failed
