"""Settings of one process: INI text to checked frozen data classes."""

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
from hibiscustray.settings.reading import load_settings, parse_settings

__all__ = [
    "IniFile",
    "LimitSettings",
    "LinkSettings",
    "MembershipSettings",
    "PlatformSettings",
    "ProcessSettings",
    "RoutingSettings",
    "SecuritySettings",
    "Settings",
    "UpstreamSettings",
    "load_settings",
    "parse_settings",
    "read_ini",
]
