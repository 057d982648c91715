"""Plot of the number of serving replicas over time."""

from __future__ import annotations

from pathlib import Path

from hibiscustray.benchmarks.weights import Sample, WeightsReport


def save_plot(file: Path, samples: list[Sample], report: WeightsReport) -> None:
    """Write the plot as PNG or SVG, depending on the file's suffix; needs the `plots` extra."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 4.5), layout="constrained")
    axes = figure.subplots()
    axes.step([s.seconds for s in samples], [s.serving for s in samples], where="post")
    axes.axvline(report.floor_seconds, linestyle=":", color="grey", label="floor")
    axes.axvline(report.window_seconds, linestyle="--", color="grey", label="window T")
    axes.set_xlabel("seconds after the version was applied")
    axes.set_ylabel("replicas serving")
    axes.set_title(f"{report.replicas} replicas, {report.objective}, faults: {report.faults}")
    axes.legend()
    figure.savefig(file)
