"""The replicas of all services according to the platform's replica list."""

from hibiscustray.replicas.directory import ReplicaDirectory
from hibiscustray.replicas.notice import ReplicaNotice, read_notice
from hibiscustray.replicas.notices import ReplicaNotices
from hibiscustray.replicas.record import (
    LayerSpan,
    ReplicaRecord,
    ReplicaState,
    ServedModel,
    is_in_first_half,
)

__all__ = [
    "LayerSpan",
    "ReplicaDirectory",
    "ReplicaNotice",
    "ReplicaNotices",
    "ReplicaRecord",
    "ReplicaState",
    "ServedModel",
    "is_in_first_half",
    "read_notice",
]
