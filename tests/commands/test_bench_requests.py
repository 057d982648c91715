"""Tests of the command `bench requests`: its options and one short run."""

from __future__ import annotations

import msgspec
import pytest
from click.testing import CliRunner

from hibiscustray.__main__ import cli
from hibiscustray.exceptions import SettingsError


@pytest.mark.parametrize(
    "option",
    [
        ("--rush", "team-9:10"),
        ("--rush", "team-0:none"),
        ("--mix", "0.9:0.9"),
        ("--faults", "fire"),
        ("--policy", "best"),
    ],
)
def test_an_invalid_option_is_named_in_the_error(option):
    result = CliRunner().invoke(cli, ["bench", "requests", *option])
    assert isinstance(result.exception, SettingsError)
    assert option[0] in str(result.exception)


def test_a_run_with_a_failing_vm_has_no_violations():
    arguments = "--replicas 3 --teams 2 --rate 6 --seconds 4 --faults die --seed 3 --json"
    result = CliRunner().invoke(cli, ["bench", "requests", *arguments.split()])
    report = msgspec.json.decode(result.stdout.splitlines()[-1])
    counts = report["results"][0]["counts"]
    assert counts["sent"] > 0
    names = ("hung", "run_twice", "false_not_run", "wrong_answer")
    assert {name: counts[name] for name in names} == dict.fromkeys(names, 0)
