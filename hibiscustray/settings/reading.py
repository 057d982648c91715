"""Reading of a process's settings file, checked as a whole."""

from __future__ import annotations

from pathlib import Path

from hibiscustray.exceptions import SettingsError
from hibiscustray.settings.ini import read_ini
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
    """Read the settings of an ``entry`` or ``agent``, or raise `SettingsError`."""
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError((f"{path}: cannot be read: {error}",)) from error
    return parse_settings(text, str(path), role)


def parse_settings(text: str, name: str, role: str) -> Settings:
    """Check settings text as a whole; raise `SettingsError` with all problems at once."""
    ini = read_ini(text, name)
    ini.reject_unknown_sections(set(SECTIONS), set())
    required = REQUIRED + (("upstream",) if role == "agent" else ())
    values = {
        title: ini.read(title, kind)
        for title, kind in SECTIONS.items()
        if title in ini.sections or title in required
    }
    if role == "entry" and "upstream" in ini.sections:
        ini.add_problem("upstream", "section", "upstream", "an entry has no upstream; remove it")
    ini.raise_problems()
    return Settings(**values)
