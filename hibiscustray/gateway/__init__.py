"""Forwards callers' requests to replicas, with buffered or streamed responses."""

from hibiscustray.gateway.attempts import AttemptController, VersionLimits
from hibiscustray.gateway.forwarder import RequestForwarder
from hibiscustray.gateway.interface import (
    Generation,
    InboundRequest,
    InboundResponse,
    OutboundRequest,
    ReplicaClient,
    ReplicaResponse,
    digest_part,
)
from hibiscustray.gateway.process import (
    GatewayProcess,
    find_entry_call_limits,
    find_retry_limits,
)
from hibiscustray.gateway.reporter import RequestReporter

__all__ = [
    "AttemptController",
    "GatewayProcess",
    "Generation",
    "InboundRequest",
    "InboundResponse",
    "OutboundRequest",
    "ReplicaClient",
    "ReplicaResponse",
    "RequestForwarder",
    "RequestReporter",
    "VersionLimits",
    "digest_part",
    "find_entry_call_limits",
    "find_retry_limits",
]
