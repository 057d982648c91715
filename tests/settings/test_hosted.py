"""Settings of hosted processes: the deployed templates, and errors that name section and key."""

from __future__ import annotations

import re
from pathlib import Path

import pytest
from click.testing import CliRunner

from hibiscustray.__main__ import cli
from hibiscustray.exceptions import SettingsError
from hibiscustray.settings import load_hosted_settings

DEPLOY = Path(__file__).parents[2] / "deploy"
FIELDS = {
    "node": "edge-akl-a-1",
    "zone": "akl-a",
    "region": "akl",
    "ip": "10.1.0.40",
    "zones": {"akl-a": "akl", "wlg-a": "wlg"},
    "listen": {"front": "10.1.0.40:8005", "ready": "10.1.0.40:8002"},
    "internalPorts": [7700, 7715],
    "limits": {"linkMbps": 3.65},
    "parameters": {"version_ms": 8000, "graceS": 8, "budgetRatio": 0.2, "retrySlack": 100},
    "platform": {"addr": "10.200.1.7:8007"},
    "app": "10.1.0.41:8001",
    "service": "guide",
}


def render(template: str) -> str:
    """Fill a template in as the platform does, as far as ours use its language."""

    def fill_section(match: re.Match) -> str:
        entries = FIELDS[match[1]].items()
        return "".join(match[2].replace("{{@}}", k).replace("{{.}}", v) for k, v in entries)

    def fill_value(match: re.Match) -> str:
        value = FIELDS
        for part in match[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return str(value)

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", fill_section, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", fill_value, text)


def write(folder: Path, name: str, **replaced: str) -> Path:
    text = render((DEPLOY / f"{name}.ini").read_text())
    for old, new in replaced.items():
        text = re.sub(rf"(?m)^{old} = .*$", f"{old} = {new}", text)
    path = folder / "boot.ini"
    path.write_text(text)
    return path


def test_the_deployed_templates_give_settings_that_are_taken(tmp_path):
    entry = load_hosted_settings(write(tmp_path, "entry"), "entry")
    assert entry.entry.callers == "10.1.0.40:8005"
    assert entry.regions == {"akl-a": "akl", "wlg-a": "wlg"}
    assert (entry.bounds.version_ms, entry.bounds.retry_share) == (8000.0, 0.2)
    agent = load_hosted_settings(write(tmp_path, "agent"), "agent")
    assert agent.upstream.service == "guide"
    assert (agent.process.peer_port, agent.links.mbit_s) == (7700, 3.65)


@pytest.mark.parametrize(
    ("replaced", "problem"),
    [
        ({"callers": "10.1.0.40"}, "[entry] callers"),
        ({"peer_port": "many"}, "[process] peer_port"),
        ({"region": "chc"}, "[regions] akl-a"),
        ({"retry_share": "-1"}, "[bounds] retry_share"),
        ({"grace_s": ""}, "[bounds] grace_s"),
    ],
)
def test_a_setting_that_cannot_be_used_is_named_with_section_and_key(tmp_path, replaced, problem):
    with pytest.raises(SettingsError) as caught:
        load_hosted_settings(write(tmp_path, "entry", **replaced), "entry")
    assert len(caught.value.problems) == 1
    assert problem in caught.value.problems[0]


def test_all_problems_are_told_at_once(tmp_path):
    path = write(tmp_path, "entry", callers="x", readiness="y", metrics_port="z")
    with pytest.raises(SettingsError) as caught:
        load_hosted_settings(path, "entry")
    assert len(caught.value.problems) == 3


def test_a_process_with_bad_settings_ends_with_the_documented_code(tmp_path):
    path = write(tmp_path, "entry", callers="x")
    result = CliRunner().invoke(cli, ["host", "entry", "--settings", str(path)])
    assert isinstance(result.exception, SettingsError)
    assert result.exception.exit_code == 2
