"""Settings of a process that a platform hosts: addresses, the store and its bounds."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Literal

from hibiscustray.settings.ini import IniFile
from hibiscustray.settings.model import Count, NotNegative, Port, Positive
from hibiscustray.settings.reading import read_settings_file


@dataclass(frozen=True)
class HostedProcess:
    """Who this process is; `peer_port` and `metrics_port` are for the system's own calls."""

    id: str
    availability_zone: str
    region: str
    address: str
    peer_port: Port
    metrics_port: Port
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


@dataclass(frozen=True)
class HostedEntry:
    """Where an entry listens for callers and for the balancer's question, as IP:port."""

    callers: str
    readiness: str
    threads: Count = 160


@dataclass(frozen=True)
class HostedUpstream:
    """The upstream beside an agent, as IP:port, and its service."""

    address: str
    service: str


@dataclass(frozen=True)
class HostedStore:
    """Address of the platform's store, how long a wait for changes lasts, in seconds.

    `list_pause_s` is the pause between two calls for the list of replicas.
    """

    address: str
    wait_s: Positive = 2.5
    list_pause_s: NotNegative = 0.0


@dataclass(frozen=True)
class HostedLinks:
    """Bandwidth of this VM's link, and the memory for chunks."""

    mbit_s: Positive = 1000.0
    cache_mib: Count = 16


@dataclass(frozen=True)
class HostedBounds:
    """What the platform's contract bounds, in milliseconds and seconds.

    `retry_slack` counts retries that all entries together may make in a window beyond their share.
    """

    version_ms: NotNegative = 8000.0
    grace_s: NotNegative = 8.0
    retry_share: NotNegative = 0.2
    retry_slack: NotNegative = 100.0


@dataclass(frozen=True)
class HostedSettings:
    """Everything that a hosted process is told; `regions` maps availability zones to regions."""

    process: HostedProcess
    store: HostedStore
    regions: dict[str, str]
    entry: HostedEntry | None = None
    upstream: HostedUpstream | None = None
    links: HostedLinks = HostedLinks()
    bounds: HostedBounds = HostedBounds()


SECTIONS = {
    "process": HostedProcess,
    "store": HostedStore,
    "entry": HostedEntry,
    "upstream": HostedUpstream,
    "links": HostedLinks,
    "bounds": HostedBounds,
}
REGIONS = "regions"
REQUIRED = {"entry": ("process", "store", "entry"), "agent": ("process", "store", "upstream")}
ADDRESSES = {
    "store": ("address",),
    "entry": ("callers", "readiness"),
    "upstream": ("address",),
}


def load_hosted_settings(path: Path, role: Literal["entry", "agent"]) -> HostedSettings:
    """Read the settings of a hosted entry or agent, or raise `SettingsError`."""
    ini = read_settings_file(path)
    ini.reject_unknown_sections({*SECTIONS, REGIONS}, set())
    values = {
        title: ini.read(title, kind)
        for title, kind in SECTIONS.items()
        if title in ini.sections or title in REQUIRED[role]
    }
    for title, names in ADDRESSES.items():
        if values.get(title) is not None:
            _check_addresses(ini, title, values[title], names)
    regions = dict(ini.sections.get(REGIONS, {}))
    process = values.get("process")
    if process is not None and regions.get(process.availability_zone) != process.region:
        found = regions.get(process.availability_zone, "nothing")
        ini.add_problem(REGIONS, process.availability_zone, found, process.region)
    ini.raise_problems()
    return HostedSettings(regions=regions, **values)


def _check_addresses(ini: IniFile, title: str, section, names: tuple[str, ...]) -> None:
    for name in names:
        text = getattr(section, name)
        host, _, port = text.rpartition(":")
        if not host or not port.isdigit() or int(port) > 65535:
            ini.add_problem(title, name, text, "IP:port")
