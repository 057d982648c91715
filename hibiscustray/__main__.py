"""The command line; each command imports its code only when it runs, for a fast start."""

from __future__ import annotations

import os
import signal
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
    """Distribute model weights to many VMs while requests continue to be routed to them."""


@cli.command()
@click.option("--settings", type=FILE, required=True, help="INI file of this entry.")
def entry(settings: Path) -> None:
    """Run an entry, which routes callers' requests to agents."""
    from hibiscustray.commands.serving import run_entry

    run_entry(settings)


@cli.command()
@click.option("--settings", type=FILE, required=True, help="INI file of this agent.")
def agent(settings: Path) -> None:
    """Run an agent, which forwards requests to the upstream on its VM."""
    from hibiscustray.commands.serving import run_agent

    run_agent(settings)


@cli.command()
@click.option("--seed", type=int, help="Seed of the first soak; random if not given.")
@click.option("--minutes", type=click.FloatRange(0.1), default=2.0, show_default=True)
@click.option("--processes", type=click.IntRange(1, 200), default=3, show_default=True)
@click.option("--callers", type=click.IntRange(1, 400), default=12, show_default=True)
@click.option("--replicas", type=click.IntRange(2, 200), default=6, show_default=True)
@click.option("--replay", type=int, help="Run only the soak of this seed.")
@click.option("--known", is_flag=True, help="Run the seeds that failed in earlier soaks.")
@click.option(
    "--without",
    type=click.Choice(("quiet", "harm", "limit", "pushback", "early", "late")),
    multiple=True,
    help="Omit these steps.",
)
def soak(
    seed: int | None,
    minutes: float,
    processes: int,
    callers: int,
    replicas: int,
    replay: int | None,
    known: bool,
    without: tuple[str, ...],
) -> None:
    """Run entries under random faults and check what callers and replicas observe."""
    from hibiscustray.commands.soaking import SoakSize, run_soaks

    size = SoakSize(processes, replicas, callers)
    sys.exit(1 if run_soaks(seed, minutes, size, replay, known, without) else 0)


@cli.group()
def host() -> None:
    """Run a process on a platform that hosts it and provides its settings file."""
    # The settings are read later, so that a change before that needs no reload.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


HOSTED_SETTINGS_OPTION = click.option(
    "--settings", type=FILE, help="INI file; by default the one that the platform provides."
)


@host.command("entry")
@HOSTED_SETTINGS_OPTION
def host_entry(settings: Path | None) -> None:
    """Run an entry that forwards requests directly to replicas."""
    from hibiscustray.commands.hosting import run_hosted_entry

    run_hosted_entry(settings)


@host.command("agent")
@HOSTED_SETTINGS_OPTION
def host_agent(settings: Path | None) -> None:
    """Run an agent that keeps the replica on its VM at the target version of its weights."""
    from hibiscustray.commands.hosting import run_hosted_agent

    run_hosted_agent(settings)


@cli.command()
@click.option("--weights", type=FILE, help="Weights file; 64 MiB are generated if not given.")
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of all random choices.")
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
@click.option("--serve", "is_served", is_flag=True, help="Keep the site running until Ctrl-C.")
def demo(weights: Path | None, seed: int, is_json: bool, is_served: bool) -> None:
    """Run a complete site in this process and roll out two versions under live requests."""
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
@click.option(
    "--threads", is_flag=True, help="Run all agents in this process (the only mode so far)."
)
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of all random choices.")
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
@click.option("--plot", type=click.Path(dir_okay=False, path_type=Path), help="PNG or SVG file.")
def bench_weights(plot: Path | None, is_json: bool, threads: bool, **options) -> None:
    """Measure the distribution of one version to N replicas over rate-limited links."""
    from hibiscustray.commands.bench_weights import WeightsOptions, run_bench_weights

    sys.exit(run_bench_weights(WeightsOptions(is_json=is_json, plot=plot, **options)))


@bench.command("entry")
@click.option("--rate", type=float, default=100.0, show_default=True, help="Requests a second.")
@click.option("--seconds", type=float, default=5.0, show_default=True)
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
def bench_entry(rate: float, seconds: float, is_json: bool) -> None:
    """Measure the latency that an entry and an agent add to a call of a plain service."""
    from hibiscustray.commands.bench_entry import run_bench_entry

    sys.exit(run_bench_entry(rate, seconds, is_json))


