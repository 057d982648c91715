"""The operator's configuration as frozen data, with the lookups that requests need."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum


class RouteKind(Enum):
    """What a caller of a route may expect to be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class ServiceShare:
    """A service and the weight with which a route's requests go to it."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True)
class Route:
    """Requests of one host whose path begins with a prefix; times in seconds.

    `objective_s` is the time within which an answer, or a stream's first event, is of full use;
    `attempts` bounds the replicas that one request may be sent to; rank 0 is the most urgent.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    objective_s: float
    attempts: int = 1
    rank: int = 5
    is_anonymous: bool = False
    is_resumable: bool = False
    gap_objective_s: float = 0.0

    @property
    def is_repeatable(self) -> bool:
        """Tell whether a request may run again after an attempt that may have run."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAMING and self.is_resumable
        )


@dataclass(frozen=True)
class EngineProfile:
    """Published figures of a model engine; times in seconds, sizes in tokens.

    A pass runs `stride` token steps for the requests that write, and reads prompts beside them.
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
    """Where weights are first drawn from."""

    address: str
    availability_zone: str
    link_mbit_s: float
    connection_limit: int


@dataclass(frozen=True)
class ServiceEntry:
    """One service: an upstream that requests are routed to, or the origin of weights."""

    name: str
    health_path: str = ""
    connection_limit: int = 0
    engine: EngineProfile | None = None
    origin: OriginEntry | None = None


@dataclass(frozen=True)
class TeamEntry:
    """A team; its rank, if given, goes before the route's."""

    name: str
    rank: int | None = None


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, in bytes, and how long it may take or stay idle, in seconds."""

    header_b: int = 16384
    body_b: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Catalog:
    """One revision of the configuration in full."""

    revision: int
    routes: tuple[Route, ...] = ()
    services: Mapping[str, ServiceEntry] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    teams: Mapping[str, TeamEntry] = field(default_factory=dict)
    """Teams by the keys of their callers."""
    _by_place: Mapping[tuple[str, str], Route] = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        places = {(route.host, route.prefix): route for route in self.routes}
        object.__setattr__(self, "_by_place", places)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that begins the path."""
        for prefix in _list_prefixes(path):
            route = self._by_place.get((host, prefix))
            if route is not None:
                return route
        return None

    def find_team(self, key: str) -> TeamEntry | None:
        """Return the team that a caller's key belongs to."""
        return self.teams.get(key)

    def find_origin(self) -> OriginEntry | None:
        """Return the origin of weights, if the configuration names one."""
        return next((s.origin for s in self.services.values() if s.origin is not None), None)

    def find_models(self, service: str) -> tuple[str, ...]:
        """Return the models that the replicas of a service carry."""
        entry = self.services.get(service)
        return entry.engine.models if entry is not None and entry.engine is not None else ()


def _list_prefixes(path: str) -> Iterable[str]:
    """Yield the beginnings of a path that end with a slash, the longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)
