"""The starts of replicas that are known to be draining or to have left."""

from __future__ import annotations

from collections import OrderedDict

from hibiscustray.replicas.record import ReplicaRecord

MAX_REPLICAS = 4096
"""Replicas whose departures are kept; the earliest departure is forgotten first."""


class Departures:
    """The last row of each replica that is draining or was removed from the list; not thread-safe.

    An id has one departure, that of its latest start.
    """

    def __init__(self) -> None:
        self._last_rows: OrderedDict[str, ReplicaRecord] = OrderedDict()

    def record(self, record: ReplicaRecord) -> None:
        """Record that a start of a replica is draining, or has been removed from the list."""
        self._last_rows[record.id] = record
        self._last_rows.move_to_end(record.id)
        if len(self._last_rows) > MAX_REPLICAS:
            self._last_rows.popitem(last=False)

    def forget(self, replica_id: str) -> None:
        """Forget a departure, as the replica is serving or has started again."""
        self._last_rows.pop(replica_id, None)

    def find(self, replica_id: str) -> ReplicaRecord | None:
        """Return the last row before a replica's departure, None if it has not left."""
        return self._last_rows.get(replica_id)