@bench.command("configuration")
@click.option("--nodes", type=click.IntRange(1), default=50, show_default=True)
@click.option("--changes", type=click.IntRange(1), default=5, show_default=True)
@click.option("--faults", type=click.Choice(CONFIGURATION_FAULTS), default="none")
@click.option("--seed", type=int, default=1, show_default=True, help="Seed of all random choices.")
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
def bench_configuration(nodes: int, changes: int, faults: str, seed: int, is_json: bool) -> None:
    """Measure how changes of the configuration reach a fleet under faults."""
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
@click.option("--rush", default="", metavar="TEAM:FACTOR", help="Multiply one team's rate.")
@click.option(
    "--mix", default="", metavar="STREAM:BOOKING", help="Shares; the rest is non-streamed chat."
)
@click.option("--seconds", type=float, default=20.0, show_default=True)
@click.option("--faults", default="none", show_default=True, help="A fault, none or all.")
@click.option("--policy", default="adaptive", show_default=True, help="Comma-separated, or all.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
def bench_requests(**options) -> None:
    """Measure requests to engine stand-ins under load and faults."""
    from hibiscustray.commands.bench_requests import run_bench_requests

    sys.exit(run_bench_requests(**options))


@bench.command("placement")
@click.option("--load", "names", multiple=True, type=click.Choice(PLACEMENT_LOADS))
@click.option("--seconds", type=click.FloatRange(1.0), default=8.0, show_default=True)
@click.option("--seed", type=int, default=7, show_default=True)
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object for each row.")
def bench_placement(names: tuple[str, ...], seconds: float, seed: int, is_json: bool) -> None:
    """Compare placement with baseline policies under several loads on simulated engines."""
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
    """Measure what streams cost a running entry and agent."""
    from hibiscustray.commands.bench_stream import run_bench_stream

    sys.exit(run_bench_stream(key_file, is_json, **options))


@bench.command()
@click.option("--entry-pid", type=int, required=True, help="Process id of an idle entry.")
@click.option("--agent-pid", type=int, required=True, help="Process id of an idle agent.")
@click.option("--seconds", type=float, default=20.0, show_default=True, help="Measuring time.")
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
def idle(entry_pid: int, agent_pid: int, seconds: float, is_json: bool) -> None:
    """Measure memory and processor time of a running entry and agent."""
    from hibiscustray.commands.bench_idle import run_bench_idle

    sys.exit(run_bench_idle(entry_pid, agent_pid, seconds, is_json))


@bench.command("bookings")
@click.option("--bookings", type=click.IntRange(1), default=200, show_default=True)
@click.option("--callers", type=click.IntRange(1), default=4, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
def bench_bookings(**options) -> None:
    """Measure ways to run bookings at most once, with lost responses and a store outage."""
    from hibiscustray.commands.bench_bookings import run_bench_bookings

    sys.exit(run_bench_bookings(**options))


@cli.group()
def report() -> None:
    """Report on service levels or capacity."""


@report.command("burn")
@click.option("--table-url", required=True, help="URL of the platform's table.")
@click.option("--entry-url", "entry_urls", multiple=True, help="Entry to scrape; may be repeated.")
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
@click.option(
    "--html", "page", type=click.Path(dir_okay=False, path_type=Path), help="Write an HTML page."
)
def report_burn(
    table_url: str, entry_urls: tuple[str, ...], is_json: bool, page: Path | None
) -> None:
    """Show error budgets and burn rates; exit 10 on a slow burn, 11 on a fast burn."""
    from hibiscustray.commands.report_burn import BurnOptions, run_burn_report

    sys.exit(run_burn_report(BurnOptions(table_url, entry_urls, is_json, page)))


@report.command("capacity")
@click.argument("folder", type=click.Path(file_okay=False, path_type=Path))
@click.option("--output", type=click.Path(dir_okay=False, path_type=Path), required=True)
def report_capacity(folder: Path, output: Path) -> None:
    """Write the capacity page from the benchmark results in a folder."""
    from hibiscustray.reports.capacity import Target, read_measurements, render_capacity

    output.write_text(render_capacity(read_measurements(folder), Target()))


@cli.group()
def standin() -> None:
    """Run a stand-in for the platform, an engine, a plain service or callers."""


@standin.command()
@click.option("--settings", type=FILE, required=True, help="INI file of this stand-in.")
def platform(settings: Path) -> None:
    """Run a stand-in for the platform: table, object store, VM list and origin."""
    from hibiscustray.commands.standins import build_platform, run_standin

    run_standin(build_platform(settings), "platform")


@standin.command()
@click.option("--settings", type=FILE, required=True, help="INI file of this stand-in.")
def engine(settings: Path) -> None:
    """Run a stand-in for a model engine."""
    from hibiscustray.commands.standins import build_engine, run_standin

    run_standin(build_engine(settings), "engine")


@standin.command()
@click.option("--settings", type=FILE, required=True, help="INI file of this stand-in.")
def service(settings: Path) -> None:
    """Run a stand-in for a plain service."""
    from hibiscustray.commands.standins import build_service, run_standin

    run_standin(build_service(settings), "service")


@standin.command()
@click.option("--settings", type=FILE, required=True, help="INI file of the callers.")
def callers(settings: Path) -> None:
    """Send requests until a signal, then count faults; exit 1 if there are any."""
    from hibiscustray.commands.callers import run_callers

    sys.exit(run_callers(settings))


OPERATOR_SETTINGS_OPTION = click.option(
    "--settings", type=FILE, required=True, help="INI file of the operator."
)
PROGRAM_ARGUMENTS = click.argument("arguments", nargs=-1)


@cli.command()
@OPERATOR_SETTINGS_OPTION
@click.option("--expected", type=int, help="Fail unless this revision is the newest.")
@click.option(
    "--wait", "wait_s", type=float, default=0.0, help="Seconds to wait for all processes to use it."
)
@click.argument("file", type=FILE)
@PROGRAM_ARGUMENTS
def apply(
    settings: Path, expected: int | None, wait_s: float, file: Path, arguments: tuple[str, ...]
) -> None:
    """Apply FILE: INI, or a Python program (with its arguments) that prints INI."""
    from hibiscustray.commands.operating import apply_deployment

    sys.exit(apply_deployment(settings, file, arguments, expected, wait_s))


@cli.command()
@OPERATOR_SETTINGS_OPTION
@click.option("--revision", type=int, default=0, help="Number of the revision; the newest if 0.")
def show(settings: Path, revision: int) -> None:
    """Print the INI text of a revision."""
    from hibiscustray.commands.operating import show_deployment

    sys.exit(show_deployment(settings, revision))


@cli.command()
@OPERATOR_SETTINGS_OPTION
@click.argument("file", type=FILE)
@PROGRAM_ARGUMENTS
def diff(settings: Path, file: Path, arguments: tuple[str, ...]) -> None:
    """Print what applying FILE would change; exit 1 if there is a difference."""
    from hibiscustray.commands.operating import show_difference

    sys.exit(show_difference(settings, file, arguments))


@cli.command()
@OPERATOR_SETTINGS_OPTION
@click.option("--json", "is_json", is_flag=True, help="Print one JSON object.")
def status(settings: Path, is_json: bool) -> None:
    """Compare the newest revision with the state of each process; exit 1 on drift."""
    from hibiscustray.commands.operating import show_status

    sys.exit(show_status(settings, is_json))


@cli.command()
@OPERATOR_SETTINGS_OPTION
def history(settings: Path) -> None:
    """Print all accepted revisions."""
    from hibiscustray.commands.operating import show_history

    sys.exit(show_history(settings))


@cli.command()
@OPERATOR_SETTINGS_OPTION
@click.argument("revision", type=int)
def rollback(settings: Path, revision: int) -> None:
    """Apply the text of an earlier REVISION as a new revision."""
    from hibiscustray.commands.operating import roll_back

    sys.exit(roll_back(settings, revision))


@cli.command()
@OPERATOR_SETTINGS_OPTION
def snapshot(settings: Path) -> None:
    """Write all accepted revisions to the object store and print the snapshot's key."""
    from hibiscustray.commands.operating import save_snapshot

    sys.exit(save_snapshot(settings))


@cli.command()
@OPERATOR_SETTINGS_OPTION
@click.option("--key", default="snapshots/revisions/latest", show_default=True)
def restore(settings: Path, key: str) -> None:
    """Write a snapshot's revisions into an empty table."""
    from hibiscustray.commands.operating import restore_snapshot

    sys.exit(restore_snapshot(settings, key))


@cli.command()
@OPERATOR_SETTINGS_OPTION
@click.option("--path", required=True, help="Path under which the origin serves the file.")
@click.option("--chunk-kib", type=int, default=0, help="Chunk size in KiB; the default if 0.")
@click.option("--base", default="", help="Digest of an adapter's base model.")
@click.argument("file", type=FILE)
def publish(settings: Path, path: str, chunk_kib: int, base: str, file: Path) -> None:
    """Hash a weights FILE, store its manifest and print the version's digest."""
    from hibiscustray.commands.operating import publish_file

    sys.exit(publish_file(settings, file, path, chunk_kib, base))


KINDS = ("entry", "agent", "operator", "deployment", "platform", "engine", "service", "callers")


@cli.command()
@click.option("--kind", type=click.Choice(KINDS), required=True, help="Kind of the files.")
@click.argument("files", nargs=-1, type=FILE, required=True)
def check(kind: str, files: tuple[Path, ...]) -> None:
    """Check settings or deployment FILES without using the network."""
    from hibiscustray.commands.checking import check_files

    sys.exit(check_files(kind, files))


def main() -> None:
    """Run the command line; a `HibiscustrayError` ends it with the exit code of its class."""
    try:
        cli(standalone_mode=True)
    except HibiscustrayError as error:
        click.echo(f"{type(error).__name__}: {error}", err=True)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
