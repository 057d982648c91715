"""Settings that a process reads from its INI file; names of quantities contain the unit."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Literal

from msgspec import Meta

Port = Annotated[int, Meta(ge=0, le=65535)]
PositiveFloat = Annotated[float, Meta(ge=0.001)]
NonNegativeFloat = Annotated[float, Meta(ge=0.0)]
PositiveInt = Annotated[int, Meta(ge=1)]


@dataclass(frozen=True)
class ProcessSettings:
    """Identity and addresses of this process; port 0 selects any free port."""

    id: str
    availability_zone: str
    region: str
    address: str = "127.0.0.1"
    http_port: Port = 0
    peer_port: Port = 0
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


@dataclass(frozen=True)
class PlatformSettings:
    """URLs of the platform's services, and the timeout of a call."""

    table_url: str
    object_url: str
    machines_url: str
    origin_url: str
    origin_region: str = ""
    timeout_s: PositiveFloat = 2.0


@dataclass(frozen=True)
class UpstreamSettings:
    """The upstream on the VM of an agent, and the service that it belongs to.

    `busy_means_not_run` declares that its HTTP status 429 or 503 proves that a request did not
    start.
    """

    url: str
    service: str
    concurrency: PositiveInt = 32
    busy_means_not_run: bool = False


@dataclass(frozen=True)
class LinkSettings:
    """Bandwidth for weight transfers on this VM, and size of the in-memory chunk cache."""

    up_mbit_s: PositiveFloat = 1000.0
    down_mbit_s: PositiveFloat = 1000.0
    cache_mib: PositiveInt = 4096


@dataclass(frozen=True)
class MembershipSettings:
    """Intervals of heartbeats and of reads of the platform's store and VM list.

    A member that does not respond for `suspect_after_s` is suspect, and dead after twice that time,
    unless another member reaches it. A process may serve for `isolation_grace_s` after its
    last contact with the store or with a peer that confirmed its revision. `seeds` are peer
    addresses to contact, in addition to those of the VM list, while no other member is known.
    """

    heartbeat_s: PositiveFloat = 1.0
    suspect_after_s: PositiveFloat = 3.0
    list_interval_s: PositiveFloat = 5.0
    poll_interval_s: PositiveFloat = 1.0
    isolation_grace_s: PositiveFloat = 30.0
    seeds: tuple[str, ...] = ()


@dataclass(frozen=True)
class LimitSettings:
    """Limits on callers' requests at an entry or agent.

    A draining entry accepts requests for `balancer_lag_s`, until the load balancer has noticed.
    """

    body_kib: PositiveInt = 1024
    longest_deadline_s: PositiveFloat = 120.0
    default_deadline_s: PositiveFloat = 30.0
    balancer_lag_s: NonNegativeFloat = 5.0
    threads: PositiveInt = 64


@dataclass(frozen=True)
class RoutingSettings:
    """How an entry queues requests and chooses replicas.

    All policies other than ``adaptive`` are baselines for comparison. `subset` is the
    largest number of replicas of a service that an entry uses.
    """

    policy: Literal["adaptive", "first_come", "least_outstanding", "round_robin"] = "adaptive"
    subset: PositiveInt = 24


@dataclass(frozen=True)
class SecuritySettings:
    """Paths of key and credential files; an empty path disables the feature."""

    peer_certificate: str = ""
    peer_key: str = ""
    peer_authority: str = ""
    http_certificate: str = ""
    http_key: str = ""
    teams: str = ""
    operators: str = ""


@dataclass(frozen=True)
class Settings:
    """All settings of an entry or agent."""

    process: ProcessSettings
    platform: PlatformSettings
    upstream: UpstreamSettings | None = None
    links: LinkSettings = LinkSettings()
    membership: MembershipSettings = MembershipSettings()
    limits: LimitSettings = LimitSettings()
    routing: RoutingSettings = RoutingSettings()
    security: SecuritySettings = SecuritySettings()
