"""Forwarding of callers' requests to replicas, whole answers and streams."""

from hibiscustray.gateway.attempts import Attempts, RelayLimits
from hibiscustray.gateway.endings import Endings
from hibiscustray.gateway.interface import (
    Generation,
    InboundAnswer,
    InboundRequest,
    OutboundRequest,
    ReplicaAnswer,
    ReplicaCaller,
)
from hibiscustray.gateway.process import GatewayProcess
from hibiscustray.gateway.relay import Relay

__all__ = [
    "Attempts",
    "Endings",
    "GatewayProcess",
    "Generation",
    "InboundAnswer",
    "InboundRequest",
    "OutboundRequest",
    "Relay",
    "RelayLimits",
    "ReplicaAnswer",
    "ReplicaCaller",
]
