"""The command `demo`: rolls out two versions under live requests at a site in one process.

The site consists of entries, agents, and stand-ins for the platform and the upstreams.
"""

from __future__ import annotations

import dataclasses
import hashlib
import sys
import tempfile
import time
from dataclasses import dataclass, replace
from pathlib import Path

import click
import msgspec
from tqdm import tqdm

from hibiscustray.deployments import Team
from hibiscustray.operator import DeploymentPlan, Model, PlainService, ServicePlan
from hibiscustray.standins.callers import Callers
from hibiscustray.standins.fault_counts import FaultCounts, count_faults
from hibiscustray.standins.site import TEAM, TEAM_KEY, Site, SiteShape

MIB = 1024 * 1024
DEFAULT_WEIGHTS_MIB = 64
SERVING_TIMEOUT_S = 120.0
LIVE_REQUESTS_S = 1.5
"""Time for which callers send requests before and after the second roll-out."""
CALLER_THREADS = 8
THINK_TIME_S = 0.1
"""Mean pause of a caller between two requests."""
NOT_REACHED = -1.0
"""Reported in place of a duration if not all replicas served in time."""


@dataclass(frozen=True)
class DemoOptions:
    """Options of the command."""

    weights: Path | None
    seed: int
    is_json: bool
    is_served: bool


@dataclass(frozen=True)
class DemoReport:
    """Results of the demo; the last three are checked against engines' and services' records."""

    replicas_serving: int
    seconds_to_n: float
    seconds_to_roll: float
    origin_copies: float
    answered: int
    not_run: int
    unknown: int
    cut: int
    mixed: int
    run_twice: int

    def has_passed(self, replicas: int) -> bool:
        """Return whether all replicas serve, requests were answered and no fault was counted."""
        faults = self.cut + self.mixed + self.run_twice + self.unknown
        return self.replicas_serving == replicas and faults == 0 and self.answered > 0


class ProgressDisplay:
    """Shows the progress of transfers: bars on a terminal, plain lines elsewhere."""

    def __init__(self, is_shown: bool) -> None:
        self._is_shown = is_shown
        self._is_terminal = sys.stderr.isatty()
        self._bars: dict[str, tqdm] = {}

    def update(self, replica: str, held: int, count: int) -> None:
        """Show how many of a version's chunks a replica holds."""
        if not self._is_shown:
            return
        if not self._is_terminal:
            if held == count:
                click.echo(f"{replica}: {held} of {count} chunks verified", err=True)
            return
        if replica not in self._bars:
            self._bars[replica] = tqdm(
                total=count, desc=replica, unit="chunk", position=len(self._bars)
            )
        bar = self._bars[replica]
        bar.n = held
        bar.refresh()

    def close(self) -> None:
        """Close all bars, which restores the terminal."""
        for bar in self._bars.values():
            bar.close()


def run_demo(options: DemoOptions) -> int:
    """Run the demo, print its report and return 1 if it has not passed."""
    shape = SiteShape()
    site = Site(shape)
    progress = ProgressDisplay(not options.is_json)
    site.start(progress.update)
    try:
        with tempfile.TemporaryDirectory(prefix="hibiscustray-weights-") as folder:
            report = _roll_out_versions(site, options, Path(folder))
            progress.close()
            _print_report(report, options.is_json)
            if options.is_served:
                _wait_for_interrupt(site)
    finally:
        site.stop()
    return 0 if report.has_passed(shape.model_replicas) else 1


def _roll_out_versions(site: Site, options: DemoOptions, folder: Path) -> DemoReport:
    first_file = options.weights or _generate_weights(folder / "v1.bin", options.seed)
    second_file = _generate_weights(folder / "v2.bin", options.seed + 1, first_file.stat().st_size)
    site.platform.add_file("guide/v1", first_file)
    site.platform.add_file("guide/v2", second_file)
    model = Model("guide")
    first = model.version("guide-1", site.operator.publish(first_file, "guide/v1"))
    second = model.version("guide-2", site.operator.publish(second_file, "guide/v2"))
    first_plan = DeploymentPlan(
        name="demo",
        versions=(first,),
        services=(
            ServicePlan(site.shape.model_service, first, max_unavailable=2),
            PlainService(site.shape.plain_service),
        ),
        teams=(Team(TEAM),),
    )
    site.operator.apply(first_plan)
    seconds_to_n = site.wait_until_serving(first.manifest, SERVING_TIMEOUT_S)
    site.wait_until_routable(SERVING_TIMEOUT_S)
    origin_copies = site.platform.origin_bytes / first_file.stat().st_size
    callers = _start_callers(site, options.seed)
    time.sleep(LIVE_REQUESTS_S)
    second_plan = replace(
        first_plan,
        versions=(first, second),
        services=(
            ServicePlan(site.shape.model_service, second, max_unavailable=2),
            PlainService(site.shape.plain_service),
        ),
    )
    site.operator.apply(second_plan)
    seconds_to_roll = site.wait_until_serving(second.manifest, SERVING_TIMEOUT_S)
    time.sleep(LIVE_REQUESTS_S)
    callers.stop()
    faults = _count_faults(site, callers)
    return DemoReport(
        replicas_serving=site.count_serving(second.manifest),
        seconds_to_n=round(seconds_to_n or NOT_REACHED, 3),
        seconds_to_roll=round(seconds_to_roll or NOT_REACHED, 3),
        origin_copies=round(origin_copies, 3),
        **dataclasses.asdict(faults),
    )


def _start_callers(site: Site, seed: int) -> Callers:
    callers = Callers(
        [entry.url for entry in site.entries],
        TEAM_KEY,
        site.shape.model_service,
        site.shape.plain_service,
        seed,
        THINK_TIME_S,
    )
    callers.start(CALLER_THREADS)
    return callers


def _count_faults(site: Site, callers: Callers) -> FaultCounts:
    for result in callers.results:
        if result.outcome != "answered" or result.is_wrong:
            click.echo(f"{result.outcome}: {result.reference} {result.detail}", err=True)
    records = [record for model in site.models for record in model.engine.records]
    runs = [plain.service.runs for plain in site.plains]
    return count_faults(callers.results, records, runs)


def _generate_weights(path: Path, seed: int, size: int = DEFAULT_WEIGHTS_MIB * MIB) -> Path:
    with path.open("wb") as out:
        for start in range(0, size, MIB):
            block = hashlib.shake_128(f"{seed}/{start}".encode())
            out.write(block.digest(min(MIB, size - start)))
    return path


def _print_report(report: DemoReport, is_json: bool) -> None:
    if is_json:
        click.echo(msgspec.json.encode(report))
        return
    click.echo()
    for name, value in msgspec.to_builtins(report).items():
        click.echo(f"{name.replace('_', ' '):<20} {value:>10}")


def _wait_for_interrupt(site: Site) -> None:
    click.echo(f"table    {site.platform.url}")
    click.echo(f"origin   {site.platform.origin_url}")
    for entry in site.entries:
        click.echo(f"entry    {entry.url}  metrics {entry.url}/metrics")
    for replica in [*site.models, *site.plains]:
        click.echo(f"agent    {replica.agent.url}  metrics {replica.agent.url}/metrics")
    click.echo(f"team key {TEAM_KEY}; stop with Ctrl-C")
    try:
        while True:
            time.sleep(1.0)
    except KeyboardInterrupt:
        return
