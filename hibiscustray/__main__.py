"""The command line: thin click commands that call one function each."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from hibiscustray import __version__
from hibiscustray.exceptions import HibiscustrayError

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


@bench.command("requests")
@click.option("--entries", type=click.IntRange(1), default=2, show_default=True)
@click.option("--replicas", type=click.IntRange(1), default=6, show_default=True)
@click.option("--teams", type=click.IntRange(1), default=8, show_default=True)
@click.option("--rate", type=float, default=24.0, show_default=True, help="Requests a second.")
@click.option("--rush", default="", metavar="TEAM:FACTOR", help="One team's rate is multiplied.")
@click.option("--mix", default="", metavar="STREAM:BOOKING", help="Shares; the rest is whole chat.")
@click.option("--seconds", type=float, default=20.0, show_default=True)
@click.option("--faults", default="none", show_default=True, help="A fault's name, none or all.")
@click.option("--policy", default="adaptive", show_default=True, help="Names with commas, or all.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
def bench_requests(**options) -> None:
    """Measure requests under load and faults over engine stand-ins."""
    from hibiscustray.commands.bench_requests import run_command

    sys.exit(run_command(**options))


@cli.group()
def report() -> None:
    """Report on a running system."""


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
