"""The replicas of all services, as the platform's list tells them."""

from hibiscustray.replicas.directory import ReplicaDirectory
from hibiscustray.replicas.record import LayerSpan, ReplicaRecord, ReplicaState, ServedModel

__all__ = ["LayerSpan", "ReplicaDirectory", "ReplicaRecord", "ReplicaState", "ServedModel"]
