"""Deployments as INI text, rendered by the operator library and parsed by every process."""

from __future__ import annotations

import configparser
import dataclasses
import io
from typing import Any

from hibiscustray.deployments.model import Deployment, Service, Team, Version
from hibiscustray.settings import IniFile, read_ini

SECTION_TYPES = {"version": Version, "service": Service, "team": Team}
DIGEST_LENGTH = 64


@dataclasses.dataclass(frozen=True)
class DeploymentSection:
    """The section that names the deployment."""

    name: str


def render_deployment(deployment: Deployment) -> str:
    """Render a deployment as INI text; equal deployments give equal text."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    parser["deployment"] = {"name": deployment.name}
    for prefix, items in (
        ("version", deployment.versions),
        ("service", deployment.services),
        ("team", deployment.teams),
    ):
        for item in sorted(items, key=lambda each: each.name):
            parser[f"{prefix} {item.name}"] = _render_fields(item)
    buffer = io.StringIO()
    parser.write(buffer)
    return buffer.getvalue().strip() + "\n"


def parse_deployment(text: str, name: str = "deployment") -> Deployment:
    """Parse and validate INI text; raise `SettingsError` with all problems together."""
    ini = read_ini(text, name)
    ini.reject_unknown_sections({"deployment"}, set(SECTION_TYPES))
    section = ini.read("deployment", DeploymentSection)
    items = {prefix: _read_items(ini, prefix, kind) for prefix, kind in SECTION_TYPES.items()}
    deployment = Deployment(
        name=section.name if section else "",
        versions=items["version"],
        services=items["service"],
        teams=items["team"],
    )
    _check_versions(ini, deployment)
    _check_services(ini, deployment)
    ini.raise_problems()
    return deployment


def _render_fields(item: Any) -> dict[str, str]:
    return {
        field.name: _render_value(getattr(item, field.name))
        for field in dataclasses.fields(item)
        if field.name != "name" and getattr(item, field.name) != field.default
    }


def _render_value(value: Any) -> str:
    match value:
        case bool():
            return "yes" if value else "no"
        case tuple():
            return ", ".join(value)
    return str(value)


def _read_items(ini: IniFile, prefix: str, kind: type) -> tuple[Any, ...]:
    titles = ini.named_sections(prefix)
    items = [ini.read(title, kind, name=name) for name, title in titles.items()]
    return tuple(item for item in items if item is not None)


def _check_versions(ini: IniFile, deployment: Deployment) -> None:
    for version in deployment.versions:
        title = f"version {version.name}"
        digest = version.manifest
        if len(digest) != DIGEST_LENGTH or not set(digest) <= set("0123456789abcdef"):
            ini.add_problem(title, "manifest", digest, "64 hexadecimal digits")
        base = deployment.find_version(version.base) if version.base else None
        if version.kind == "adapter" and (base is None or base.kind != "model"):
            ini.add_problem(title, "base", version.base, "the name of a version of kind model")
        if version.kind == "model" and version.base:
            ini.add_problem(title, "base", version.base, "nothing, since only adapters have one")


def _check_services(ini: IniFile, deployment: Deployment) -> None:
    for service in deployment.services:
        title = f"service {service.name}"
        version = deployment.find_version(service.version)
        if service.kind == "plain" and service.version:
            ini.add_problem(title, "version", service.version, "nothing for a plain service")
        if service.kind == "model" and (version is None or version.kind != "model"):
            ini.add_problem(title, "version", service.version, "a version of kind model")
        for name in service.adapters:
            adapter = deployment.find_version(name)
            if adapter is None or adapter.kind != "adapter" or adapter.base != service.version:
                allowed = f"adapters whose base is {service.version}"
                ini.add_problem(title, "adapters", name, allowed)
