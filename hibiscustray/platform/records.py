"""Decoders for the operator's and the replicas' rows of the platform's store.

Unknown fields are ignored, so that rows of later formats can be read. A row without a required
field raises `RecordInvalid`.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from hibiscustray.catalog import (
    CallerLimits,
    Catalog,
    EngineProfile,
    OriginEntry,
    Route,
    RouteKind,
    ServiceEntry,
    ServiceShare,
    TeamEntry,
    WeightsVersion,
)
from hibiscustray.decoding import decode_json
from hibiscustray.platform.wire import MS_PER_S
from hibiscustray.replicas import LayerSpan, ReplicaRecord, ReplicaState, ServedModel
from hibiscustray.replicas.identity import check_address, check_id

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
}
MAX_COUNT = 1_000_000
"""Most slots, layers or requests of a replica."""
MAX_WARMUP_MS = 1e9
TOKENS_PER_K = 1000.0
PAIRS_PER_M = 1e6


Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
ExactNumber = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
WarmupMs = Annotated[float, msgspec.Meta(ge=-MAX_WARMUP_MS, le=MAX_WARMUP_MS)]


class _WireRecord(msgspec.Struct, frozen=True, rename="camel"):
    """Base of records whose field names are written in camel case."""


class _ServiceSplit(_WireRecord, frozen=True):
    service: str
    weight: float = 1.0


class _Route(_WireRecord, frozen=True):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_ms: float
    # A response within this time has its full value to the caller; it is not a service objective.
    target_latency_ms: float = 1000.0
    service: str = ""
    split: tuple[_ServiceSplit, ...] = ()
    attempts: int = 1
    priority: int = 5
    anonymous: bool = False
    stream_resume: bool = False
    gap_target_ms: float = 0.0


class _TypicalSizes(_WireRecord, frozen=True):
    """Typical numbers of prompt and output tokens of a request."""

    prompt: float = 1000.0
    answer: float = 100.0


class _EngineModel(_WireRecord, frozen=True):
    name: str


class _Engine(msgspec.Struct, frozen=True):
    """Performance figures of a model engine; most field names are not in camel case."""

    slots: int = 1
    step_ms: float = 10.0
    per_seq_ms: float = 0.0
    # Milliseconds per 1,000 tokens of context, for each step and request.
    context_per_k: float = 0.0
    read_per_s: float = 10000.0
    # Milliseconds per million pairs of a prompt token and an earlier token.
    pairs_per_m: float = 0.0
    chunk: int = 2048
    stride: int = 1
    report_lag_ms: float = 0.0
    usual: _TypicalSizes = _TypicalSizes()
    kv_tokens: int = msgspec.field(default=0, name="kvTokens")
    layers: int = 1
    models: tuple[_EngineModel, ...] = ()


class _Service(_WireRecord, frozen=True):
    name: str
    health_path: str = ""
    max_connections: int = 0
    engine: _Engine | None = None
    origin: str = ""
    zone: str = ""
    link_mbps: float = 0.0


class _Limits(_WireRecord, frozen=True):
    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Tenant(_WireRecord, frozen=True):
    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None


class _Configuration(_WireRecord, frozen=True):
    # Revision of the configuration; in other records `version` is a version of weights.
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    # Without this field no key is checked; an empty list means that no key is valid.
    tenants: tuple[_Tenant, ...] | msgspec.UnsetType = msgspec.UNSET


class _TargetVersion(_WireRecord, frozen=True):
    model: str
    version: int


class WireModel(_WireRecord, frozen=True):
    name: str
    version: ExactNumber = 0


class WireLayers(_WireRecord, frozen=True):
    """Range of layers that a replica holds."""

    range_start: Count
    # End of the range, exclusive.
    target: Count
    version: ExactNumber = 0


class _ReplicaRow(_WireRecord, frozen=True):
    service: str
    addr: str
    zone: str
    # Version of the replica's software, in any form.
    version: str | int
    slots: Count
    state: Literal["ready", "draining"]
    warmup_left_ms: WarmupMs
    sequence: ExactNumber
    born: ExactNumber
    models: tuple[WireModel, ...] = ()
    layers: WireLayers | None = None


def decode_catalog(body: bytes) -> Catalog:
    """Decode the operator's configuration."""
    wire = decode_json(body, _Configuration)
    has_tenants = wire.tenants is not msgspec.UNSET
    return Catalog(
        revision=wire.version,
        routes=tuple(_read_route(route) for route in wire.routes),
        services={service.name: _read_service(service) for service in wire.services},
        limits=CallerLimits(
            wire.limits.header_bytes,
            wire.limits.body_bytes,
            wire.limits.header_timeout_ms / MS_PER_S,
            wire.limits.idle_timeout_ms / MS_PER_S,
        ),
        teams={
            key: TeamEntry(tenant.name, tenant.priority)
            for tenant in (wire.tenants if has_tenants else ())
            for key in tenant.keys
        },
        requires_keys=has_tenants,
    )


