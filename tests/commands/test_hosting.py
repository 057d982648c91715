"""Changed settings of a hosted process, with and without a usable file."""

from __future__ import annotations

import dataclasses

from hibiscustray.commands.hosting import _reload
from hibiscustray.settings import load_hosted_settings
from tests.settings.test_hosted import write_settings


class Process:
    """Notes what it is told to take on."""

    def __init__(self) -> None:
        self.taken = []

    def reload(self, settings) -> None:
        self.taken.append(settings)


def test_changed_bounds_are_taken_on_and_an_unchanged_file_is_not(tmp_path):
    path = write_settings(tmp_path, "entry")
    known, process = load_hosted_settings(path, "entry"), Process()
    assert _reload(path, "entry", known, process) == known
    assert process.taken == []
    write_settings(tmp_path, "entry", version_ms="5000")
    found = _reload(path, "entry", known, process)
    assert found == dataclasses.replace(
        known, bounds=dataclasses.replace(known.bounds, version_ms=5000.0)
    )
    assert process.taken == [found]


def test_a_file_that_cannot_be_used_leaves_the_settings_in_force(tmp_path, caplog):
    path = write_settings(tmp_path, "entry")
    known, process = load_hosted_settings(path, "entry"), Process()
    for text in ("not ini", "[process]\nid = x\n"):
        path.write_text(text)
        assert _reload(path, "entry", known, process) == known
    assert process.taken == []
    assert "settings not taken on" in caplog.text
