"""Settings of a process, read from INI text into validated frozen data classes."""

from hibiscustray.settings.hosted import (
    HostedBounds,
    HostedEntry,
    HostedLinks,
    HostedProcess,
    HostedSettings,
    HostedStore,
    HostedUpstream,
    load_hosted_settings,
)
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
from hibiscustray.settings.operator import OperatorSettings, load_operator_settings
from hibiscustray.settings.reading import load_settings, parse_settings, read_text
from hibiscustray.settings.standins import (
    CallersSettings,
    EngineStandInSettings,
    PlatformStandInFile,
    ServiceStandInSettings,
    load_callers,
    load_engine_standin,
    load_platform_standin,
    load_service_standin,
    load_team_keys,
)

__all__ = [
    "CallersSettings",
    "EngineStandInSettings",
    "HostedBounds",
    "HostedEntry",
    "HostedLinks",
    "HostedProcess",
    "HostedSettings",
    "HostedStore",
    "HostedUpstream",
    "load_hosted_settings",
    "OperatorSettings",
    "PlatformStandInFile",
    "ServiceStandInSettings",
    "load_callers",
    "load_engine_standin",
    "load_operator_settings",
    "load_platform_standin",
    "load_service_standin",
    "load_team_keys",
    "read_text",
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
