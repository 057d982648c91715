"""Tests that stand-ins built from settings files respond on their ports."""

from __future__ import annotations

import msgspec
import pytest

from hibiscustray.commands.standins import build_engine, build_platform, build_service
from hibiscustray.exceptions import SettingsError
from hibiscustray.web import HttpClient

PLATFORM_SETTINGS = """
[standin]
origin_mbit_s = 100
[file guide/1]
file = weights.bin
[machine guide-0]
availability_zone = akl-a
peer_address = 127.0.0.1:1
"""


def read(url: str, path: str):
    client = HttpClient(url, 5.0)
    try:
        return msgspec.json.decode(client.call("GET", path).body)
    finally:
        client.close()


def write(folder, text: str):
    file = folder / "standin.ini"
    file.write_text(text)
    return file


def test_the_platform_lists_the_vms_of_its_settings(tmp_path):
    (tmp_path / "weights.bin").write_bytes(b"weights")
    platform = build_platform(write(tmp_path, PLATFORM_SETTINGS))
    platform.start()
    try:
        names = [item["name"] for item in read(platform.url, "/instances")["items"]]
        assert names == ["guide-0"]
        assert read(platform.url, "/records")["origin_bytes"] == 0
    finally:
        platform.stop()


@pytest.mark.parametrize("build", [build_engine, build_service])
def test_an_upstream_reports_its_load_and_records(build, tmp_path):
    standin = build(write(tmp_path, "[standin]\naddress = 127.0.0.1\n"))
    standin.start()
    try:
        assert read(standin.url, "/load")["running"] == 0
        assert not read(standin.url, "/records")
    finally:
        standin.stop()


def test_a_port_in_use_raises_a_settings_error(tmp_path):
    first = build_service(write(tmp_path, "[standin]\n"))
    port = first.url.rsplit(":", 1)[1]
    try:
        first.start()
        with pytest.raises(SettingsError):
            build_service(write(tmp_path, f"[standin]\nport = {port}\n"))
    finally:
        first.stop()
