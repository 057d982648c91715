"""Tests of the command `check` with the settings of both examples and with invalid files."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from hibiscustray.__main__ import cli

EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize("example", ["trust", "cairnbeam"])
def test_every_settings_file_of_an_example_is_valid(example, tmp_path):
    source, folder = EXAMPLES / example / "settings", tmp_path / "settings"
    folder.mkdir()
    write_referenced_files(tmp_path / "run")
    for file in source.glob("*.ini"):
        (folder / file.name).write_text(file.read_text())
        kind = file.stem.split("-", 1)[0]
        result = CliRunner().invoke(cli, ["check", "--kind", kind, str(folder / file.name)])
        assert result.exit_code == 0, result.output


def write_referenced_files(run: Path) -> None:
    run.mkdir()
    (run / "teams.ini").write_text(f"[teams]\nhosts = {'a' * 64}\n")
    (run / "operators.ini").write_text("[operators]\nalice = secret\n")
    for name in ("operator.key", "process.pem", "process.key", "authority.pem"):
        (run / name).write_text("present\n")
    for name in ("model-1.bin", "model-2.bin"):
        (run / name).write_bytes(b"weights")


@pytest.mark.parametrize(
    ("kind", "text"),
    [
        ("platform", "[standin]\nport = 70000\n[file a]\nfile = absent\n[machines x]\n"),
        ("engine", "[standin]\nstep_ms = fast\ncolour = red\n"),
        ("service", "[service]\n"),
        ("callers", "[standin]\n"),
        ("operator", "[operator]\nname = alice\n"),
        ("deployment", "[deployment]\nname = a\n[version v]\nmodel = m\nmanifest = short\n"),
    ],
)
def test_errors_in_invalid_files_are_listed(kind, text, tmp_path, snapshot):
    file = tmp_path / "invalid.ini"
    file.write_text(text)
    result = CliRunner().invoke(cli, ["check", "--kind", kind, str(file)])
    assert result.exit_code == 2
    assert result.output.replace(str(tmp_path), "") == snapshot
