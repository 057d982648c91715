"""The command that runs the tests: each test in one part, and known failures left out by name."""

from __future__ import annotations

import importlib.util
from pathlib import Path

import pytest

PATH = Path(__file__).parent.parent / "tools" / "run_tests.py"
SPEC = importlib.util.spec_from_file_location("run_tests", PATH)
run_tests = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(run_tests)


def test_only_tests_named_in_full_are_left_out():
    text = """check: tests/a/test_b.py::test_c
command and seed: python -m pytest tests/a/test_b.py (seed 3)
seen: also tests/a/test_d.py::test_e[x-1], twice
"""
    assert run_tests.list_known_red(text) == [
        "tests/a/test_b.py::test_c",
        "tests/a/test_d.py::test_e[x-1]",
    ]


def test_parts_together_select_each_test_once():
    marks = [part[part.index("-m") + 1] for part in run_tests.make_parts([], 6)]
    assert marks == ["not timed", "timed"]


def test_quick_run_has_one_part_and_passes_other_options_on():
    [part] = run_tests.make_parts(["--quick", "-x"], 6)
    assert "-x" in part
    assert "--quick" not in part
    assert "--ignore=tests/platform" in part


@pytest.mark.parametrize(
    ("codes", "expected"), [([0, 0], 0), ([0, 5], 0), ([5, 5], 5), ([1, 0], 1), ([0, 2], 2)]
)
def test_exit_code_tells_of_a_failure_in_any_part(monkeypatch, codes, expected):
    left = list(codes)
    monkeypatch.setattr(run_tests.pytest, "main", lambda arguments: left.pop(0))
    monkeypatch.setattr(run_tests, "KNOWN_RED", Path("absent"))
    monkeypatch.chdir(PATH.parent)
    assert run_tests.main([]) == expected
