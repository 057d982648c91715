"""The replicas of all services according to the platform's replica list."""

from hibiscustray.replicas.directory import ReplicaDirectory
from hibiscustray.replicas.health import HealthReport, Presence
from hibiscustray.replicas.notice import ReplicaNotice, read_notice
from hibiscustray.replicas.notices import ReplicaNotices
from hibiscustray.replicas.record import (
    LayerSpan,
    ReplicaRecord,
    ReplicaState,
    ServedModel,
    is_in_first_half,
)
from hibiscustray.replicas.verifier import PresenceVerifier

__all__ = [
    "HealthReport",
    "LayerSpan",
    "Presence",
    "PresenceVerifier",
    "ReplicaDirectory",
    "ReplicaNotice",
    "ReplicaNotices",
    "ReplicaRecord",
    "ReplicaState",
    "ServedModel",
    "is_in_first_half",
    "read_notice",
]
