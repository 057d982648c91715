"""The settings that a process reads from its INI file, with units in the names."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Literal

from msgspec import Meta

Port = Annotated[int, Meta(ge=0, le=65535)]
Positive = Annotated[float, Meta(ge=0.001)]
NotNegative = Annotated[float, Meta(ge=0.0)]
Count = Annotated[int, Meta(ge=1)]


@dataclass(frozen=True)
class ProcessSettings:
    """Who this process is and where it listens; port 0 takes any free port."""

    id: str
    availability_zone: str
    region: str
    address: str = "127.0.0.1"
    http_port: Port = 0
    peer_port: Port = 0
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


@dataclass(frozen=True)
class PlatformSettings:
    """Where the platform's services are, as URLs."""

    table_url: str
    object_url: str
    machines_url: str
    origin_url: str
    origin_region: str = ""
    timeout_s: Positive = 2.0


@dataclass(frozen=True)
class UpstreamSettings:
    """The upstream beside an agent and the service that it belongs to.

    `busy_means_not_run` tells that its 429 and 503 prove that a request did not start.
    """

    url: str
    service: str
    concurrency: Count = 32
    busy_means_not_run: bool = False


@dataclass(frozen=True)
class LinkSettings:
    """Bandwidth that weights may take on this VM, and the memory for chunks."""

    up_mbit_s: Positive = 1000.0
    down_mbit_s: Positive = 1000.0
    cache_mib: Count = 4096


@dataclass(frozen=True)
class MembershipSettings:
    """Intervals of the heartbeat and of the platform's list, and peers to try without it."""

    heartbeat_s: Positive = 1.0
    suspect_after_s: Positive = 3.0
    list_interval_s: Positive = 5.0
    poll_interval_s: Positive = 1.0
    isolation_grace_s: Positive = 30.0
    seeds: tuple[str, ...] = ()


@dataclass(frozen=True)
class LimitSettings:
    """Limits on callers' requests at an entry or agent."""

    body_kib: Count = 1024
    longest_deadline_s: Positive = 120.0
    default_deadline_s: Positive = 30.0
    balancer_lag_s: NotNegative = 5.0
    threads: Count = 64


@dataclass(frozen=True)
class RoutingSettings:
    """How an entry queues requests and chooses replicas; the other policies are baselines."""

    policy: Literal["adaptive", "first_come", "least_outstanding", "round_robin"] = "adaptive"
    subset: Count = 24


@dataclass(frozen=True)
class SecuritySettings:
    """Paths of key and credential files; empty means that the feature is off."""

    peer_certificate: str = ""
    peer_key: str = ""
    peer_authority: str = ""
    http_certificate: str = ""
    http_key: str = ""
    teams: str = ""
    operators: str = ""


@dataclass(frozen=True)
class Settings:
    """Everything that one entry or agent is told."""

    process: ProcessSettings
    platform: PlatformSettings
    upstream: UpstreamSettings | None = None
    links: LinkSettings = LinkSettings()
    membership: MembershipSettings = MembershipSettings()
    limits: LimitSettings = LimitSettings()
    routing: RoutingSettings = RoutingSettings()
    security: SecuritySettings = SecuritySettings()
