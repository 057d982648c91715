"""The replicas that may be sent requests, through restarts, outages and gaps of the list."""

from __future__ import annotations

import logging
import threading
import time
from collections.abc import Callable, Iterable

from hibiscustray.replicas.record import ReplicaRecord, ReplicaState

log = logging.getLogger(__name__)

RETURN_GRACE_S = 2.0
"""Time after an outage in which live replicas are back on the list (the platform's promise)."""


class ReplicaDirectory:
    """Replicas by id; one that vanishes from the list around an outage is kept for a grace time.

    The list drops replicas whose heartbeats could not be stored, so a removal that is seen during
    an outage or just after it may concern a live replica.
    """

    def __init__(self) -> None:
        self._records: dict[str, ReplicaRecord] = {}
        self._doubtful: dict[str, float] = {}
        self._is_list_lost = False
        self._grace_until = float("-inf")
        self._listeners: list[Callable[[], None]] = []
        self._ready: dict[str, tuple[ReplicaRecord, ...]] = {}
        self._is_known = False
        self._lock = threading.RLock()

    @property
    def is_known(self) -> bool:
        """Tell whether the list has been read at least once."""
        return self._is_known

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after each change."""
        self._listeners.append(listener)

    def list_ready(self, service: str) -> tuple[ReplicaRecord, ...]:
        """Return the replicas of a service that take new requests."""
        with self._lock:
            self._drop_doubtful()
            if service not in self._ready:
                self._ready[service] = tuple(
                    record
                    for record in self._records.values()
                    if record.service == service and record.state is ReplicaState.READY
                )
            return self._ready[service]

    def list_all(self, service: str) -> tuple[ReplicaRecord, ...]:
        """Return all listed replicas of a service, those that drain too."""
        with self._lock:
            self._drop_doubtful()
            return tuple(r for r in self._records.values() if r.service == service)

    def get(self, replica_id: str) -> ReplicaRecord | None:
        """Return a replica's record."""
        with self._lock:
            return self._records.get(replica_id)

    def replace(self, records: Iterable[ReplicaRecord]) -> None:
        """Take in the whole list."""
        listed = {record.id: record for record in records}
        with self._lock:
            for replica_id in set(self._records) - set(listed):
                self._remove(replica_id)
            for record in listed.values():
                self._store(record)
            self._is_known = True
        self._tell()

    def update(self, record: ReplicaRecord) -> None:
        """Take in one replica's entry."""
        with self._lock:
            self._store(record)
        self._tell()

    def remove(self, replica_id: str) -> None:
        """Take in that an entry is no longer listed."""
        with self._lock:
            self._remove(replica_id)
        self._tell()

    def record_outage(self) -> None:
        """Note that the list cannot be read."""
        with self._lock:
            self._is_list_lost = True

    def record_recovery(self) -> None:
        """Note that the list can be read again."""
        with self._lock:
            if self._is_list_lost:
                self._is_list_lost = False
                self._grace_until = time.monotonic() + RETURN_GRACE_S

    def _store(self, record: ReplicaRecord) -> None:
        known = self._records.get(record.id)
        self._doubtful.pop(record.id, None)
        self._records[record.id] = record
        self._ready.clear()
        is_change = (
            known is None
            or known.state is not record.state
            or known.born_ms != record.born_ms
            or known.models != record.models
        )
        if is_change:
            log.info(
                "replica listed",
                extra={
                    "replica": record.id,
                    "service": record.service,
                    "address": record.address,
                    "state": record.state.value,
                    "versions": [model.version for model in record.models],
                },
            )

    def _remove(self, replica_id: str) -> None:
        if replica_id not in self._records:
            return
        now = time.monotonic()
        if self._is_list_lost or now < self._grace_until:
            self._doubtful.setdefault(replica_id, now)
            log.info("replica unlisted around an outage", extra={"replica": replica_id})
            return
        self._forget(replica_id, "unlisted")

    def _drop_doubtful(self) -> None:
        if self._is_list_lost or not self._doubtful or time.monotonic() < self._grace_until:
            return
        for replica_id in list(self._doubtful):
            self._forget(replica_id, "not back after an outage")

    def _forget(self, replica_id: str, reason: str) -> None:
        self._doubtful.pop(replica_id, None)
        record = self._records.pop(replica_id, None)
        self._ready.clear()
        if record is not None:
            log.info("replica gone", extra={"replica": replica_id, "reason": reason})

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()
