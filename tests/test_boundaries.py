"""The platform's names stay in the adapter, and few modules know the adapter."""

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
ADAPTER_LINES = 1200
STANDIN_LINES = 500
MAY_IMPORT = ("composition", "__main__.py", "commands")
OUTSIDE = [path for path in sorted(PACKAGE.rglob("*.py")) if ADAPTER not in path.parents]


def name_of(path: Path) -> str:
    return str(path.relative_to(PACKAGE))


@pytest.mark.parametrize("path", OUTSIDE, ids=name_of)
def test_no_name_of_the_wire_stands_outside_the_adapter(path):
    found = WIRE_NAMES.findall(path.read_text())
    assert not found


@pytest.mark.parametrize("path", OUTSIDE, ids=name_of)
def test_only_the_composition_root_and_the_command_line_import_the_adapter(path):
    if path.relative_to(PACKAGE).parts[0] in MAY_IMPORT:
        return
    for node in ast.walk(ast.parse(path.read_text())):
        names = []
        if isinstance(node, ast.ImportFrom):
            names = [node.module or ""]
        elif isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        assert not [name for name in names if name.startswith("hibiscustray.platform")]


def test_the_adapter_is_small():
    paths = [path for path in ADAPTER.rglob("*.py") if path != STANDINS]
    assert sum(len(path.read_text().splitlines()) for path in paths) <= ADAPTER_LINES


def test_the_standins_are_small_and_no_part_of_the_adapter_needs_them():
    assert len(STANDINS.read_text().splitlines()) <= STANDIN_LINES
    for path in ADAPTER.rglob("*.py"):
        assert path == STANDINS or "standins" not in path.read_text(), path


def test_the_pattern_finds_a_wire_name():
    assert WIRE_NAMES.search("headers['X-Hibiscustray-Attempt-Id']")
    assert WIRE_NAMES.search('query = {"sinceRev": 3}')
