"""Runs the tests, most of them on all cores, without those that KNOWN-RED.txt lists.

Usage: run_tests.py [--quick] [pytest options]
"""

from __future__ import annotations

import os
import re
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_ID = re.compile(r"tests/[^ ,]+::[^ ,\n]+")
TIMED_WORKERS = 3
"""Tests with bounds in time that run at once."""
PARTS_WITH_PROCESSES = (
    "platform",
    "soak",
    "entry",
    "commands",
    "benchmarks",
    "web",
    "test_site.py",
)
"""Left out of a quick run: they start processes or wait for timeouts."""
NO_TESTS = 5
"""Exit code of pytest if no test was selected."""


def list_known_red(text: str) -> list[str]:
    """Return the ids of the tests that the text of KNOWN-RED.txt names."""
    return sorted(set(TEST_ID.findall(text)))


def make_parts(arguments: list[str], cores: int) -> list[list[str]]:
    """Return the pytest options of each part of a run."""
    spread = ["--dist", "worksteal"]
    others = [argument for argument in arguments if argument != "--quick"]
    if len(others) < len(arguments):
        ignored = [f"--ignore=tests/{part}" for part in PARTS_WITH_PROCESSES]
        return [["-m", "not timed", "-n", str(cores), *spread, *ignored, *others]]
    return [
        ["-m", "not timed", "-n", str(cores), *spread, *others],
        ["-m", "timed", "-n", str(min(TIMED_WORKERS, cores)), *spread, *others],
    ]


def main(arguments: list[str]) -> int:
    """Run all parts; return 0 if no test failed."""
    os.chdir(ROOT)
    text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ""
    if text.strip():
        print(f"Known red, left out where a test is named:\n{text}", flush=True)
    left_out = [option for test in list_known_red(text) for option in ("--deselect", test)]
    codes = [
        int(pytest.main([*options, *left_out]))
        for options in make_parts(arguments, os.cpu_count() or 1)
    ]
    failed = [code for code in codes if code not in (0, NO_TESTS)]
    if all(code == NO_TESTS for code in codes):
        return NO_TESTS
    return failed[0] if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
