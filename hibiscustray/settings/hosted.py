"""Settings of an entry or agent that runs on a hosting platform."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Literal

from hibiscustray.exceptions import SettingsError
from hibiscustray.settings.ini import IniFile
from hibiscustray.settings.model import NonNegativeFloat, Port, PositiveFloat, PositiveInt
from hibiscustray.settings.reading import read_settings_file


@dataclass(frozen=True)
class HostedProcess:
    """Identity and addresses; `peer_port` and `metrics_port` serve calls from within the system."""

    id: str
    availability_zone: str
    region: str
    address: str
    peer_port: Port
    metrics_port: Port
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


@dataclass(frozen=True)
class HostedEntry:
    """Addresses for callers and for the load balancer's readiness probe, as IP:port.

    `memory_mb` is the memory that the process may use, in megabytes of 10^6 bytes.
    """

    callers: str
    readiness: str
    threads: PositiveInt = 160
    memory_mb: PositiveFloat = 300.0


@dataclass(frozen=True)
class HostedUpstream:
    """Address of the upstream on the VM of an agent, as IP:port, and its service."""

    address: str
    service: str


@dataclass(frozen=True)
class HostedStore:
    """Address of the platform's store; `wait_s` is the longest wait of one call for changes.

    The bounds may allow less. `list_pause_s` is the pause between reads of the list of replicas; an
    entry's is shortened to what the drain time allows.
    """

    address: str
    wait_s: PositiveFloat = 8.0
    list_pause_s: NonNegativeFloat = 0.0


@dataclass(frozen=True)
class HostedLinks:
    """Bandwidth of this VM's link and size of the in-memory chunk cache."""

    mbit_s: PositiveFloat = 1000.0
    cache_mib: PositiveInt = 16


@dataclass(frozen=True)
class HostedBounds:
    """Limits that the platform prescribes.

    `version_ms` limits the time for swapping to a new target version, `grace_s` the time for
    draining, `contact_ms` the time until a process knows all changes again after its connections
    were lost, `drain_ms` the time after which a leaving replica gets no new requests. `retry_share`
    is the allowed ratio of retries to requests, `retry_slack` the number of retries that all
    entries together may make in a window beyond this share.
    """

    version_ms: NonNegativeFloat = 8000.0
    contact_ms: PositiveFloat = 3000.0
    grace_s: NonNegativeFloat = 8.0
    drain_ms: NonNegativeFloat = 2000.0
    retry_share: NonNegativeFloat = 0.2
    retry_slack: NonNegativeFloat = 100.0


@dataclass(frozen=True)
class HostedSettings:
    """All settings of a hosted process; `regions` maps availability zones to regions."""

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
ADDRESS_KEYS = {
    "store": ("address",),
    "entry": ("callers", "readiness"),
    "upstream": ("address",),
}


def find_settings_path(variable: str) -> Path:
    """Return the path in an environment variable; raise `SettingsError` if it holds none."""
    text = os.environ.get(variable, "")
    if not text:
        raise SettingsError((f"{variable}: found nothing; allowed: a settings file",))
    return Path(text)


def load_hosted_settings(path: Path, role: Literal["entry", "agent"]) -> HostedSettings:
    """Read and validate the settings of a hosted entry or agent, or raise `SettingsError`."""
    ini = read_settings_file(path)
    ini.reject_unknown_sections({*SECTIONS, REGIONS}, set())
    values = {
        title: ini.read(title, section_type)
        for title, section_type in SECTIONS.items()
        if title in ini.sections or title in REQUIRED[role]
    }
    for title, keys in ADDRESS_KEYS.items():
        if values.get(title) is not None:
            _check_addresses(ini, title, values[title], keys)
    regions = dict(ini.sections.get(REGIONS, {}))
    process = values.get("process")
    if process is not None and regions.get(process.availability_zone) != process.region:
        found = regions.get(process.availability_zone, "nothing")
        ini.add_problem(REGIONS, process.availability_zone, found, process.region)
    ini.raise_problems()
    return HostedSettings(regions=regions, **values)


def _check_addresses(ini: IniFile, title: str, section, keys: tuple[str, ...]) -> None:
    for key in keys:
        value = getattr(section, key)
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or int(port) > 65535:
            ini.add_problem(title, key, value, "IP:port")
