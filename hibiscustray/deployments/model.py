"""The deployment that operators state: versions, services and teams with their value ranges."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Literal

from msgspec import Meta

Percent = Annotated[float, Meta(ge=0.0, le=100.0)]
PositiveFloat = Annotated[float, Meta(ge=0.001)]
PositiveInt = Annotated[int, Meta(ge=1)]


@dataclass(frozen=True)
class Version:
    """A version of a model or adapter; `manifest` is the hex SHA-256 digest of its manifest.

    An adapter's `base` names the version of a model that it extends.
    """

    name: str
    model: str
    manifest: str
    kind: Literal["model", "adapter"] = "model"
    base: str = ""


@dataclass(frozen=True)
class Service:
    """A service with its model version, availability zones and service-level objectives.

    `objective` is what a transfer of weights minimizes: the time, or the bytes read from the
    origin. At most `max_unavailable` replicas swap weights at the same time. Unless
    `serves_previous` is set, replicas get no requests while they serve a version that the
    deployment no longer lists.
    """

    name: str
    kind: Literal["model", "plain"] = "model"
    version: str = ""
    adapters: tuple[str, ...] = ()
    availability_zones: tuple[str, ...] = ()
    objective: Literal["time", "origin_bytes"] = "time"
    max_unavailable: PositiveInt = 1
    engines_check_fencing: bool = True
    serves_previous: bool = True
    availability_percent: Percent = 99.9
    first_token_ms: PositiveFloat = 980.0
    answer_ms: PositiveFloat = 30000.0


@dataclass(frozen=True)
class Team:
    """A team that calls services, with its weight and priority under contention.

    With `availability_percent` zero, each service's own objective applies.
    """

    name: str
    weight: PositiveFloat = 1.0
    priority: Annotated[int, Meta(ge=0, le=9)] = 5
    availability_percent: Percent = 0.0


@dataclass(frozen=True)
class Deployment:
    """A complete configuration, which is only replaced as a whole."""

    name: str
    versions: tuple[Version, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()

    def find_service(self, name: str) -> Service | None:
        """Return the service with a name, None if there is none."""
        return next((service for service in self.services if service.name == name), None)

    def find_version(self, name: str) -> Version | None:
        """Return the version with a name, None if there is none."""
        return next((version for version in self.versions if version.name == name), None)

    def find_team(self, name: str) -> Team | None:
        """Return the team with a name, None if there is none."""
        return next((team for team in self.teams if team.name == name), None)

    def find_digest(self, service: str) -> str:
        """Return the manifest digest of a service's version, empty if it has none."""
        found = self.find_service(service)
        version = self.find_version(found.version) if found else None
        return version.manifest if version else ""
