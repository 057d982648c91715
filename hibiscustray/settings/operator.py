"""Settings of an operator's command line."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from hibiscustray.settings.ini import IniFile
from hibiscustray.settings.model import Positive
from hibiscustray.settings.reading import read_settings_file, resolve_files


@dataclass(frozen=True)
class OperatorIdentity:
    """Who the operator is; the key file holds the key that signs changes."""

    name: str
    key_file: str


@dataclass(frozen=True)
class OperatorPlatform:
    """Where the platform's services are, as URLs."""

    table_url: str
    object_url: str
    machines_url: str
    timeout_s: Positive = 5.0


@dataclass(frozen=True)
class OperatorSecurity:
    """Certificate, key and authority for mutual TLS with our processes; empty means off."""

    peer_certificate: str = ""
    peer_key: str = ""
    peer_authority: str = ""


@dataclass(frozen=True)
class OperatorSettings:
    """Everything that the operator's commands are told."""

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
    sections = {title: ini.read(title, kind) for title, kind in SECTIONS.items()}
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
