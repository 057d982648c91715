"""Tests of the stand-ins as commands."""

from __future__ import annotations

import pytest

from hibiscustray.commands.standing import build_engine
from hibiscustray.exceptions import SettingsError
from hibiscustray.settings import load_engine_standin
from hibiscustray.web import HttpClient


def test_an_engine_is_paced_by_its_settings(tmp_path):
    file = tmp_path / "engine.ini"
    file.write_text("[standin]\nstep_ms = 2\nmax_batch = 3\n")
    engine = build_engine(load_engine_standin(file))
    engine.start()
    try:
        assert HttpClient(engine.url).call("GET", "/load").status == 200
    finally:
        engine.stop()
    assert (engine.pace.step_s, engine.pace.max_batch) == (0.002, 3)


def test_a_taken_port_is_a_typed_failure(tmp_path):
    file = tmp_path / "engine.ini"
    file.write_text("[standin]\n")
    first = build_engine(load_engine_standin(file))
    port = int(first.url.rsplit(":", 1)[1])
    file.write_text(f"[standin]\nport = {port}\n")
    first.start()
    try:
        with pytest.raises(SettingsError):
            build_engine(load_engine_standin(file))
    finally:
        first.stop()
