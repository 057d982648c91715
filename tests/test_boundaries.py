"""Tests which modules contain wire names of the platform and which import its adapter."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

import hibiscustray

PACKAGE = Path(hibiscustray.__file__).parent
ADAPTER = PACKAGE / "platform"
WIRE_NAMES = re.compile(
    r"x-hibiscustray-|last-event-id|/v1/(rows|blob|ready|report|order|manifest|piece|stage)"
    r"|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|HIBISCUSTRAY_BOOT"
    r"|\b(timeoutMs|targetLatencyMs|streamResume|gapTargetMs|maxConnections|healthPath"
    r"|kvTokens|kvTokenBytes|chunkBytes|warmupLeftMs|sinceRev|waitMs|rangeStart|tombstone"
    r"|crossShard|serverTimeMs|internalPorts|machineClass|headerTimeoutMs|idleTimeoutMs)\b",
    re.IGNORECASE,
)
STANDINS = ADAPTER / "standins.py"
MAX_ADAPTER_LINES = 1200
MAX_STANDIN_LINES = 500
ALLOWED_IMPORTERS = ("composition", "__main__.py", "commands")
MODULES_OUTSIDE_ADAPTER = [
    path for path in sorted(PACKAGE.rglob("*.py")) if ADAPTER not in path.parents
]


def format_path(path: Path) -> str:
    return str(path.relative_to(PACKAGE))


@pytest.mark.parametrize("path", MODULES_OUTSIDE_ADAPTER, ids=format_path)
def test_wire_names_occur_only_in_the_adapter(path):
    matches = WIRE_NAMES.findall(path.read_text())
    assert not matches


@pytest.mark.parametrize("path", MODULES_OUTSIDE_ADAPTER, ids=format_path)
def test_only_the_composition_root_and_the_commands_import_the_adapter(path):
    if path.relative_to(PACKAGE).parts[0] in ALLOWED_IMPORTERS:
        return
    for node in ast.walk(ast.parse(path.read_text())):
        names = []
        if isinstance(node, ast.ImportFrom):
            names = [node.module or ""]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        assert not [name for name in names if name.startswith("hibiscustray.platform")]


def test_the_adapter_stays_within_its_line_limit():
    paths = [path for path in ADAPTER.rglob("*.py") if path != STANDINS]
    assert sum(len(path.read_text().splitlines()) for path in paths) <= MAX_ADAPTER_LINES


def test_the_stand_ins_stay_within_their_line_limit_and_the_adapter_does_not_use_them():
    assert len(STANDINS.read_text().splitlines()) <= MAX_STANDIN_LINES
    for path in ADAPTER.rglob("*.py"):
        assert path == STANDINS or "standins" not in path.read_text(), path


def test_the_pattern_matches_wire_names():
    assert WIRE_NAMES.search("headers['X-Hibiscustray-Attempt-Id']")
    assert WIRE_NAMES.search('query = {"sinceRev": 3}')
