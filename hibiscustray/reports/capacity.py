"""The capacity page: load at the two-year target, extrapolated from committed measurements."""

from __future__ import annotations

import math
import re
from dataclasses import dataclass
from importlib.resources import files
from pathlib import Path
from typing import Any

import jinja2
import msgspec

from hibiscustray.decoding import DECODE_ERRORS
from hibiscustray.exceptions import MeasurementMissing

SECONDS_PER_DAY = 86_400
SAMPLE_INTERVAL_S = 60
US_PER_S = 1_000_000
PERCENT = 100.0
WEIGHTS_FILE = re.compile(r"weights-time-\d+\.json")


@dataclass(frozen=True)
class Target:
    """The sizes and rates of the two-year target, and bounds for the control traffic of a node."""

    entries: int = 390
    replicas: int = 720
    requests_per_s: float = 2500.0
    tokens_per_s: float = 1_100_000.0
    changes_per_day: int = 530
    weight_vms: int = 500
    control_cpu_percent: float = 1.1
    control_rss_mib: float = 64.0
    control_bytes_per_s: float = 4096.0
    store_reads_per_s: float = 2000.0
    store_writes_per_s: float = 300.0

    @property
    def nodes(self) -> int:
        """Return the number of processes, each of which is a node."""
        return self.entries + self.replicas


@dataclass(frozen=True)
class Measurements:
    """Committed JSON output of the benchmarks."""

    idle: dict[str, Any]
    stream: dict[str, Any]
    configuration: dict[str, Any]
    weights: tuple[dict[str, Any], ...]


@dataclass(frozen=True)
class RoleLoad:
    """Load and resource use of one process of a role at the target."""

    processes: int
    tokens_per_s: float
    requests_per_s: float
    cpu_us_per_token: float
    data_cores: float
    idle_cpu_percent: float
    idle_rss_mib: float
    loaded_rss_mib: float


@dataclass(frozen=True)
class DistributionFit:
    """Time until all replicas serve, fitted as constant + per_doubling * log2(replicas)."""

    constant: float
    per_doubling: float

    def predict(self, replicas: int) -> float:
        """Return the time as a share of T, the window that the capacity page defines."""
        return self.constant + self.per_doubling * math.log2(replicas)


def read_measurements(folder: Path) -> Measurements:
    """Read the benchmark results in a folder; raise `MeasurementMissing`."""
    return Measurements(
        idle=_read_result(folder / "idle.json", "make bench-idle"),
        stream=_read_result(folder / "stream.json", "make bench-stream"),
        configuration=_read_configuration(folder),
        weights=_read_weights(folder),
    )


def render_capacity(measurements: Measurements, target: Target) -> str:
    """Return the capacity page as Markdown."""
    template = files("hibiscustray.reports").joinpath("capacity.md.j2").read_text()
    environment = jinja2.Environment(
        undefined=jinja2.StrictUndefined, trim_blocks=True, lstrip_blocks=True
    )
    configuration = measurements.configuration
    fit = fit_distribution([(w["replicas"], w["ratio_to_window"]) for w in measurements.weights])
    return environment.from_string(template).render(
        target=target,
        entry=_compute_role_load(measurements, "entry", target.entries, target),
        agent=_compute_role_load(measurements, "agent", target.replicas, target),
        sizes=configuration["sizes"],
        control=configuration["worked_out_at_target"],
        configuration=configuration,
        weights=measurements.weights,
        weights_share=fit.predict(target.weight_vms),
        fit=fit,
        stream=measurements.stream,
        sample_writes=target.entries / SAMPLE_INTERVAL_S,
        changes_per_s=target.changes_per_day / SECONDS_PER_DAY,
        tokens_per_entry_core=US_PER_S / measurements.stream["entry_cpu_us_per_token"],
        percent=PERCENT,
    )


def fit_distribution(points: list[tuple[int, float]]) -> DistributionFit:
    """Fit a line to measured times over log2(replicas) by least squares.

    Each point is a number of replicas and the time as a share of T.
    """
    logs = [math.log2(replicas) for replicas, _ in points]
    shares = [share for _, share in points]
    mean_log = sum(logs) / len(logs)
    mean_share = sum(shares) / len(shares)
    sum_of_squares = sum((x - mean_log) ** 2 for x in logs)
    if not sum_of_squares:
        return DistributionFit(mean_share, 0.0)
    products = [(x - mean_log) * (y - mean_share) for x, y in zip(logs, shares, strict=True)]
    per_doubling = sum(products) / sum_of_squares
    return DistributionFit(mean_share - per_doubling * mean_log, per_doubling)


def _compute_role_load(
    measurements: Measurements, role: str, count: int, target: Target
) -> RoleLoad:
    tokens_per_s = target.tokens_per_s / count
    cpu_us_per_token = measurements.stream[f"{role}_cpu_us_per_token"]
    return RoleLoad(
        processes=count,
        tokens_per_s=tokens_per_s,
        requests_per_s=target.requests_per_s / count,
        cpu_us_per_token=cpu_us_per_token,
        data_cores=tokens_per_s * cpu_us_per_token / US_PER_S,
        idle_cpu_percent=measurements.idle[f"{role}_cpu_percent"],
        idle_rss_mib=measurements.idle[f"{role}_rss_mib"],
        loaded_rss_mib=measurements.stream[f"{role}_rss_mib"],
    )


def _read_result(path: Path, command: str) -> dict[str, Any]:
    try:
        return msgspec.json.decode(path.read_bytes(), type=dict[str, Any])
    except (OSError, *DECODE_ERRORS) as error:
        raise MeasurementMissing(
            f"{path}: run `{command}` and store its JSON output there"
        ) from error


def _read_configuration(folder: Path) -> dict[str, Any]:
    """Return the run without faults that has the most nodes."""
    command = "hibiscustray bench configuration --nodes 200"
    runs = [_read_result(path, command) for path in folder.glob("configuration-*-none-*.json")]
    if not runs:
        raise MeasurementMissing(f"{folder}/configuration-*-none-*.json: run `{command}`")
    return max(runs, key=lambda run: run["nodes"])


def _read_weights(folder: Path) -> tuple[dict[str, Any], ...]:
    paths = [path for path in folder.iterdir() if WEIGHTS_FILE.fullmatch(path.name)]
    command = "hibiscustray bench weights --objective time"
    runs = [_read_result(path, command) for path in paths]
    if not runs:
        raise MeasurementMissing(f"{folder}/weights-time-N.json: run `{command}`")
    single_region = [run for run in runs if run["regions"] == 1]
    return tuple(sorted(single_region, key=lambda run: run["replicas"]))
