"""The command `check`: checks settings and deployment files offline."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import click

from hibiscustray.deployments import load_operator_keys
from hibiscustray.entry.teams import load_teams
from hibiscustray.exceptions import HibiscustrayError, SettingsError
from hibiscustray.operator import read_deployment_text
from hibiscustray.settings import (
    load_callers,
    load_engine_standin,
    load_operator_settings,
    load_platform_standin,
    load_service_standin,
    load_settings,
)

CHECKS: dict[str, Callable[[Path], object]] = {
    "entry": lambda path: _check_process(path, "entry"),
    "agent": lambda path: _check_process(path, "agent"),
    "operator": load_operator_settings,
    "deployment": read_deployment_text,
    "platform": load_platform_standin,
    "engine": load_engine_standin,
    "service": load_service_standin,
    "callers": load_callers,
}


def check_files(kind: str, files: tuple[Path, ...]) -> int:
    """Check files of one kind without using the network; return the first error's exit code."""
    exit_code = 0
    for file in files:
        try:
            CHECKS[kind](file)
            click.echo(f"{file}: good")
        except HibiscustrayError as error:
            click.echo(str(error), err=True)
            exit_code = exit_code or error.exit_code
    return exit_code


def _check_process(path: Path, role: str) -> None:
    settings = load_settings(path, role)
    if role == "entry":
        load_teams(settings.security.teams)
    load_operator_keys(settings.security.operators)
    for name in ("peer_certificate", "peer_key", "peer_authority", "http_certificate", "http_key"):
        file = getattr(settings.security, name)
        if file and not Path(file).is_file():
            problem = f"{path}: [security] {name}: found {file!r}; allowed: a file that exists"
            raise SettingsError((problem,))
