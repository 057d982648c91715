"""The command line: thin click commands that call one function each."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from hibiscustray import __version__
from hibiscustray.benchmarks.names import CONFIGURATION_FAULTS, PLACEMENT_LOADS, WEIGHTS_FAULTS
from hibiscustray.exceptions import HibiscustrayError

os.environ.setdefault("GRPC_VERBOSITY", "ERROR")

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
@click.option("--seed", type=int, help="Seed of the first soak; drawn if not given.")
@click.option("--minutes", type=click.FloatRange(0.1), default=2.0, show_default=True)
@click.option("--processes", type=click.IntRange(1, 200), default=3, show_default=True)
@click.option("--callers", type=click.IntRange(1, 400), default=12, show_default=True)
@click.option("--replay", type=int, help="Run the soak of this seed alone.")
@click.option("--known", is_flag=True, help="Run the seeds that failed once.")
def soak(
    seed: int | None, minutes: float, processes: int, callers: int, replay: int | None, known: bool
) -> None:
    """Run entries under random faults and check what callers and replicas see."""
    from hibiscustray.commands.soaking import run_soaks

    sys.exit(1 if run_soaks(seed, minutes, processes, callers, replay, known) else 0)


@cli.group()
def host() -> None:
    """Run a process on a platform that hosts it and writes its settings file."""


HOSTED = click.option("--settings", type=FILE, help="INI file; the platform's own if not given.")


@host.command("entry")
@HOSTED
def host_entry(settings: Path | None) -> None:
    """Run an entry that forwards requests straight to replicas."""
    from hibiscustray.commands.hosting import run_hosted_entry

    run_hosted_entry(settings)


@host.command("agent")
@HOSTED
def host_agent(settings: Path | None) -> None:
    """Run an agent that keeps the replica on its VM at the named weights."""
    from hibiscustray.commands.hosting import run_hosted_agent

    run_hosted_agent(settings)


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


@bench.command("entry")
@click.option("--rate", type=float, default=100.0, show_default=True, help="Requests a second.")
@click.option("--seconds", type=float, default=5.0, show_default=True)
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
def bench_entry(rate: float, seconds: float, is_json: bool) -> None:
    """Measure the latency that entry and agent add to a plain call."""
    from hibiscustray.commands.bench_entry import run_command

    sys.exit(run_command(rate, seconds, is_json))


@bench.command("configuration")
@click.option("--nodes", type=click.IntRange(1), default=50, show_default=True)
@click.option("--changes", type=click.IntRange(1), default=5, show_default=True)
@click.option("--faults", type=click.Choice(CONFIGURATION_FAULTS), default="none")
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of all choices.")
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
def bench_configuration(nodes: int, changes: int, faults: str, seed: int, is_json: bool) -> None:
    """Change the configuration of a fleet under faults and measure it."""
    from hibiscustray.commands.bench_configuration import (
        ConfigurationOptions,
        run_bench_configuration,
    )

    sys.exit(run_bench_configuration(ConfigurationOptions(nodes, changes, faults, seed, is_json)))


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


@bench.command("placement")
@click.option("--load", "names", multiple=True, type=click.Choice(PLACEMENT_LOADS))
@click.option("--seconds", type=click.FloatRange(1.0), default=8.0, show_default=True)
@click.option("--seed", type=int, default=7, show_default=True)
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object for each row.")
def bench_placement(names: tuple[str, ...], seconds: float, seed: int, is_json: bool) -> None:
    """Play the loads that placing answers, over simulated engines, against plain policies."""
    from hibiscustray.commands.bench_placement import run_bench_placement

    sys.exit(run_bench_placement(names, seconds, seed, is_json))


@bench.command("stream")
@click.option("--entry-url", "url", required=True, help="URL of a running entry.")
@click.option("--team-key", "key_file", type=FILE, required=True, help="File with a team's key.")
@click.option("--service", default="guide-llm", show_default=True)
@click.option("--entry-pid", type=int, required=True)
@click.option("--agent-pid", type=int, required=True)
@click.option("--streams", type=click.IntRange(1), default=16, show_default=True)
@click.option("--tokens", type=click.IntRange(1), default=64, show_default=True)
@click.option("--seconds", type=float, default=10.0, show_default=True)
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
def bench_stream(key_file: Path, is_json: bool, **options) -> None:
    """Measure what streams through a running entry and agent cost them."""
    from hibiscustray.commands.bench_stream import run_bench_stream

    sys.exit(run_bench_stream(key_file, is_json, **options))


@bench.command()
@click.option("--entry-pid", type=int, required=True, help="Process id of an idle entry.")
@click.option("--agent-pid", type=int, required=True, help="Process id of an idle agent.")
@click.option("--seconds", type=float, default=20.0, show_default=True, help="Time to watch.")
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
def idle(entry_pid: int, agent_pid: int, seconds: float, is_json: bool) -> None:
    """Measure memory and processor time of a running entry and agent."""
    from hibiscustray.commands.bench_idle import run_idle

    sys.exit(run_idle(entry_pid, agent_pid, seconds, is_json))


@bench.command("bookings")
@click.option("--bookings", type=click.IntRange(1), default=200, show_default=True)
@click.option("--callers", type=click.IntRange(1), default=4, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
def bench_bookings(**options) -> None:
    """Measure ways to run bookings at most once, through lost answers and an outage."""
    from hibiscustray.commands.bench_bookings import run_bench_bookings

    sys.exit(run_bench_bookings(**options))


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


@report.command("capacity")
@click.argument("folder", type=click.Path(file_okay=False, path_type=Path))
@click.option("--output", type=click.Path(dir_okay=False, path_type=Path), required=True)
def report_capacity(folder: Path, output: Path) -> None:
    """Write the capacity page from the benchmarks' output in a folder."""
    from hibiscustray.reports.capacity import Target, read_measurements, render_capacity

    output.write_text(render_capacity(read_measurements(folder), Target()))


