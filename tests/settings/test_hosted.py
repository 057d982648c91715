"""Tests of the settings of hosted processes, read from the templates under deploy/."""

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
    "limits": {"linkMbps": 3.65, "memoryMb": 300},
    "parameters": {"version_ms": 8000, "contactMs": 4000, "graceS": 8, "drainMs": 2000}
    | {"budgetRatio": 0.2, "retrySlack": 100},
    "platform": {"addr": "10.200.1.7:8007"},
    "app": "10.1.0.41:8001",
    "service": "guide",
}


def render(template: str) -> str:
    """Render a template as the platform does; supports only the syntax used under deploy/."""

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


def write_settings(folder: Path, name: str, **overrides: str) -> Path:
    text = render((DEPLOY / f"{name}.ini").read_text())
    for old, new in overrides.items():
        text = re.sub(rf"(?m)^{old} = .*$", f"{old} = {new}", text)
    path = folder / "boot.ini"
    path.write_text(text)
    return path


def agent_contact_ms(folder: Path) -> float:
    return load_hosted_settings(write_settings(folder, "agent"), "agent").bounds.contact_ms


def test_deployed_templates_give_valid_settings(tmp_path):
    entry = load_hosted_settings(write_settings(tmp_path, "entry"), "entry")
    assert entry.entry.callers == "10.1.0.40:8005"
    assert entry.regions == {"akl-a": "akl", "wlg-a": "wlg"}
    assert (entry.bounds.version_ms, entry.bounds.retry_share) == (8000.0, 0.2)
    assert entry.bounds.contact_ms == agent_contact_ms(tmp_path) == 4000.0
    agent = load_hosted_settings(write_settings(tmp_path, "agent"), "agent")
    assert agent.upstream.service == "guide"
    assert (agent.process.peer_port, agent.links.mbit_s) == (7700, 3.65)


@pytest.mark.parametrize(
    ("overrides", "problem"),
    [
        ({"callers": "10.1.0.40"}, "[entry] callers"),
        ({"peer_port": "many"}, "[process] peer_port"),
        ({"region": "chc"}, "[regions] akl-a"),
        ({"retry_share": "-1"}, "[bounds] retry_share"),
        ({"grace_s": ""}, "[bounds] grace_s"),
    ],
)
def test_invalid_setting_is_reported_with_section_and_key(tmp_path, overrides, problem):
    with pytest.raises(SettingsError) as exc_info:
        load_hosted_settings(write_settings(tmp_path, "entry", **overrides), "entry")
    assert len(exc_info.value.problems) == 1
    assert problem in exc_info.value.problems[0]


def test_reports_all_problems_at_once(tmp_path):
    path = write_settings(tmp_path, "entry", callers="x", readiness="y", metrics_port="z")
    with pytest.raises(SettingsError) as exc_info:
        load_hosted_settings(path, "entry")
    assert len(exc_info.value.problems) == 3


def test_process_with_invalid_settings_exits_with_documented_code(tmp_path):
    path = write_settings(tmp_path, "entry", callers="x")
    result = CliRunner().invoke(cli, ["host", "entry", "--settings", str(path)])
    assert isinstance(result.exception, SettingsError)
    assert result.exception.exit_code == 2
