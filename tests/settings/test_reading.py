"""Tests of reading and validating settings."""

from __future__ import annotations

import pytest

from hibiscustray.exceptions import SettingsError
from hibiscustray.settings import parse_settings

VALID = """
[process]
id = entry-1
availability_zone = akl-a
region = akl
[platform]
table_url = http://127.0.0.1:1
object_url = http://127.0.0.1:1
machines_url = http://127.0.0.1:1
origin_url = http://127.0.0.1:2
"""


def test_reads_valid_settings():
    settings = parse_settings(VALID + "[links]\nup_mbit_s = 12.5\n", "good.ini", "entry")
    assert settings.process.id == "entry-1"
    assert settings.links.up_mbit_s == 12.5


def test_reports_every_problem_at_once(snapshot):
    invalid = "[process]\nid = a\nhttp_port = x\nspeed = 1\n[plaform]\n"
    with pytest.raises(SettingsError) as exc_info:
        parse_settings(invalid, "broken.ini", "agent")
    assert exc_info.value.problems == snapshot


def test_rejects_text_that_is_not_ini():
    with pytest.raises(SettingsError):
        parse_settings("no section", "broken.ini", "entry")
