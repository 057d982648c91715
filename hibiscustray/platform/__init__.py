"""Adapter to the users' platform, which only translates its names, formats and calls."""

from hibiscustray.platform.engine import PlatformEngine
from hibiscustray.platform.origin import PlatformOrigin
from hibiscustray.platform.replica import PlatformReplicaClient
from hibiscustray.platform.store import (
    EntryFeed,
    OperatorFeed,
    PlatformStore,
    RelayedOperatorFeed,
    ReplicaFeed,
)
from hibiscustray.platform.wire import READY_PATH, SETTINGS_VARIABLE
from hibiscustray.platform.wsgi import GatewayApplication

__all__ = [
    "READY_PATH",
    "SETTINGS_VARIABLE",
    "EntryFeed",
    "GatewayApplication",
    "OperatorFeed",
    "PlatformEngine",
    "PlatformOrigin",
    "PlatformReplicaClient",
    "PlatformStore",
    "RelayedOperatorFeed",
    "ReplicaFeed",
]
