"""Adapter to the users' platform, which only translates its names, formats and calls."""

from hibiscustray.platform.engine import PlatformEngine
from hibiscustray.platform.origin import PlatformOrigin
from hibiscustray.platform.replica import PlatformReplicaClient
from hibiscustray.platform.store import (
    OperatorFeed,
    PlatformStore,
    RelayedOperatorFeed,
    ReplicaFeed,
)
from hibiscustray.platform.wire import find_settings_path
from hibiscustray.platform.wsgi import GatewayApplication, ReadinessApplication

__all__ = [
    "GatewayApplication",
    "OperatorFeed",
    "PlatformEngine",
    "PlatformOrigin",
    "PlatformReplicaClient",
    "PlatformStore",
    "ReadinessApplication",
    "RelayedOperatorFeed",
    "ReplicaFeed",
    "find_settings_path",
]
