"""What a replica's response to a health check says of its presence."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from hibiscustray.replicas.notice import ReplicaNotice
from hibiscustray.replicas.record import ReplicaRecord

OK = 200


class Presence(Enum):
    """Whether the start of a replica that a row names takes requests."""

    SERVING = "serving"
    LEAVING = "leaving"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class HealthReport:
    """The response to a health check; `replica_id` is empty if the response names no replica."""

    status: int
    notice: ReplicaNotice
    replica_id: str = ""
    is_misdirected: bool = False

    def is_of(self, record: ReplicaRecord) -> bool:
        """Return whether the response is that of the replica of a record."""
        return not self.is_misdirected and self.replica_id in ("", record.id)

    def find_presence(self, record: ReplicaRecord) -> Presence:
        """Return the presence of the replica of a record.

        A failure alone does not tell a replica that leaves from one that is full or unhealthy.
        """
        if not self.is_of(record):
            return Presence.UNKNOWN
        if self.notice.is_draining:
            return Presence.LEAVING
        return Presence.SERVING if self.status == OK else Presence.UNKNOWN
