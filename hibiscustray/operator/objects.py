"""Objects from which operators build a deployment."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Literal

from hibiscustray.deployments import (
    Deployment,
    Service,
    Team,
    Version,
    parse_deployment,
    render_deployment,
)


@dataclass(frozen=True)
class Model:
    """A model; `version` describes one of its versions for a `DeploymentPlan`."""

    name: str

    def version(self, name: str, manifest: str) -> Version:
        """Return a version of this model with the digest of its manifest."""
        return Version(name, self.name, manifest)


@dataclass(frozen=True)
class Adapter:
    """An adapter; each of its versions extends one version of a model, its base."""

    name: str

    def version(self, name: str, manifest: str, base: Version) -> Version:
        """Return a version of this adapter for a base version, with the digest of its manifest."""
        return Version(name, self.name, manifest, "adapter", base.name)


@dataclass(frozen=True)
class ServicePlan:
    """A model service: the version and adapters that it serves, and in which availability zones."""

    name: str
    version: Version
    adapters: tuple[Version, ...] = ()
    availability_zones: tuple[str, ...] = ()
    objective: Literal["time", "origin_bytes"] = "time"
    max_unavailable: int = 1
    engines_check_fencing: bool = True
    serves_previous: bool = True

    def build(self) -> Service:
        """Return the service as part of a `Deployment`."""
        return Service(
            name=self.name,
            version=self.version.name,
            adapters=tuple(adapter.name for adapter in self.adapters),
            availability_zones=self.availability_zones,
            objective=self.objective,
            max_unavailable=self.max_unavailable,
            engines_check_fencing=self.engines_check_fencing,
            serves_previous=self.serves_previous,
        )


@dataclass(frozen=True)
class PlainService:
    """A service without a model, to which requests are routed."""

    name: str
    availability_zones: tuple[str, ...] = ()

    def build(self) -> Service:
        """Return the service as part of a `Deployment`."""
        return Service(self.name, "plain", availability_zones=self.availability_zones)


@dataclass(frozen=True)
class DeploymentPlan:
    """A complete deployment; `str` returns the INI text that operators apply."""

    name: str
    versions: tuple[Version, ...] = ()
    services: tuple[ServicePlan | PlainService, ...] = ()
    teams: tuple[Team, ...] = ()

    def build(self) -> Deployment:
        """Return the validated deployment; raise `SettingsError`."""
        services = tuple(service.build() for service in self.services)
        deployment = Deployment(self.name, self.versions, services, self.teams)
        return parse_deployment(render_deployment(deployment), self.name)

    def with_versions(self, *versions: Version) -> DeploymentPlan:
        """Return a copy with additional versions."""
        return replace(self, versions=self.versions + versions)

    def __str__(self) -> str:
        """Return the INI text."""
        return render_deployment(self.build())
