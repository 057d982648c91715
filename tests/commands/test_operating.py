"""Tests of the operators' commands against a running site, through the command line."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner, Result

from hibiscustray.__main__ import cli
from hibiscustray.exceptions import (
    NoConfiguration,
    ProgramFailed,
    RevisionConflict,
    SettingsError,
    StoreUnavailable,
)
from tests.site import run_site

DEPLOYMENT_PROGRAM = """
import sys
from hibiscustray.deployments import Team
from hibiscustray.operator import DeploymentPlan, Model, PlainService, ServicePlan
version = Model("guide").version(sys.argv[1], sys.argv[2])
services = (ServicePlan("guide-llm", version), PlainService("booking"))
print(DeploymentPlan("test", (version,), services, (Team("hosts"),)))
"""
WAIT_OPTION = ["--wait", "20"]


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with run_site(tmp_path_factory.mktemp("site")) as site:
        yield site


@pytest.fixture
def settings(site, tmp_path) -> str:
    return write_settings(tmp_path, site.platform.url)


@pytest.fixture
def program(tmp_path) -> str:
    file = tmp_path / "deployment.py"
    file.write_text(DEPLOYMENT_PROGRAM)
    return str(file)


def write_settings(folder: Path, url: str) -> str:
    (folder / "alice.key").write_text("secret-of-alice\n")
    file = folder / "operator.ini"
    file.write_text(
        "[operator]\nname = alice\nkey_file = alice.key\n"
        f"[platform]\ntable_url = {url}\nobject_url = {url}\nmachines_url = {url}\n"
    )
    return str(file)


def run(*arguments: str) -> Result:
    return CliRunner().invoke(cli, list(arguments))


def run_for_error(*arguments: str) -> BaseException | None:
    return run(*arguments).exception


def test_a_program_is_published_applied_and_rolled_back(site, settings, program, tmp_path):
    weights = tmp_path / "new.bin"
    weights.write_bytes(b"n" * 300_000)
    site.platform.add_file("guide/new", weights)
    published = run("publish", "--settings", settings, "--path", "guide/new", str(weights))
    digest = published.output.strip()
    assert run("diff", "--settings", settings, program, "guide-new", digest).exit_code == 1
    applied = run("apply", "--settings", settings, *WAIT_OPTION, program, "guide-new", digest)
    assert applied.exit_code == 0, applied.output
    assert site.count_serving(digest) == 1
    assert run("diff", "--settings", settings, program, "guide-new", digest).exit_code == 0
    assert digest in run("show", "--settings", settings).output
    status = msgspec.json.decode(run("status", "--settings", settings, "--json").output)
    assert (status["operator"], len(status["processes"])) == ("alice", 3)
    assert {process["revision"] for process in status["processes"]} == {status["revision"]}
    first = run("show", "--settings", settings, "--revision", "1").output
    assert run("rollback", "--settings", settings, "1").exit_code == 0
    assert run("show", "--settings", settings).output == first
    assert len(run("history", "--settings", settings).output.splitlines()) == 3


def test_status_shows_drift_of_an_unresponsive_listed_vm(site, settings):
    site.platform.add_vm("lost", "akl-a", "127.0.0.1:1")
    try:
        shown = run("status", "--settings", settings)
    finally:
        site.platform.remove_vm("lost")
    assert shown.exit_code == 1
    assert any("lost" in line and "DRIFT" in line for line in shown.output.splitlines())


def test_an_outdated_expected_revision_raises_a_conflict(settings, program):
    arguments = ("--settings", settings, "--expected", "0", program, "guide-x", "a" * 64)
    assert isinstance(run_for_error("apply", *arguments), RevisionConflict)


def test_an_unknown_revision_raises_no_configuration(settings):
    error = run_for_error("show", "--settings", settings, "--revision", "999")
    assert isinstance(error, NoConfiguration)


def test_an_unreachable_store_raises_store_unavailable(program, tmp_path):
    settings = write_settings(tmp_path, "http://127.0.0.1:1")
    error = run_for_error("apply", "--settings", settings, program, "guide-x", "a" * 64)
    assert isinstance(error, StoreUnavailable)
    assert error.exit_code == 3


@pytest.mark.parametrize("text", ["raise ValueError('broken')", "", "import sys; sys.exit(3)"])
def test_a_failing_program_raises_program_failed(settings, tmp_path, text):
    file = tmp_path / "broken.py"
    file.write_text(text)
    assert isinstance(run_for_error("apply", "--settings", settings, str(file)), ProgramFailed)


def test_an_invalid_printed_deployment_changes_nothing(settings, program):
    before = run("show", "--settings", settings).output
    error = run_for_error("apply", "--settings", settings, program, "guide-x", "not-a-digest")
    assert isinstance(error, SettingsError)
    assert run("show", "--settings", settings).output == before


def test_a_missing_key_file_raises_a_settings_error(tmp_path):
    settings = write_settings(tmp_path, "http://127.0.0.1:1")
    (tmp_path / "alice.key").unlink()
    assert isinstance(run_for_error("show", "--settings", settings), SettingsError)
