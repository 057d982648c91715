"""Reads deployment files, which hold INI text or are Python programs that print it."""

from __future__ import annotations

import contextlib
import io
import runpy
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

from hibiscustray.deployments import parse_deployment
from hibiscustray.exceptions import HibiscustrayError, ProgramFailed
from hibiscustray.settings import read_text

PROGRAM_SUFFIX = ".py"


def read_deployment_text(file: Path, arguments: Sequence[str] = ()) -> str:
    """Return validated INI text from a file; raise `SettingsError` or `ProgramFailed`."""
    is_program = file.suffix == PROGRAM_SUFFIX
    text = run_program(file, arguments) if is_program else read_text(file)
    parse_deployment(text, str(file))
    return text


def run_program(file: Path, arguments: Sequence[str]) -> str:
    """Run an operator's program in this process and return its output; raise `ProgramFailed`."""
    output = io.StringIO()
    try:
        with contextlib.redirect_stdout(output), _replace_arguments(file, arguments):
            runpy.run_path(str(file), run_name="__main__")
    except HibiscustrayError:
        raise
    except SystemExit as error:
        if error.code not in (None, 0):
            raise ProgramFailed(f"{file}: exited with {error.code}") from error
    except Exception as error:
        raise ProgramFailed(f"{file}: {type(error).__name__}: {error}") from error
    if not output.getvalue().strip():
        raise ProgramFailed(f"{file}: no output; the program must print its DeploymentPlan")
    return output.getvalue()


@contextlib.contextmanager
def _replace_arguments(file: Path, arguments: Sequence[str]) -> Iterator[None]:
    saved = sys.argv
    sys.argv = [str(file), *arguments]
    try:
        yield
    finally:
        sys.argv = saved
