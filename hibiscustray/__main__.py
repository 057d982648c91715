"""The command line: thin click commands that call one function each."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from hibiscustray import __version__
from hibiscustray.exceptions import HibiscustrayError

WEIGHTS_FAULTS = (
    "none",
    "corrupt",
    "stall",
    "die",
    "churn",
    "origin_outage",
    "store_outage",
    "version_change",
    "all",
)
FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.group()
@click.version_option(__version__)
def cli() -> None:
    """Move model weights to many VMs while requests keep being routed to them."""


@cli.command()
@click.option("--settings", type=FILE, required=True, help="INI file of this entry.")
def entry(settings: Path) -> None:
    """Run an entry."""
    from hibiscustray.commands.serving import run_entry

    run_entry(settings)


@cli.command()
@click.option("--settings", type=FILE, required=True, help="INI file of this agent.")
def agent(settings: Path) -> None:
    """Run an agent beside an upstream."""
    from hibiscustray.commands.serving import run_agent

    run_agent(settings)


@cli.command()
@click.option("--weights", type=FILE, help="File to use as weights; 64 MiB are made if absent.")
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of all choices.")
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
@click.option("--serve", "is_served", is_flag=True, help="Keep the site up until Ctrl-C.")
def demo(weights: Path | None, seed: int, is_json: bool, is_served: bool) -> None:
    """Run a whole site in this process and roll out two versions under live requests."""
    from hibiscustray.commands.demo import DemoOptions, run_demo

    sys.exit(run_demo(DemoOptions(weights, seed, is_json, is_served)))


@cli.group()
def bench() -> None:
    """Measure one part of the system on this machine."""


@bench.command("weights")
@click.option("--replicas", type=click.IntRange(1), default=14, show_default=True)
@click.option("--zones", type=click.IntRange(1), default=1, show_default=True)
@click.option("--regions", type=click.IntRange(1), default=1, show_default=True)
@click.option("--model-mib", type=click.IntRange(1), default=8, show_default=True)
@click.option("--objective", type=click.Choice(["time", "origin_bytes"]), default="time")
@click.option("--faults", type=click.Choice(WEIGHTS_FAULTS), default="none", show_default=True)
@click.option("--threads", is_flag=True, help="Run all agents in this process (the only way yet).")
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of all choices.")
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
@click.option("--plot", type=click.Path(dir_okay=False, path_type=Path), help="PNG or SVG file.")
def bench_weights(plot: Path | None, is_json: bool, threads: bool, **shape) -> None:
    """Bring one version to N replicas behind shaped links and measure it."""
    from hibiscustray.commands.bench_weights import WeightsOptions, run_bench_weights

    sys.exit(run_bench_weights(WeightsOptions(is_json=is_json, plot=plot, **shape)))


@cli.group()
def report() -> None:
    """Report on a running system."""


@report.command("burn")
@click.option("--table-url", required=True, help="URL of the platform's table.")
@click.option("--entry-url", "entry_urls", multiple=True, help="Entry to ask; may be repeated.")
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
@click.option(
    "--html", "page", type=click.Path(dir_okay=False, path_type=Path), help="Write a page."
)
def report_burn(
    table_url: str, entry_urls: tuple[str, ...], is_json: bool, page: Path | None
) -> None:
    """Show error budgets and how fast they burn; exit 10 on a slow, 11 on a fast burn."""
    from hibiscustray.commands.report_burn import BurnOptions, run_burn_report

    sys.exit(run_burn_report(BurnOptions(table_url, entry_urls, is_json, page)))


@cli.group()
def standin() -> None:
    """Run a stand-in of the platform, an engine or a plain service."""


def main() -> None:
    """Run the command line; a failure ends with its type's exit code."""
    try:
        cli(standalone_mode=True)
    except HibiscustrayError as error:
        click.echo(f"{type(error).__name__}: {error}", err=True)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
