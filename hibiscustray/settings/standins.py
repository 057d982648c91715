"""Settings of the stand-in processes."""

from __future__ import annotations

from dataclasses import dataclass, replace
from pathlib import Path

from hibiscustray.settings.model import Port, PositiveFloat, PositiveInt
from hibiscustray.settings.reading import read_settings_file

FILE_KEYS = ("keys", "http_authority")


@dataclass(frozen=True)
class PlatformStandInSettings:
    """Addresses of the platform's stand-in, and the bandwidth of its origin."""

    address: str = "127.0.0.1"
    port: Port = 0
    origin_port: Port = 0
    origin_mbit_s: PositiveFloat = 1000.0


@dataclass(frozen=True)
class OriginFile:
    """A weights file that the origin serves under the path in its section title."""

    path: str
    file: str


@dataclass(frozen=True)
class ListedVm:
    """A VM in the platform's list."""

    name: str
    availability_zone: str
    peer_address: str


@dataclass(frozen=True)
class PlatformStandInFile:
    """All settings of the platform's stand-in."""

    platform: PlatformStandInSettings
    files: tuple[OriginFile, ...]
    machines: tuple[ListedVm, ...]


@dataclass(frozen=True)
class EngineStandInSettings:
    """Address, step time and maximum batch size of an engine's stand-in."""

    address: str = "127.0.0.1"
    port: Port = 0
    step_ms: PositiveFloat = 10.0
    max_batch: PositiveInt = 16
    checks_fencing: bool = True
    http_authority: str = ""


@dataclass(frozen=True)
class ServiceStandInSettings:
    """Address of a plain service's stand-in, and the duration of a call."""

    address: str = "127.0.0.1"
    port: Port = 0
    delay_ms: PositiveFloat = 5.0


@dataclass(frozen=True)
class CallersSettings:
    """Load of the stand-in callers, and where the records are read afterwards.

    Callers send requests to `entries` with the team keys in the file `keys`.
    """

    entries: tuple[str, ...]
    keys: str
    model_service: str
    plain_services: tuple[str, ...]
    engines: tuple[str, ...]
    services: tuple[str, ...]
    platform: str
    large_teams: tuple[str, ...] = ()
    threads: PositiveInt = 16
    think_ms: PositiveFloat = 100.0
    longest_s: PositiveFloat = 120.0
    seed: int = 1
    http_authority: str = ""


def load_platform_standin(path: Path) -> PlatformStandInFile:
    """Read ``[standin]``, ``[file PATH]`` and ``[machine NAME]``, or raise `SettingsError`."""
    ini = read_settings_file(path)
    ini.reject_unknown_sections({"standin"}, {"file", "machine"})
    platform = ini.read("standin", PlatformStandInSettings)
    files = [
        ini.read(title, OriginFile, path=name) for name, title in ini.named_sections("file").items()
    ]
    vms = [
        ini.read(title, ListedVm, name=name)
        for name, title in ini.named_sections("machine").items()
    ]
    for file in filter(None, files):
        if not (path.parent / file.file).is_file():
            ini.add_problem(f"file {file.path}", "file", file.file, "a file that exists")
    ini.raise_problems()
    return PlatformStandInFile(platform, tuple(files), tuple(vms))


def load_engine_standin(path: Path) -> EngineStandInSettings:
    """Read ``[standin]`` of an engine, or raise `SettingsError`."""
    return _load_standin_section(path, EngineStandInSettings)


def load_service_standin(path: Path) -> ServiceStandInSettings:
    """Read ``[standin]`` of a plain service, or raise `SettingsError`."""
    return _load_standin_section(path, ServiceStandInSettings)


def load_callers(path: Path) -> CallersSettings:
    """Read ``[standin]`` of the callers, or raise `SettingsError`."""
    return _load_standin_section(path, CallersSettings)


def load_team_keys(path: Path) -> dict[str, str]:
    """Read ``[keys]`` with one ``team = key`` line for each team, or raise `SettingsError`."""
    ini = read_settings_file(path)
    ini.reject_unknown_sections({"keys"}, set())
    if not ini.sections.get("keys"):
        ini.add_problem("keys", "section", "nothing", "one team = key line for each team")
    ini.raise_problems()
    return dict(ini.sections["keys"])


def _load_standin_section(path: Path, section_type: type):
    ini = read_settings_file(path)
    ini.reject_unknown_sections({"standin"}, set())
    settings = ini.read("standin", section_type)
    ini.raise_problems()
    files = {
        name: str(path.parent / getattr(settings, name))
        for name in FILE_KEYS
        if getattr(settings, name, "")
    }
    return replace(settings, **files)
