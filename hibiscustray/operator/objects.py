"""Objects with which operators state a deployment."""

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
    """A model and the versions of it that may serve."""

    name: str

    def version(self, name: str, manifest: str) -> Version:
        """Return a version of this model, by its manifest's digest."""
        return Version(name, self.name, manifest)


@dataclass(frozen=True)
class Adapter:
    """An adapter and its versions; each fits one version of a model."""

    name: str

    def version(self, name: str, manifest: str, base: Version) -> Version:
        """Return a version of this adapter."""
        return Version(name, self.name, manifest, "adapter", base.name)


@dataclass(frozen=True)
class ServicePlan:
    """A model service: which version it carries and where."""

    name: str
    version: Version
    adapters: tuple[Version, ...] = ()
    availability_zones: tuple[str, ...] = ()
    objective: Literal["time", "origin_bytes"] = "time"
    max_unavailable: int = 1
    engines_check_fencing: bool = True
    serves_previous: bool = True

    def build(self) -> Service:
        """Return the service as configured."""
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
    """A plain service that the system routes to."""

    name: str
    availability_zones: tuple[str, ...] = ()

    def build(self) -> Service:
        """Return the service as configured."""
        return Service(self.name, "plain", availability_zones=self.availability_zones)


@dataclass(frozen=True)
class DeploymentPlan:
    """A whole deployment; `str` prints the INI that is put in force."""

    name: str
    versions: tuple[Version, ...] = ()
    services: tuple[ServicePlan | PlainService, ...] = ()
    teams: tuple[Team, ...] = ()

    def build(self) -> Deployment:
        """Return the checked deployment; raise `SettingsError`."""
        services = tuple(service.build() for service in self.services)
        deployment = Deployment(self.name, self.versions, services, self.teams)
        return parse_deployment(render_deployment(deployment), self.name)

    def with_versions(self, *versions: Version) -> DeploymentPlan:
        """Return a copy that lists more versions."""
        return replace(self, versions=self.versions + versions)

    def __str__(self) -> str:
        """Return the INI text."""
        return render_deployment(self.build())