@cli.group()
def standin() -> None:
    """Run a stand-in of the platform, an engine or a plain service."""


@standin.command()
@click.option("--settings", type=FILE, required=True, help="INI file of this stand-in.")
def platform(settings: Path) -> None:
    """Run the platform's stand-in: table, object store, VM list and origin."""
    from hibiscustray.commands.standing import build_platform, run_standin

    run_standin(build_platform(settings), "platform")


@standin.command()
@click.option("--settings", type=FILE, required=True, help="INI file of this stand-in.")
def engine(settings: Path) -> None:
    """Run a model engine's stand-in."""
    from hibiscustray.commands.standing import build_engine, run_standin

    run_standin(build_engine(settings), "engine")


@standin.command()
@click.option("--settings", type=FILE, required=True, help="INI file of this stand-in.")
def service(settings: Path) -> None:
    """Run a plain service's stand-in."""
    from hibiscustray.commands.standing import build_service, run_standin

    run_standin(build_service(settings), "service")


@standin.command()
@click.option("--settings", type=FILE, required=True, help="INI file of the callers.")
def callers(settings: Path) -> None:
    """Send requests until a signal, then count faults; exit 1 if there is any."""
    from hibiscustray.commands.calling import run_callers

    sys.exit(run_callers(settings))


OPERATOR = click.option("--settings", type=FILE, required=True, help="INI file of the operator.")
ARGUMENTS = click.argument("arguments", nargs=-1)


@cli.command()
@OPERATOR
@click.option("--expected", type=int, help="Revision that must still be the newest.")
@click.option("--wait", "wait_s", type=float, default=0.0, help="Seconds to wait until in force.")
@click.argument("file", type=FILE)
@ARGUMENTS
def apply(
    settings: Path, expected: int | None, wait_s: float, file: Path, arguments: tuple[str, ...]
) -> None:
    """Put FILE in force: INI, or a Python program (with its arguments) that prints it."""
    from hibiscustray.commands.operating import apply_deployment

    sys.exit(apply_deployment(settings, file, arguments, expected, wait_s))


@cli.command()
@OPERATOR
@click.option("--revision", type=int, default=0, help="Number of the revision; the newest if 0.")
def show(settings: Path, revision: int) -> None:
    """Print the INI text of a revision."""
    from hibiscustray.commands.operating import show_deployment

    sys.exit(show_deployment(settings, revision))


@cli.command()
@OPERATOR
@click.argument("file", type=FILE)
@ARGUMENTS
def diff(settings: Path, file: Path, arguments: tuple[str, ...]) -> None:
    """Print what applying FILE would change; exit 1 if anything."""
    from hibiscustray.commands.operating import show_difference

    sys.exit(show_difference(settings, file, arguments))


@cli.command()
@OPERATOR
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
def status(settings: Path, is_json: bool) -> None:
    """Compare the newest revision with what each process follows; exit 1 on drift."""
    from hibiscustray.commands.operating import show_status

    sys.exit(show_status(settings, is_json))


@cli.command()
@OPERATOR
def history(settings: Path) -> None:
    """Print all accepted revisions."""
    from hibiscustray.commands.operating import show_history

    sys.exit(show_history(settings))


@cli.command()
@OPERATOR
@click.argument("revision", type=int)
def rollback(settings: Path, revision: int) -> None:
    """Put the text of an earlier REVISION in force as a new revision."""
    from hibiscustray.commands.operating import roll_back

    sys.exit(roll_back(settings, revision))


@cli.command()
@OPERATOR
def snapshot(settings: Path) -> None:
    """Write all accepted revisions to the object store and print the snapshot's key."""
    from hibiscustray.commands.operating import save_snapshot

    sys.exit(save_snapshot(settings))


@cli.command()
@OPERATOR
@click.option("--key", default="snapshots/revisions/latest", show_default=True)
def restore(settings: Path, key: str) -> None:
    """Write a snapshot's revisions into an empty table."""
    from hibiscustray.commands.operating import restore_snapshot

    sys.exit(restore_snapshot(settings, key))


@cli.command()
@OPERATOR
@click.option("--path", required=True, help="Path under which the origin serves the file.")
@click.option("--chunk-kib", type=int, default=0, help="Chunk size in KiB; the default if 0.")
@click.option("--base", default="", help="Digest of the model that an adapter fits.")
@click.argument("file", type=FILE)
def publish(settings: Path, path: str, chunk_kib: int, base: str, file: Path) -> None:
    """Hash a weights FILE, store its manifest and print the version's digest."""
    from hibiscustray.commands.operating import publish_file

    sys.exit(publish_file(settings, file, path, chunk_kib, base))


KINDS = ("entry", "agent", "operator", "deployment", "platform", "engine", "service", "callers")


@cli.command()
@click.option("--kind", type=click.Choice(KINDS), required=True, help="What the files are.")
@click.argument("files", nargs=-1, type=FILE, required=True)
def check(kind: str, files: tuple[Path, ...]) -> None:
    """Check settings or deployment FILES without the network."""
    from hibiscustray.commands.checking import check_files

    sys.exit(check_files(kind, files))


def main() -> None:
    """Run the command line; a failure ends with its type's exit code."""
    try:
        cli(standalone_mode=True)
    except HibiscustrayError as error:
        click.echo(f"{type(error).__name__}: {error}", err=True)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
