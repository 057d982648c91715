"""Settings of the operator commands."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from hibiscustray.settings.ini import IniFile
from hibiscustray.settings.model import PositiveFloat
from hibiscustray.settings.reading import read_settings_file, resolve_files


@dataclass(frozen=True)
class OperatorIdentity:
    """Name of the operator, and path of the file with the key that signs changes."""

    name: str
    key_file: str


@dataclass(frozen=True)
class OperatorPlatform:
    """URLs of the platform's services, and the timeout of a call."""

    table_url: str
    object_url: str
    machines_url: str
    timeout_s: PositiveFloat = 5.0


@dataclass(frozen=True)
class OperatorSecurity:
    """Certificate, key and authority for mutual TLS with entries and agents; empty disables it."""

    peer_certificate: str = ""
    peer_key: str = ""
    peer_authority: str = ""


@dataclass(frozen=True)
class OperatorSettings:
    """All settings of the operator commands."""

    operator: OperatorIdentity
    platform: OperatorPlatform
    security: OperatorSecurity
    key: bytes


SECTIONS = {
    "operator": OperatorIdentity,
    "platform": OperatorPlatform,
    "security": OperatorSecurity,
}


def load_operator_settings(path: Path) -> OperatorSettings:
    """Read an operator's settings and key, or raise `SettingsError`."""
    ini = read_settings_file(path)
    ini.reject_unknown_sections(set(SECTIONS), set())
    sections = {title: ini.read(title, section_type) for title, section_type in SECTIONS.items()}
    identity = sections["operator"]
    key = _read_key(ini, path.parent / identity.key_file) if identity else b""
    ini.raise_problems()
    sections["security"] = resolve_files(sections["security"], path.parent)
    return OperatorSettings(**sections, key=key)


def _read_key(ini: IniFile, path: Path) -> bytes:
    try:
        key = path.read_bytes().strip()
    except OSError as error:
        ini.add_problem("operator", "key_file", str(path), f"a file that can be read ({error})")
        return b""
    if not key:
        ini.add_problem("operator", "key_file", str(path), "a file with a key")
    return key
