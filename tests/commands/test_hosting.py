"""Tests of reloading the settings of a hosted process, from valid and invalid files."""

from __future__ import annotations

import dataclasses

from hibiscustray.commands.hosting import _reload_settings
from hibiscustray.settings import load_hosted_settings
from tests.settings.test_hosted import write_settings


class RecordingProcess:
    """Records the settings with which it is reloaded."""

    def __init__(self) -> None:
        self.reloads = []

    def reload(self, settings) -> None:
        self.reloads.append(settings)


def test_changed_bounds_are_reloaded_and_an_unchanged_file_is_not(tmp_path):
    path = write_settings(tmp_path, "entry")
    active, process = load_hosted_settings(path, "entry"), RecordingProcess()
    assert _reload_settings(path, "entry", active, process) == active
    assert process.reloads == []
    write_settings(tmp_path, "entry", version_ms="5000")
    loaded = _reload_settings(path, "entry", active, process)
    assert loaded == dataclasses.replace(
        active, bounds=dataclasses.replace(active.bounds, version_ms=5000.0)
    )
    assert process.reloads == [loaded]


def test_an_invalid_file_leaves_the_active_settings(tmp_path, caplog):
    path = write_settings(tmp_path, "entry")
    active, process = load_hosted_settings(path, "entry"), RecordingProcess()
    for text in ("not ini", "[process]\nid = x\n"):
        path.write_text(text)
        assert _reload_settings(path, "entry", active, process) == active
    assert process.reloads == []
    assert "settings reload failed" in caplog.text
