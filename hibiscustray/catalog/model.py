"""The operator's configuration as immutable data classes, with lookups for requests."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum


class RouteKind(Enum):
    """Whether requests of a route may be repeated, and whether their responses are streams."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class ServiceShare:
    """A service and its weight in the distribution of a route's requests."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True)
class Route:
    """Rules for the requests of one host whose path begins with a prefix; times in seconds.

    `objective_s` is the latency objective for a response or the first event of a stream; `attempts`
    limits how often one request may be sent; priority 0 is the most urgent. Requests of an
    anonymous route need no key. A resumable stream is continued by another attempt when one breaks
    off.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    objective_s: float
    attempts: int = 1
    priority: int = 5
    is_anonymous: bool = False
    is_resumable: bool = False
    gap_objective_s: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may be sent again after an attempt that may have run."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )


@dataclass(frozen=True)
class EngineProfile:
    """Published performance figures of a model engine; times in seconds, sizes in tokens.

    A pass runs `stride` decode steps and prefills prompts in parallel. `pair_s` is the time per
    pair of prompt tokens in a chunk.
    """

    slots: int
    step_s: float
    step_per_request_s: float
    step_per_context_token_s: float
    prompt_tokens_per_s: float
    pair_s: float
    chunk_tokens: int
    stride: int
    report_lag_s: float
    typical_prompt_tokens: float
    typical_output_tokens: float
    cache_tokens: int
    layers: int
    models: tuple[str, ...] = ()


@dataclass(frozen=True)
class OriginEntry:
    """The origin server that weights are first downloaded from."""

    address: str
    availability_zone: str
    link_mbit_s: float
    connection_limit: int


@dataclass(frozen=True)
class ServiceEntry:
    """A service: an upstream that requests are routed to, or the origin of weights."""

    name: str
    health_path: str = ""
    connection_limit: int = 0
    engine: EngineProfile | None = None
    origin: OriginEntry | None = None


@dataclass(frozen=True)
class TeamEntry:
    """A team; its priority, if given, takes precedence over the route's."""

    name: str
    priority: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Limits on a caller's headers and body in bytes, and on header and idle time in seconds."""

    header_b: int = 16384
    body_b: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Catalog:
    """One complete revision of the configuration."""

    revision: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceEntry] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    teams: Mapping[str, TeamEntry] = field(default_factory=dict)
    """Teams by the keys of their callers."""
    requires_keys: bool = False
    """Whether callers need a key, also if there is no team or none that has one."""
    _routes_by_prefix: Mapping[tuple[str, str], Route] = field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self) -> None:
        routes = {(route.host, route.prefix): route for route in self.routes}
        object.__setattr__(self, "_routes_by_prefix", routes)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix of the path."""
        for prefix in _list_prefixes(path):
            route = self._routes_by_prefix.get((host, prefix))
            if route is not None:
                return route
        return None

    def find_team(self, key: str | None) -> TeamEntry | None:
        """Return the team that a caller's key belongs to, None without a key."""
        return self.teams.get(key) if key is not None else None

    def find_origin(self) -> OriginEntry | None:
        """Return the origin of weights, None if the configuration has none."""
        return next((s.origin for s in self.services.values() if s.origin is not None), None)

    def find_models(self, service: str) -> tuple[str, ...]:
        """Return the models that the replicas of a service may serve."""
        entry = self.services.get(service)
        return entry.engine.models if entry is not None and entry.engine is not None else ()


def _list_prefixes(path: str) -> Iterable[str]:
    """Yield the prefixes of a path that end with a slash, the longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
