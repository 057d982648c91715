"""The commands with which operators apply, inspect, restore and publish."""

from __future__ import annotations

import difflib
import time
from collections.abc import Sequence
from pathlib import Path

import click
import msgspec

from hibiscustray.composition import build_operator, build_status_reader
from hibiscustray.deployments import Revision
from hibiscustray.exceptions import NoConfiguration
from hibiscustray.operator import Operator, ProcessStatus, SiteStatus, read_deployment_text
from hibiscustray.settings import load_operator_settings

DIGEST_CHARS = 12
STATUS_POLL_INTERVAL_S = 0.2
EXIT_DRIFT = 1
EXIT_DIFFERENT = 1


def apply_deployment(
    settings: Path, file: Path, arguments: Sequence[str], expected: int | None, wait_s: float
) -> int:
    """Apply a deployment; with a wait, return 1 unless it is active at all processes in time."""
    text = read_deployment_text(file, arguments)
    revision = _load_operator(settings).apply(text, expected)
    click.echo(f"revision {revision.number} by {revision.operator} accepted")
    return _wait_until_active(settings, wait_s) if wait_s else 0


def show_deployment(settings: Path, number: int) -> int:
    """Print a revision's INI text; number 0 stands for the newest revision."""
    click.echo(_read_revision(_load_operator(settings), number).text, nl=False)
    return 0


def show_difference(settings: Path, file: Path, arguments: Sequence[str]) -> int:
    """Print what applying a file would change; return 1 if there is a difference."""
    new = read_deployment_text(file, arguments).splitlines(keepends=True)
    newest = _load_operator(settings).read()
    old = newest.text.splitlines(keepends=True) if newest else []
    lines = list(
        difflib.unified_diff(old, new, f"revision {newest.number if newest else 0}", file.name)
    )
    click.echo("".join(lines), nl=False)
    return EXIT_DIFFERENT if lines else 0


def show_status(settings: Path, is_json: bool) -> int:
    """Print the newest revision and each process; return 1 if a process drifts from it."""
    status = _read_status(settings)
    if is_json:
        click.echo(msgspec.json.encode(status))
    else:
        _print_status(status)
    return 0 if status.is_in_force else EXIT_DRIFT


def show_history(settings: Path) -> int:
    """Print all accepted revisions, oldest first."""
    for revision in _load_operator(settings).read_history():
        accepted = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(revision.accepted_at))
        click.echo(f"{revision.number:>6}  {accepted}  {revision.operator}")
    return 0


def roll_back(settings: Path, number: int) -> int:
    """Apply an earlier revision's text as a new revision."""
    revision = _load_operator(settings).roll_back(number)
    click.echo(f"revision {revision.number} by {revision.operator} accepted")
    return 0


def save_snapshot(settings: Path) -> int:
    """Write all accepted revisions to the object store and print the snapshot's key."""
    click.echo(_load_operator(settings).save_snapshot())
    return 0


def restore_snapshot(settings: Path, key: str) -> int:
    """Write a snapshot's revisions into an empty table and print the last one's number."""
    click.echo(f"revision {_load_operator(settings).restore_snapshot(key)} restored")
    return 0


def publish_file(settings: Path, file: Path, path: str, chunk_kib: int, base: str) -> int:
    """Hash a weights file, store its manifest and print the digest."""
    chunk_size = chunk_kib * 1024 if chunk_kib else None
    click.echo(_load_operator(settings).publish(file, path, chunk_size, base))
    return 0


def _load_operator(settings: Path) -> Operator:
    return build_operator(load_operator_settings(settings))


def _read_revision(operator: Operator, number: int) -> Revision:
    revision = operator.read(number)
    if revision is None:
        raise NoConfiguration("no revision has been accepted yet")
    return revision


def _read_status(settings: Path) -> SiteStatus:
    return build_status_reader(load_operator_settings(settings))()


def _wait_until_active(settings: Path, wait_s: float) -> int:
    read_status = build_status_reader(load_operator_settings(settings))
    deadline = time.monotonic() + wait_s
    while True:
        status = read_status()
        if status.is_in_force:
            click.echo(f"revision {status.revision} active at {len(status.processes)} processes")
            return 0
        if time.monotonic() > deadline:
            _print_status(status)
            return EXIT_DRIFT
        time.sleep(STATUS_POLL_INTERVAL_S)


def _print_status(status: SiteStatus) -> None:
    click.echo(f"head: revision {status.revision} by {status.operator or 'nobody'}")
    for process in status.processes:
        click.echo(_format_process(process))


def _format_process(process: ProcessStatus) -> str:
    state = process.status if process.is_answering else "silent"
    serving = process.serving[:DIGEST_CHARS] or "plain"
    columns = (
        f"{process.id:<20}",
        f"{process.availability_zone:<12}",
        f"{state:<8}",
        f"revision {process.revision:<6}",
        f"{process.service}={serving}" if process.service else process.role,
    )
    line = "  ".join(columns)
    return f"{line}  DRIFT: {process.drift}" if process.drift else line
