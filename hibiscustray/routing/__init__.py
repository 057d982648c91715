"""Choice of the replica for an attempt."""

from hibiscustray.routing.choice import Choice, ReplicaChooser

__all__ = ["Choice", "ReplicaChooser"]