def decode_target_version(body: bytes) -> WeightsVersion:
    """Decode the target version of a model's weights."""
    wire = decode_json(body, _TargetVersion)
    return WeightsVersion(wire.model, wire.version)


def decode_replica(replica_id: str, body: bytes) -> ReplicaRecord:
    """Decode a replica's row; the row's key is the only place that contains the replica id.

    Raises `RecordInvalid` if the row or its key, which may be another writer's, names no replica.
    """
    wire = decode_json(body, _ReplicaRow)
    check_id(replica_id)
    check_address(wire.addr)
    return ReplicaRecord(
        id=replica_id,
        service=wire.service,
        address=wire.addr,
        availability_zone=wire.zone,
        slots=wire.slots,
        state=ReplicaState.READY if wire.state == "ready" else ReplicaState.DRAINING,
        warmup_left_s=wire.warmup_left_ms / MS_PER_S,
        models=tuple(ServedModel(model.name, model.version) for model in wire.models),
        layers=read_layers(wire.layers),
        born_ms=wire.born,
        sequence=wire.sequence,
    )


def read_layers(wire: WireLayers | None) -> LayerSpan | None:
    """Return the layers that a replica holds, None if it does not report them."""
    return None if wire is None else LayerSpan(wire.range_start, wire.target, wire.version)


def _read_route(wire: _Route) -> Route:
    shares = tuple(ServiceShare(s.service, s.weight) for s in wire.split)
    return Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.prefix,
        # A request is never repeated if its route has an unknown kind from a later format.
        kind=ROUTE_KINDS.get(wire.kind, RouteKind.NON_IDEMPOTENT),
        shares=shares or (ServiceShare(wire.service),),
        timeout_s=wire.timeout_ms / MS_PER_S,
        objective_s=wire.target_latency_ms / MS_PER_S,
        attempts=max(1, wire.attempts),
        priority=wire.priority,
        is_anonymous=wire.anonymous,
        is_resumable=wire.stream_resume,
        gap_objective_s=wire.gap_target_ms / MS_PER_S,
    )


def _read_service(wire: _Service) -> ServiceEntry:
    origin = None
    if wire.origin:
        origin = OriginEntry(wire.origin, wire.zone, wire.link_mbps, wire.max_connections)
    engine = None if wire.engine is None else _read_engine(wire.engine)
    return ServiceEntry(wire.name, wire.health_path, wire.max_connections, engine, origin)


def _read_engine(wire: _Engine) -> EngineProfile:
    return EngineProfile(
        slots=max(1, wire.slots),
        step_s=wire.step_ms / MS_PER_S,
        step_per_request_s=wire.per_seq_ms / MS_PER_S,
        step_per_context_token_s=wire.context_per_k / MS_PER_S / TOKENS_PER_K,
        prompt_tokens_per_s=max(1.0, wire.read_per_s),
        pair_s=wire.pairs_per_m / MS_PER_S / PAIRS_PER_M,
        chunk_tokens=max(1, wire.chunk),
        stride=max(1, wire.stride),
        report_lag_s=wire.report_lag_ms / MS_PER_S,
        typical_prompt_tokens=wire.usual.prompt,
        typical_output_tokens=wire.usual.answer,
        cache_tokens=wire.kv_tokens,
        layers=wire.layers,
        models=tuple(model.name for model in wire.models),
    )
