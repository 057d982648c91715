"""Tests of settings reading."""

from __future__ import annotations

import pytest

from hibiscustray.exceptions import SettingsError
from hibiscustray.settings import parse_settings

GOOD = """
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


def test_reads_good_settings():
    settings = parse_settings(GOOD + "[links]\nup_mbit_s = 12.5\n", "good.ini", "entry")
    assert settings.process.id == "entry-1"
    assert settings.links.up_mbit_s == 12.5


def test_names_every_problem_at_once(snapshot):
    broken = "[process]\nid = a\nhttp_port = x\nspeed = 1\n[plaform]\n"
    with pytest.raises(SettingsError) as caught:
        parse_settings(broken, "broken.ini", "agent")
    assert caught.value.problems == snapshot


def test_refuses_text_that_is_not_ini():
    with pytest.raises(SettingsError):
        parse_settings("no section", "broken.ini", "entry")
