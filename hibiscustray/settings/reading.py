"""Reads and validates the settings file of an entry or agent."""

from __future__ import annotations

import dataclasses
from pathlib import Path
from typing import TypeVar

from hibiscustray.exceptions import SettingsError
from hibiscustray.settings.ini import IniFile, read_ini
from hibiscustray.settings.model import (
    LimitSettings,
    LinkSettings,
    MembershipSettings,
    PlatformSettings,
    ProcessSettings,
    RoutingSettings,
    SecuritySettings,
    Settings,
    UpstreamSettings,
)

Section = TypeVar("Section")

SECTIONS = {
    "process": ProcessSettings,
    "platform": PlatformSettings,
    "upstream": UpstreamSettings,
    "links": LinkSettings,
    "membership": MembershipSettings,
    "limits": LimitSettings,
    "routing": RoutingSettings,
    "security": SecuritySettings,
}
REQUIRED = ("process", "platform")


def load_settings(path: Path, role: str) -> Settings:
    """Read and validate the settings of an ``entry`` or ``agent``, or raise `SettingsError`."""
    settings = parse_settings(read_text(path), str(path), role)
    return dataclasses.replace(settings, security=resolve_files(settings.security, path.parent))


def resolve_files(section: Section, folder: Path) -> Section:
    """Return a section whose paths are resolved against the folder of its settings file."""
    names = [field.name for field in dataclasses.fields(section)]
    paths = {name: getattr(section, name) for name in names if getattr(section, name)}
    return dataclasses.replace(section, **{k: str(folder / v) for k, v in paths.items()})


def read_settings_file(path: Path) -> IniFile:
    """Parse an INI file into sections, or raise `SettingsError`."""
    return read_ini(read_text(path), str(path))


def read_text(path: Path) -> str:
    """Return the text of a file, or raise `SettingsError`."""
    try:
        return path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((f"{path}: cannot be read: {error}",)) from error


def parse_settings(text: str, name: str, role: str) -> Settings:
    """Parse and validate settings text; raise `SettingsError` with all problems found."""
    ini = read_ini(text, name)
    ini.reject_unknown_sections(set(SECTIONS), set())
    required = REQUIRED + (("upstream",) if role == "agent" else ())
    values = {
        title: ini.read(title, section_type)
        for title, section_type in SECTIONS.items()
        if title in ini.sections or title in required
    }
    if role == "entry" and "upstream" in ini.sections:
        ini.add_problem("upstream", "section", "upstream", "no such section for an entry")
    ini.raise_problems()
    return Settings(**values)
